#include "decisions/server_choice.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <numeric>

namespace bramleyarch::decisions
{

namespace
{

/// A request in another domain costs bytes between domains: servers of the
/// own one are taken until they have this much of their slots more in use.
constexpr double domain_preference = 0.34;

double use_of(server_option const& server)
{
    return (server.load + 1) / std::max(server.slots, 1U);
}

std::size_t least_used(std::vector<server_option> const& servers,
                       std::uint64_t draw)
{
    auto const cost = [](server_option const& server)
    { return use_of(server) + (server.own_domain ? 0 : domain_preference); };
    std::size_t best = 0;
    std::uint64_t ties = 0;
    for (std::size_t i = 1; i < servers.size(); ++i)
    {
        auto const difference = cost(servers[i]) - cost(servers[best]);
        if (difference > 0)
            continue;
        // Each of the equals is taken with the same chance.
        ties = difference < 0 ? 0 : ties + 1;
        if (difference < 0 || mix(draw, i) % (ties + 1) == 0)
            best = i;
    }
    return best;
}

} // namespace

std::optional<shared_prompt>
shared_prompt_of(std::vector<prompt_part> const& prompt)
{
    if (prompt.size() < 2)
        return std::nullopt;
    shared_prompt shared{.key = prompt[prompt.size() - 2].id};
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        shared.tokens += prompt[i].tokens;
    return shared;
}

std::uint64_t prompt_weight(shared_prompt const& prompt, std::uint64_t server)
{
    return mix(prompt.key, server);
}

std::optional<server_choice> choose(std::vector<server_option> const& servers,
                                    double mean,
                                    std::optional<shared_prompt> prompt,
                                    choice_options const& options,
                                    std::uint64_t draw)
{
    if (servers.empty())
        return std::nullopt;
    if (!prompt)
        return server_choice{.index = least_used(servers, draw)};
    bool const is_long = prompt->tokens >= options.long_prompt_tokens;
    auto const bound =
        is_long ? options.long_spill_factor * mean + options.long_spill_slack
                : options.spill_factor * mean + options.spill_slack;
    std::vector<std::size_t> order(servers.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b)
              {
                  return prompt_weight(*prompt, servers[a].hash) >
                         prompt_weight(*prompt, servers[b].hash);
              });
    for (auto const index : order)
    {
        auto const& server = servers[index];
        if (server.load > bound || server.load >= server.slots)
            continue;
        return server_choice{.index = index,
                             .cause = index == order.front()
                                          ? choice_cause::first_of_prompt
                                          : choice_cause::spilled};
    }
    return server_choice{.index = least_used(servers, draw)};
}

} // namespace bramleyarch::decisions

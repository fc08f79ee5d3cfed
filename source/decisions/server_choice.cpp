#include "decisions/server_choice.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace bramleyarch::decisions
{

namespace
{

/// A request in another domain costs bytes between domains: servers of the
/// own one are taken until they have this much of their slots more in use.
constexpr double domain_preference = 0.34;

double use_of(server_candidate const& server)
{
    return (server.load + 1) / std::max(server.slots, 1U);
}

/// The least used of the servers. One of the own domain is preferred while its
/// load is under `bound`.
std::size_t least_used(std::vector<server_candidate> const& servers,
                       double bound, std::uint64_t draw)
{
    auto const cost = [bound](server_candidate const& server)
    {
        bool const preferred = server.own_domain && server.load < bound;
        return use_of(server) + (preferred ? 0 : domain_preference);
    };
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

std::optional<shared_prefix>
find_shared_prefix(std::vector<prompt_part> const& prompt)
{
    if (prompt.size() < 2)
        return std::nullopt;
    shared_prefix shared{.key = prompt[prompt.size() - 2].id};
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        shared.tokens += prompt[i].tokens;
    return shared;
}

std::uint64_t prompt_weight(shared_prefix const& prompt, std::uint64_t server)
{
    return mix(prompt.key, server);
}

double load_bound(double mean, server_choice_options const& options)
{
    return options.usable_fraction *
           (options.limit_factor * mean + options.limit_slack);
}

std::optional<server_choice>
select_server(std::vector<server_candidate> const& servers, double mean,
              std::optional<shared_prefix> prompt,
              server_choice_options const& options, std::uint64_t draw)
{
    if (servers.empty())
        return std::nullopt;
    auto const bound = load_bound(mean, options);
    if (!prompt)
        return server_choice{.index = least_used(servers, bound, draw)};
    std::vector<std::size_t> order(servers.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b)
              {
                  return prompt_weight(*prompt, servers[a].hash) >
                         prompt_weight(*prompt, servers[b].hash);
              });
    // The servers that share a hot prompt change places at random.
    auto const shared = std::min(prompt->replicas, order.size());
    std::swap(order.front(), order[draw % shared]);
    for (auto const index : order)
    {
        auto const& server = servers[index];
        if (server.load > bound || server.load >= server.slots)
            continue;
        auto const first = shared > 1 ? choice_cause::shared_of_prompt
                                      : choice_cause::first_of_prompt;
        return server_choice{
            .index = index,
            .cause = index == order.front() ? first : choice_cause::spilled};
    }
    return server_choice{.index = least_used(servers, bound, draw)};
}

} // namespace bramleyarch::decisions

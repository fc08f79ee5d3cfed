#include "decisions/server_choice.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace bramleyarch::decisions
{

namespace
{

/// Requests to another domain cause traffic between domains. A server of the
/// own domain is therefore preferred until the fraction of its slots in use is
/// higher than elsewhere by this much.
constexpr double domain_preference = 0.34;

/// Returns the fraction of the slots in use with one more request.
double utilisation(server_candidate const& server)
{
    return (server.load + 1) / std::max(server.slots, 1U);
}

/// Returns the index of the least utilised candidate. One in the own domain is
/// preferred while its load is below `bound`.
std::size_t least_utilised(std::vector<server_candidate> const& candidates,
                           double bound, std::uint64_t draw)
{
    auto const cost = [bound](server_candidate const& server)
    {
        bool const preferred = server.own_domain && server.load < bound;
        return utilisation(server) + (preferred ? 0 : domain_preference);
    };
    std::size_t best = 0;
    std::uint64_t ties = 0;
    for (std::size_t i = 1; i < candidates.size(); ++i)
    {
        auto const difference = cost(candidates[i]) - cost(candidates[best]);
        if (difference > 0)
            continue;
        // Reservoir sampling selects each of the equals with the same chance.
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
    shared_prefix prefix{.key = prompt[prompt.size() - 2].id};
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        prefix.tokens += prompt[i].tokens;
    return prefix;
}

std::uint64_t prefix_weight(shared_prefix const& prefix, std::uint64_t server)
{
    return mix(prefix.key, server);
}

double load_bound(double mean, server_choice_options const& options)
{
    return options.usable_fraction *
           (options.limit_factor * mean + options.limit_slack);
}

std::optional<server_choice>
select_server(std::vector<server_candidate> const& candidates, double mean,
              std::optional<shared_prefix> prefix,
              server_choice_options const& options, std::uint64_t draw)
{
    if (candidates.empty())
        return std::nullopt;
    auto const bound = load_bound(mean, options);
    if (!prefix)
        return server_choice{.index = least_utilised(candidates, bound, draw)};
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b)
              {
                  return prefix_weight(*prefix, candidates[a].hash) >
                         prefix_weight(*prefix, candidates[b].hash);
              });
    // A random one of the servers that share a hot prompt is tried first.
    auto const replicas = std::min(prefix->replicas, order.size());
    std::swap(order.front(), order[draw % replicas]);
    for (auto const index : order)
    {
        auto const& server = candidates[index];
        if (server.load > bound || server.load >= server.slots)
            continue;
        auto const first =
            replicas > 1 ? choice_cause::hot_prompt : choice_cause::preferred;
        return server_choice{
            .index = index,
            .cause = index == order.front() ? first : choice_cause::overflow};
    }
    return server_choice{.index = least_utilised(candidates, bound, draw)};
}

} // namespace bramleyarch::decisions

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

/// Returns the indexes of the candidates in the order of the prefix. A random
/// one of the servers that share a hot prompt comes first.
std::vector<std::size_t>
prefix_order(std::vector<server_candidate> const& candidates,
             shared_prefix const& prefix, std::uint64_t draw)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b)
              {
                  return prefix_weight(prefix, candidates[a].hash) >
                         prefix_weight(prefix, candidates[b].hash);
              });
    auto const replicas = std::min(prefix.replicas, order.size());
    std::swap(order.front(), order[draw % replicas]);
    return order;
}

bool has_room(server_candidate const& server, double bound)
{
    return server.load <= bound && server.load < server.slots;
}

/// Returns the prompt tokens that a server has to read without the prefix.
double own_tokens(std::optional<shared_prefix> const& prefix,
                  expected_work const& work)
{
    double const shared = prefix ? prefix->tokens : 0;
    return std::max(work.prompt_tokens - shared, 0.0);
}

/// Returns the prompt tokens that a server without the prefix reads or, in the
/// time of a copy, could read.
double tokens_without_prefix(shared_prefix const& prefix,
                             expected_work const& work,
                             work_choice_options const& options)
{
    double const copied =
        prefix.tokens < options.min_copied_tokens
            ? prefix.tokens
            : options.copy_setup_tokens + options.copy_fraction * prefix.tokens;
    return own_tokens(prefix, work) + copied;
}

/// Returns the cost of a request that makes the server read `tokens`: its
/// utilisation scaled by its pace, and the delay of the streams that run there,
/// relative to what their callers allow. The delay counts more than in
/// proportion: beyond 1, all of these streams are late.
double cost_of(server_candidate const& server, double tokens,
               expected_work const& work, work_choice_options const& options)
{
    auto const allowed = work.gap_target > duration::zero()
                             ? work.gap_target
                             : options.default_gap_target;
    auto const allowed_ms =
        std::chrono::duration<double, std::milli>{allowed}.count();
    auto const all_tokens =
        server.unread_tokens + tokens +
        work.answer_tokens / options.answer_tokens_per_prompt_token;
    auto const delay =
        server.pace * all_tokens / options.tokens_per_ms / allowed_ms;
    auto const used = (server.expected_load + 1) / std::max(server.slots, 1U);
    return server.pace * used + delay * (1 + delay);
}

/// Returns a candidate with the usual pace and the mean load.
server_candidate mean_candidate(std::vector<server_candidate> const& candidates)
{
    server_candidate mean{.slots = 0};
    for (auto const& server : candidates)
    {
        mean.expected_load += server.expected_load;
        mean.slots += server.slots;
    }
    auto const count = static_cast<std::uint32_t>(candidates.size());
    mean.expected_load /= count;
    mean.slots /= count;
    return mean;
}

/// Returns a random one of the candidates with room whose cost is nearly the
/// least, or std::nullopt if none has room.
std::optional<std::size_t>
least_cost(std::vector<server_candidate> const& candidates, double bound,
           double tokens, expected_work const& work,
           work_choice_options const& options, std::uint64_t draw)
{
    std::vector<std::pair<double, std::size_t>> costs;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const& server = candidates[i];
        if (has_room(server, bound))
            costs.emplace_back(cost_of(server, tokens, work, options) +
                                   (server.own_domain ? 0 : domain_preference),
                               i);
    }
    if (costs.empty())
        return std::nullopt;
    std::ranges::sort(costs);
    auto const usual_cost =
        cost_of(mean_candidate(candidates), tokens, work, options);
    auto const wanted =
        options.least_fraction * static_cast<double>(candidates.size());
    auto const near = costs.front().first + options.near_equal;
    std::size_t count = 1;
    while (count < costs.size() && (costs[count].first <= near ||
                                    (static_cast<double>(count) < wanted &&
                                     costs[count].first <= usual_cost)))
        ++count;
    costs.resize(count);
    return costs[mix(draw, costs.size()) % costs.size()].second;
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
    auto const order = prefix_order(candidates, *prefix, draw);
    auto const replicas = std::min(prefix->replicas, order.size());
    for (bool const overflows : {false, true})
    {
        for (auto const index : order)
        {
            auto const& server = candidates[index];
            if (server.overflow_only != overflows || !has_room(server, bound))
                continue;
            auto const first = replicas > 1 ? choice_cause::hot_prompt
                                            : choice_cause::preferred;
            return server_choice{.index = index,
                                 .cause = index == order.front()
                                              ? first
                                              : choice_cause::overflow};
        }
    }
    return server_choice{.index = least_utilised(candidates, bound, draw)};
}

std::optional<server_choice> select_server_by_work(
    std::vector<server_candidate> const& candidates, double mean,
    std::optional<shared_prefix> prefix, expected_work const& work,
    server_choice_options const& options,
    work_choice_options const& work_options, std::uint64_t draw)
{
    auto const usual = select_server(candidates, mean, prefix, options, draw);
    if (!usual)
        return usual;
    auto const bound = load_bound(mean, options);
    if (!prefix || usual->cause == choice_cause::least_loaded)
    {
        auto const found =
            least_cost(candidates, bound,
                       tokens_to_read(*usual, prefix, work, work_options), work,
                       work_options, draw);
        return found ? server_choice{*found, choice_cause::least_cost} : *usual;
    }
    auto const cost = [&](server_choice const& choice)
    {
        return cost_of(candidates[choice.index],
                       tokens_to_read(choice, prefix, work, work_options), work,
                       work_options);
    };
    auto best = *usual;
    auto least = cost(best) - work_options.least_gain;
    std::size_t considered = 0;
    for (auto const index : prefix_order(candidates, *prefix, draw))
    {
        if (considered >= work_options.max_alternatives)
            break;
        if (index == usual->index || candidates[index].overflow_only ||
            !has_room(candidates[index], bound))
            continue;
        ++considered;
        server_choice const other{index, choice_cause::other_pace};
        if (cost(other) >= least)
            continue;
        best = other;
        least = cost(other);
    }
    return best;
}

double tokens_to_read(server_choice const& choice,
                      std::optional<shared_prefix> const& prefix,
                      expected_work const& work,
                      work_choice_options const& options)
{
    bool const has_prefix = choice.cause == choice_cause::preferred ||
                            choice.cause == choice_cause::hot_prompt;
    return !prefix || has_prefix
               ? own_tokens(prefix, work)
               : tokens_without_prefix(*prefix, work, options);
}

} // namespace bramleyarch::decisions

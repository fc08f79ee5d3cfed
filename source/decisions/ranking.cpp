#include "decisions/ranking.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <cmath>

namespace bramleyarch::decisions
{

namespace
{

/// Index used if no candidate was found.
constexpr std::size_t none = SIZE_MAX;

/// Maps 64 random bits to the open interval (0, 1).
double to_unit(std::uint64_t bits)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return (static_cast<double>(bits >> 11) + 0.5) * scale;
}

bool is_selectable(candidate const& server)
{
    return server.usable && !server.tried;
}

/// Number of requests ahead, relative to the limit.
double relative_wait(candidate const& server)
{
    return (server.load + server.queued) / std::max(server.limit, 1.0);
}

/// Returns the index of the selectable candidate with the highest weight among
/// those for which `accept` returns true, or `none`.
template <class Accept, class Weight>
std::size_t find_highest(std::vector<candidate> const& candidates,
                         Accept accept, Weight weight)
{
    std::size_t found = none;
    double highest = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const& server = candidates[i];
        if (!is_selectable(server) || !accept(server))
            continue;
        double const server_weight = weight(server);
        if (found != none && server_weight <= highest)
            continue;
        found = i;
        highest = server_weight;
    }
    return found;
}

std::optional<choice> make_choice(std::size_t index, choice_reason reason)
{
    if (index == none)
        return std::nullopt;
    return choice{index, reason};
}

constexpr auto any = [](candidate const&) { return true; };

std::optional<choice>
choose_shortest_wait(std::vector<candidate> const& candidates,
                     choice_reason reason, ranking_key key)
{
    // Equal waits are ordered by hash, so that routers that start together do
    // not all choose the same server.
    constexpr double tie_share = 1e-6;
    auto const weight = [key](candidate const& server)
    {
        double const tie =
            to_unit(mix(key.chat ^ key.random_bits, server.hash));
        return -relative_wait(server) + tie_share * tie;
    };
    return make_choice(find_highest(candidates, any, weight), reason);
}

std::optional<choice>
choose_rendezvous(std::vector<candidate> const& candidates, ranking_key key)
{
    auto const weight = [key](candidate const& server)
    { return rendezvous_weight(key.chat, server.hash, server.capacity); };
    return make_choice(find_highest(candidates, any, weight),
                       choice_reason::first_choice);
}

/// True if a request may wait for this server, which has its prefix in the
/// cache. One request may wait for every four that the server admits, and at
/// least one.
bool has_short_queue(candidate const& server)
{
    constexpr double limit_per_waiting = 4;
    return !server.tried &&
           server.queued < std::max(1.0, server.limit / limit_per_waiting);
}

std::optional<choice>
choose_bounded_rendezvous(std::vector<candidate> const& candidates,
                          ranking_key key, ranking_options const& options)
{
    double const mean = mean_utilisation(candidates);
    double first_weight = 0;
    double found_weight = 0;
    std::size_t found = none;
    std::size_t first = none;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const& server = candidates[i];
        if (!server.usable)
            continue;
        double const weight =
            rendezvous_weight(key.chat, server.hash, server.capacity);
        if (weight > first_weight)
        {
            first_weight = weight;
            first = i;
        }
        if (server.tried || weight <= found_weight ||
            !is_under_bound(server.load, server.limit, mean,
                            options.load_bound_percent))
        {
            continue;
        }
        found = i;
        found_weight = weight;
    }
    if (options.await_prefix && first != none && first != found &&
        has_short_queue(candidates[first]))
        return choice{first, choice_reason::await_prefix};
    if (found == none)
        return choose_shortest_wait(candidates, choice_reason::all_saturated,
                                    key);
    return choice{found, found_weight < first_weight
                             ? choice_reason::overflow
                             : choice_reason::first_choice};
}

std::optional<choice>
choose_round_robin(std::vector<candidate> const& candidates, ranking_key key)
{
    std::size_t const count = candidates.size();
    for (std::size_t step = 0; step < count; ++step)
    {
        std::size_t const index = (key.random_bits + step) % count;
        if (is_selectable(candidates[index]))
            return choice{index, choice_reason::next_in_turn};
    }
    return std::nullopt;
}

std::optional<choice>
choose_lower_of_two(std::vector<candidate> const& candidates, ranking_key key)
{
    std::vector<std::size_t> eligible;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (is_selectable(candidates[i]))
            eligible.push_back(i);
    }
    if (eligible.empty())
        return std::nullopt;
    constexpr std::uint64_t second_draw = 2;
    std::size_t const first =
        eligible[mix(key.random_bits, 1) % eligible.size()];
    std::size_t second =
        eligible[mix(key.random_bits, second_draw) % eligible.size()];
    if (first == second)
        second =
            eligible[(mix(key.random_bits, second_draw) + 1) % eligible.size()];
    bool const first_is_lower =
        relative_wait(candidates[first]) <= relative_wait(candidates[second]);
    return choice{first_is_lower ? first : second, choice_reason::lower_load};
}

} // namespace

double rendezvous_weight(std::uint64_t key, std::uint64_t server_hash,
                         double capacity)
{
    return -capacity / std::log(to_unit(mix(key, server_hash)));
}

double mean_utilisation(std::vector<candidate> const& candidates)
{
    double load = 0;
    double limit = 0;
    for (auto const& server : candidates)
    {
        if (!server.usable)
            continue;
        load += server.load;
        limit += server.limit;
    }
    return limit > 0 ? load / limit : 0;
}

bool is_under_bound(double load, double limit, double mean_utilisation,
                    std::uint32_t load_bound_percent)
{
    constexpr double percent = 100;
    if (load + 1 > limit)
        return false;
    return load <= mean_utilisation * limit * load_bound_percent / percent;
}

std::optional<choice> choose_server(std::vector<candidate> const& candidates,
                                    ranking_key key,
                                    ranking_options const& options)
{
    switch (options.policy)
    {
    case ranking_policy::bounded_rendezvous:
        if (key.chat != 0)
            return choose_bounded_rendezvous(candidates, key, options);
        return choose_lower_of_two(candidates, key);
    case ranking_policy::rendezvous:
        if (key.chat != 0)
            return choose_rendezvous(candidates, key);
        return choose_rendezvous(candidates, {.chat = key.random_bits});
    case ranking_policy::round_robin:
        return choose_round_robin(candidates, key);
    case ranking_policy::least_loaded:
        return choose_shortest_wait(candidates, choice_reason::lower_load, key);
    case ranking_policy::power_of_two_choices:
        return choose_lower_of_two(candidates, key);
    }
    return std::nullopt;
}

std::vector<std::size_t>
rendezvous_order(std::vector<candidate> const& candidates, std::uint64_t chat)
{
    std::vector<std::pair<double, std::size_t>> weighted;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const& server = candidates[i];
        if (server.usable)
            weighted.emplace_back(
                rendezvous_weight(chat, server.hash, server.capacity), i);
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>{});
    std::vector<std::size_t> order;
    order.reserve(weighted.size());
    for (auto const& [weight, index] : weighted)
        order.push_back(index);
    return order;
}

} // namespace bramleyarch::decisions

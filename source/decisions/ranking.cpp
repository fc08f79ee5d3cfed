#include "decisions/ranking.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <cmath>

namespace bramleyarch::decisions
{

namespace
{

constexpr std::size_t none = SIZE_MAX;

/// Maps 64 random bits to the open interval (0, 1).
double to_unit(std::uint64_t bits)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return (static_cast<double>(bits >> 11) + 0.5) * scale;
}

bool selectable(candidate const& c)
{
    return c.usable && !c.tried;
}

double wait_of(candidate const& c)
{
    return (c.load + c.queued) / std::max(c.limit, 1.0);
}

/// Index of the selectable candidate with the highest weight among those for
/// which `accept` holds.
template <class Accept, class Weight>
std::size_t best(std::vector<candidate> const& candidates, Accept accept,
                 Weight weight)
{
    std::size_t found = none;
    double highest = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const& c = candidates[i];
        if (!selectable(c) || !accept(c))
            continue;
        double const w = weight(c);
        if (found != none && w <= highest)
            continue;
        found = i;
        highest = w;
    }
    return found;
}

std::optional<choice> chosen(std::size_t index, choice_reason reason)
{
    if (index == none)
        return std::nullopt;
    return choice{index, reason};
}

constexpr auto any = [](candidate const&) { return true; };

std::optional<choice> shortest_wait(std::vector<candidate> const& candidates,
                                    choice_reason reason, ranking_key key)
{
    // The rendezvous weight of an equal wait keeps routers that start
    // together from all picking the same server.
    constexpr double tie_share = 1e-6;
    auto const weight = [key](candidate const& c)
    {
        double const tie = to_unit(mix(key.chat ^ key.random_bits, c.hash));
        return -wait_of(c) + tie_share * tie;
    };
    return chosen(best(candidates, any, weight), reason);
}

std::optional<choice> first_by_chat(std::vector<candidate> const& candidates,
                                    ranking_key key)
{
    auto const weight = [key](candidate const& c)
    { return rendezvous_weight(key.chat, c.hash, c.capacity); };
    return chosen(best(candidates, any, weight), choice_reason::first_choice);
}

/// Whether a request may wait for the server that holds its prefix.
bool has_short_queue(candidate const& c)
{
    constexpr double limit_per_waiting = 4;
    return !c.tried && c.queued < std::max(1.0, c.limit / limit_per_waiting);
}

std::optional<choice> bounded_by_chat(std::vector<candidate> const& candidates,
                                      ranking_key key,
                                      ranking_options const& options)
{
    double const mean = mean_utilisation(candidates);
    double highest_any = 0;
    double highest = 0;
    std::size_t found = none;
    std::size_t first = none;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const& c = candidates[i];
        if (!c.usable)
            continue;
        double const w = rendezvous_weight(key.chat, c.hash, c.capacity);
        if (w > highest_any)
        {
            highest_any = w;
            first = i;
        }
        if (c.tried || w <= highest ||
            !is_under_bound(c.load, c.limit, mean, options.load_bound_percent))
        {
            continue;
        }
        found = i;
        highest = w;
    }
    if (options.await_prefix && first != none && first != found &&
        has_short_queue(candidates[first]))
        return choice{first, choice_reason::await_prefix};
    if (found == none)
        return shortest_wait(candidates, choice_reason::all_saturated, key);
    return choice{found, highest < highest_any ? choice_reason::overflow
                                               : choice_reason::first_choice};
}

std::optional<choice> next_in_turn(std::vector<candidate> const& candidates,
                                   ranking_key key)
{
    std::size_t const count = candidates.size();
    for (std::size_t step = 0; step < count; ++step)
    {
        std::size_t const i = (key.random_bits + step) % count;
        if (selectable(candidates[i]))
            return choice{i, choice_reason::next_in_turn};
    }
    return std::nullopt;
}

std::optional<choice> lower_of_two(std::vector<candidate> const& candidates,
                                   ranking_key key)
{
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (selectable(candidates[i]))
            open.push_back(i);
    }
    if (open.empty())
        return std::nullopt;
    constexpr std::uint64_t second_draw = 2;
    std::size_t const a = open[mix(key.random_bits, 1) % open.size()];
    std::size_t b = open[mix(key.random_bits, second_draw) % open.size()];
    if (a == b)
        b = open[(mix(key.random_bits, second_draw) + 1) % open.size()];
    bool const first = wait_of(candidates[a]) <= wait_of(candidates[b]);
    return choice{first ? a : b, choice_reason::lower_load};
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
    for (auto const& c : candidates)
    {
        if (!c.usable)
            continue;
        load += c.load;
        limit += c.limit;
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
            return bounded_by_chat(candidates, key, options);
        return lower_of_two(candidates, key);
    case ranking_policy::rendezvous:
        if (key.chat != 0)
            return first_by_chat(candidates, key);
        return first_by_chat(candidates, {.chat = key.random_bits});
    case ranking_policy::round_robin:
        return next_in_turn(candidates, key);
    case ranking_policy::least_loaded:
        return shortest_wait(candidates, choice_reason::lower_load, key);
    case ranking_policy::power_of_two_choices:
        return lower_of_two(candidates, key);
    }
    return std::nullopt;
}

std::vector<std::size_t>
rendezvous_order(std::vector<candidate> const& candidates, std::uint64_t chat)
{
    std::vector<std::pair<double, std::size_t>> weighted;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const& c = candidates[i];
        if (c.usable)
            weighted.emplace_back(rendezvous_weight(chat, c.hash, c.capacity),
                                  i);
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>{});
    std::vector<std::size_t> order;
    order.reserve(weighted.size());
    for (auto const& [weight, index] : weighted)
        order.push_back(index);
    return order;
}

} // namespace bramleyarch::decisions

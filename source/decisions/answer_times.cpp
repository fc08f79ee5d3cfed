#include "decisions/answer_times.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

time_bounds longest_of(time_bounds const& a, time_bounds const& b)
{
    return {.whole = std::max(a.whole, b.whole),
            .shortest_whole = std::min(a.shortest_whole, b.shortest_whole),
            .first_byte = std::max(a.first_byte, b.first_byte),
            .per_token = std::max(a.per_token, b.per_token)};
}

time_bounds times_of(answer_sample const& sample)
{
    time_bounds times{.whole = sample.took, .shortest_whole = sample.took};
    if (sample.max_tokens == 0)
        return times;
    times.first_byte = sample.first_byte;
    times.per_token = sample.took - sample.first_byte;
    times.per_token /= sample.max_tokens;
    return times;
}

/// Returns the times of the last two periods, or std::nullopt if no answer on
/// the route has ended in them.
std::optional<time_bounds> times_of_route(answer_times const& times,
                                          std::string const& route,
                                          time_point at)
{
    auto const found = times.by_route.find(route);
    if (found == times.by_route.end() ||
        at - found->second.period_start >= 2 * times.options.period)
        return std::nullopt;
    auto const& recorded = found->second;
    return longest_of(recorded.longest,
                      recorded.longest_before.value_or(time_bounds{}));
}

} // namespace

void record_answer_time(answer_times& times, std::string const& route,
                        answer_sample const& sample, time_point at)
{
    auto const period = times.options.period;
    auto found = times.by_route.find(route);
    if (found == times.by_route.end())
    {
        if (times.by_route.size() >= times.options.max_routes)
            std::erase_if(times.by_route, [&](auto const& entry)
                          { return at - entry.second.period_start >= period; });
        if (times.by_route.size() >= times.options.max_routes)
            return;
        found = times.by_route.try_emplace(route).first;
        found->second.period_start = at;
    }
    auto& recorded = found->second;
    if (at - recorded.period_start >= period)
    {
        bool const follows = at - recorded.period_start < 2 * period;
        recorded.longest_before =
            follows ? std::optional{recorded.longest} : std::nullopt;
        recorded.longest = {};
        recorded.period_start = at;
    }
    recorded.longest = longest_of(recorded.longest, times_of(sample));
}

std::optional<duration> expected_answer_time(answer_times const& times,
                                             std::string const& route,
                                             std::uint32_t max_tokens,
                                             time_point at)
{
    auto const longest = times_of_route(times, route, at);
    if (!longest)
        return std::nullopt;
    std::chrono::duration<double, duration::period> expected = longest->whole;
    if (max_tokens > 0 && longest->per_token.count() > 0)
        expected = longest->first_byte + longest->per_token * max_tokens;
    return std::chrono::duration_cast<duration>(expected *
                                                times.options.safety_factor) +
           times.options.margin;
}

std::optional<duration> shortest_answer_time(answer_times const& times,
                                             std::string const& route,
                                             time_point at)
{
    auto const recorded = times_of_route(times, route, at);
    return recorded ? std::optional{recorded->shortest_whole} : std::nullopt;
}

} // namespace bramleyarch::decisions

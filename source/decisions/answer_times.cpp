#include "decisions/answer_times.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

void record_answer_time(answer_times& times, std::string const& route,
                        duration took, time_point at)
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
    recorded.longest = std::max(recorded.longest, took);
}

std::optional<duration> expected_answer_time(answer_times const& times,
                                             std::string const& route,
                                             time_point at)
{
    auto const found = times.by_route.find(route);
    if (found == times.by_route.end() ||
        at - found->second.period_start >= 2 * times.options.period)
        return std::nullopt;
    auto const& recorded = found->second;
    std::chrono::duration<double, duration::period> const longest{
        std::max(recorded.longest, recorded.longest_before.value_or(duration{}))
            .count()};
    return std::chrono::duration_cast<duration>(longest *
                                                times.options.safety_factor) +
           times.options.margin;
}

} // namespace bramleyarch::decisions

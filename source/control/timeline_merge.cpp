#include "control/timeline_merge.hpp"

#include "common/request_id_text.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>

namespace bramleyarch::control
{

namespace
{

constexpr std::uint64_t ms_per_s = 1000;
constexpr std::uint64_t max_seconds = 253'402'300'799; // Year 9999.

/// UTC with milliseconds.
std::string time_text(hybrid_time const& at)
{
    auto const seconds =
        static_cast<std::time_t>(std::min(at.wall_ms / ms_per_s, max_seconds));
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z.{:04}",
                       fmt::gmtime(seconds), at.wall_ms % ms_per_s, at.logical);
}

template <class Id>
bool holds(std::optional<Id> const& wanted, Id const& found)
{
    return !wanted || *wanted == found;
}

} // namespace

std::vector<fleet_event>
merge(std::vector<services::router_timeline> const& lines)
{
    std::vector<fleet_event> events;
    for (auto const& line : lines)
    {
        for (auto const& what : line.events)
            events.push_back(
                {.router = line.router, .domain = line.domain, .what = what});
    }
    std::ranges::stable_sort(events,
                             [](fleet_event const& a, fleet_event const& b)
                             {
                                 if (a.what.at != b.what.at)
                                     return a.what.at < b.what.at;
                                 return a.router < b.router;
                             });
    return events;
}

bool matches(timeline_filter const& filter, event const& what)
{
    bool const kind = filter.kinds.empty() ||
                      std::ranges::count(filter.kinds, what.kind) != 0;
    return kind && holds(filter.request, what.request) &&
           holds(filter.server, what.server) && holds(filter.team, what.team) &&
           what.at.wall_ms >= filter.from_ms && what.at.wall_ms <= filter.to_ms;
}

std::vector<fleet_event> select(timeline_filter const& filter,
                                std::vector<fleet_event> const& events)
{
    std::vector<fleet_event> selected;
    std::ranges::copy_if(events, std::back_inserter(selected),
                         [&](fleet_event const& e)
                         { return matches(filter, e.what); });
    return selected;
}

std::string to_line(fleet_event const& e)
{
    auto const& what = e.what;
    auto text = fmt::format("{} {} {} {}", time_text(what.at), e.router.value,
                            e.domain.value, to_name(what.kind));
    if (what.request != request_id{})
        text += " request=" + to_text(what.request);
    if (!what.server.empty())
        text += " server=" + what.server.value;
    if (!what.team.empty())
        text += " team=" + what.team.value;
    if (what.config != 0)
        text += fmt::format(" revision={}", what.config);
    if (!what.cause.empty())
        text += ": " + what.cause;
    return text;
}

std::string to_json(std::vector<fleet_event> const& events)
{
    auto list = nlohmann::json::array();
    for (auto const& e : events)
    {
        auto const& what = e.what;
        nlohmann::json row{
            {"ms", what.at.wall_ms},      {"logical", what.at.logical},
            {"router", e.router.value},   {"domain", e.domain.value},
            {"kind", to_name(what.kind)}, {"cause", what.cause}};
        if (what.request != request_id{})
            row["request"] = to_text(what.request);
        if (!what.server.empty())
            row["server"] = what.server.value;
        if (!what.team.empty())
            row["team"] = what.team.value;
        if (what.config != 0)
            row["revision"] = what.config;
        list.push_back(std::move(row));
    }
    constexpr int indent = 2;
    return list.dump(indent, ' ', true,
                     nlohmann::json::error_handler_t::replace);
}

} // namespace bramleyarch::control

/// Merges the time lines of routers in causal order, and filters them.
#pragma once

#include "common/event.hpp"
#include "services/timeline/event_json.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bramleyarch::control
{

/// An event with the router that recorded it.
struct fleet_event
{
    router_id router;
    domain_id domain;
    event what;
};

/// What to show; empty conditions hold for every event.
struct timeline_filter
{
    std::optional<request_id> request;
    std::optional<server_id> server;
    std::optional<team_id> team;
    std::vector<event_kind> kinds;
    std::uint64_t from_ms = 0; ///< Unix time.
    std::uint64_t to_ms = UINT64_MAX;
};

/// All events in the order of their hybrid time, which respects causes.
std::vector<fleet_event>
merge(std::vector<services::router_timeline> const& lines);

bool matches(timeline_filter const& filter, event const& what);

/// Events that match, in their order.
std::vector<fleet_event> select(timeline_filter const& filter,
                                std::vector<fleet_event> const& events);

/// One line of text.
std::string to_line(fleet_event const& e);

/// JSON: an array of objects.
std::string to_json(std::vector<fleet_event> const& events);

} // namespace bramleyarch::control

/// Periodic maintenance of the links: heartbeats, limits and metrics.
#include "services/link/link_core.hpp"

#include <algorithm>
#include <utility>

namespace bramleyarch::services
{

namespace
{

constexpr duration report_interval = seconds{1};

std::vector<connection_ptr> all_connections(link_core const& core)
{
    std::vector<connection_ptr> all = core.unidentified;
    for (auto const& [peer, link] : core.outgoing)
        all.push_back(link);
    for (auto const& [peer, link] : core.incoming)
        all.push_back(link);
    return all;
}

bool is_busy(connection const& link)
{
    return !link.in_flight.empty() || !link.unsent_offers.empty();
}

/// Returns true if the connection has received nothing for longer than its
/// silence limit, or for longer than the suspect limit since it became suspect.
bool is_silent(link_options const& options, connection const& link,
               time_point at)
{
    bool const suspect = link.suspected_at > link.received_at;
    if (suspect && at - link.suspected_at > options.suspect_limit)
        return true;
    if (is_busy(link))
    {
        auto const since = std::max(link.received_at, link.busy_since);
        return at - since > options.silence_limit;
    }
    return at - link.received_at > options.idle_silence_limit;
}

/// Returns true if either direction has been unused for the heartbeat interval.
/// The reply to the heartbeat shows that both directions work. Only the router
/// that opened the connection initiates heartbeats.
bool is_heartbeat_due(link_options const& options, connection const& link,
                      time_point at)
{
    if (link.direction == link_direction::incoming)
        return false;
    auto const interval = is_busy(link) ? options.heartbeat_interval
                                        : options.idle_heartbeat_interval;
    bool const quiet =
        at - link.sent_at >= interval || at - link.received_at >= interval;
    return quiet && at - link.heartbeat_at >= interval;
}

void send_heartbeat(link_core& core, connection_ptr const& link, time_point at)
{
    link->heartbeat_at = at;
    queue_frame(core, link,
                wire::link_heartbeat{.number = ++link->heartbeat_number});
}

/// Sends a heartbeat on the other open outgoing links after one reached its
/// silence limit, and marks them as suspect until they receive something.
void probe_other_links(link_core& core, time_point at)
{
    for (auto const& link : all_connections(core))
    {
        bool const suspect = link->suspected_at > link->received_at;
        bool const should_probe = link->direction == link_direction::outgoing &&
                                  link->phase == link_phase::open && !suspect &&
                                  link->received_at < at;
        if (!should_probe)
            continue;
        link->suspected_at = at;
        send_heartbeat(core, link, at);
    }
}

void maintain_open_link(link_core& core, connection_ptr const& link,
                        time_point at)
{
    if (is_silent(core.options, *link, at))
    {
        close_connection(core, link, close_cause::silent);
        if (link->direction == link_direction::outgoing)
            probe_other_links(core, at);
        return;
    }
    bool const unused =
        !is_busy(*link) && at - link->last_used_at > core.options.idle_limit;
    if (unused && link->direction == link_direction::outgoing)
    {
        close_connection(core, link, close_cause::idle);
        return;
    }
    if (!is_heartbeat_due(core.options, *link, at))
        return;
    send_heartbeat(core, link, at);
}

/// Restarts all silence limits after a pause of this process, in which it could
/// not receive what its peers sent.
void reset_silence_timers(link_core& core, time_point at)
{
    for (auto const& link : all_connections(core))
        link->received_at = at;
}

void report_metrics(link_core& core, time_point at)
{
    if (at - core.last_report_at < report_interval)
        return;
    core.last_report_at = at;
    send(core.metrics, counters_added{std::exchange(core.counters, {})});
    if (!core.round_trips.empty())
        send(core.metrics,
             latencies_observed{latency_kind::link_round_trip,
                                std::exchange(core.round_trips, {})});
}

} // namespace

void maintain_links(link_core& core)
{
    auto const at = now(core);
    if (at - core.last_tick_at > core.options.silence_limit / 2)
        reset_silence_timers(core, at);
    core.last_tick_at = at;
    for (auto const& link : all_connections(core))
    {
        if (link->phase == link_phase::open)
            maintain_open_link(core, link, at);
        else if (at - link->created_at > core.options.connect_limit)
            close_connection(core, link, close_cause::refused);
    }
    report_metrics(core, at);
}

} // namespace bramleyarch::services

#include "services/owner/owner_parts.hpp"

#include <fmt/format.h>

#include <utility>

namespace bramleyarch::services::owning
{

namespace
{

using decisions::body_status;

/// Maximum number of bodies kept per server until its death is detected.
constexpr std::size_t max_closed_bodies = 256;

void publish_quarantine_update(owner_state& state,
                               quarantine_update const& update)
{
    kernel::send(state.routing, update);
    kernel::send(state.members, update);
}

void record_quarantine(owner_state& state, server_id const& server,
                       std::uint64_t body)
{
    auto const ttl = state.suspect_bodies.options.quarantine_ttl;
    count(state.telemetry_sink, counter::quarantines);
    record(state.telemetry_sink,
           {.kind = event_kind::body_quarantined,
            .server = server,
            .cause = fmt::format("body {:016x} was in flight", body)});
    publish_quarantine_update(
        state, {.body_fingerprint = body,
                .server = server,
                .quarantined = true,
                .ttl_ms = static_cast<std::uint32_t>(to_ms(ttl))});
}

void record_suspect_body(owner_state& state, owned_server const& server,
                         std::uint64_t body, time_point at)
{
    auto const status = decisions::record_suspect(state.suspect_bodies, body,
                                                  server.config.id, at);
    if (status == body_status::quarantined)
    {
        record_quarantine(state, server.config.id, body);
        return;
    }
    auto const ttl = state.suspect_bodies.options.suspect_ttl;
    count(state.telemetry_sink, counter::suspects_recorded);
    record(state.telemetry_sink,
           {.kind = event_kind::body_suspected,
            .server = server.config.id,
            .cause = fmt::format("body {:016x} was in flight", body)});
    publish_quarantine_update(
        state, {.body_fingerprint = body,
                .server = server.config.id,
                .quarantined = false,
                .ttl_ms = static_cast<std::uint32_t>(to_ms(ttl))});
}

} // namespace

void record_closed_connection(owner_state& state, owner_context& ctx,
                              owned_server& server,
                              owned_attempt const& attempt)
{
    auto const body = attempt.offered.request.body_fingerprint;
    auto const oldest = now(ctx) - state.options.death_window;
    std::erase_if(server.closed_bodies, [oldest](auto const& entry)
                  { return entry.closed_at < oldest; });
    if (body != 0 && server.closed_bodies.size() < max_closed_bodies)
        server.closed_bodies.push_back({body, now(ctx)});
    // The report is read at once and shows whether the server died.
    kernel::send(state.backend, read_load_report{server.config.id});
}

void handle_server_death(owner_state& state, owner_context& ctx,
                         owned_server& server)
{
    auto const closed = std::exchange(server.closed_bodies, {});
    auto const oldest = now(ctx) - state.options.death_window;
    bool has_suspects = false;
    for (auto const& entry : closed)
    {
        if (entry.closed_at < oldest)
            continue;
        record_suspect_body(state, server, entry.body, now(ctx));
        has_suspects = true;
    }
    if (has_suspects)
        record(state.telemetry_sink,
               {.kind = event_kind::server_dead,
                .server = server.config.id,
                .cause = "closed its connections and died"});
}

void record_completed_body(owner_state& state, std::uint64_t body)
{
    if (body == 0 ||
        !decisions::clear_suspected_body(state.suspect_bodies, body))
        return;
    record(state.telemetry_sink,
           {.kind = event_kind::body_cleared,
            .cause = fmt::format("body {:016x} completed", body)});
}

void merge_quarantine_update(owner_state& state, owner_context& ctx,
                             quarantine_update const& update)
{
    auto const body = update.body_fingerprint;
    auto const status_before =
        decisions::status_of(state.suspect_bodies, body, now(ctx));
    auto const status_after = decisions::merge_remote_status(
        state.suspect_bodies, body,
        update.quarantined ? body_status::quarantined : body_status::suspect,
        update.server, std::chrono::milliseconds{update.ttl_ms}, now(ctx));
    bool const newly_quarantined = status_after == body_status::quarantined &&
                                   status_before != body_status::quarantined &&
                                   !update.quarantined;
    if (newly_quarantined)
        record_quarantine(state, update.server, body);
}

} // namespace bramleyarch::services::owning

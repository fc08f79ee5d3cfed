#include "services/owner/owner_parts.hpp"

#include <fmt/format.h>

#include <utility>

namespace bramleyarch::services::owning
{

namespace
{

using decisions::body_status;

/// Bodies that are remembered per server until its death is known.
constexpr std::size_t max_closed_bodies = 256;

void announce(owner_state& state, quarantine_update const& notice)
{
    kernel::send(state.routing, notice);
    kernel::send(state.members, notice);
}

void quarantine(owner_state& state, server_id const& server, std::uint64_t body)
{
    auto const ttl = state.bodies.options.quarantine_ttl;
    count(state.metrics, counter::quarantines);
    record(state.metrics,
           {.kind = event_kind::body_quarantined,
            .server = server,
            .cause = fmt::format("body {:016x} was in flight", body)});
    announce(state, {.body_fingerprint = body,
                     .server = server,
                     .quarantined = true,
                     .ttl_ms = static_cast<std::uint32_t>(to_ms(ttl))});
}

void suspect(owner_state& state, owned_server const& server, std::uint64_t body,
             time_point at)
{
    auto const standing =
        decisions::record_suspect(state.bodies, body, server.config.id, at);
    if (standing == body_status::quarantined)
    {
        quarantine(state, server.config.id, body);
        return;
    }
    auto const ttl = state.bodies.options.suspect_ttl;
    count(state.metrics, counter::suspects_recorded);
    record(state.metrics,
           {.kind = event_kind::body_suspected,
            .server = server.config.id,
            .cause = fmt::format("body {:016x} was in flight", body)});
    announce(state, {.body_fingerprint = body,
                     .server = server.config.id,
                     .quarantined = false,
                     .ttl_ms = static_cast<std::uint32_t>(to_ms(ttl))});
}

} // namespace

void note_closed(owner_state& state, owner_context& ctx, owned_server& server,
                 owned_attempt const& attempt)
{
    auto const body = attempt.asked.request.body_fingerprint;
    auto const oldest = now(ctx) - state.options.death_window;
    std::erase_if(server.closed,
                  [oldest](auto const& entry) { return entry.at < oldest; });
    if (body != 0 && server.closed.size() < max_closed_bodies)
        server.closed.push_back({body, now(ctx)});
    // The next report, which is read at once, tells whether it died.
    kernel::send(state.backend, read_load_report{server.config.id});
}

void note_death(owner_state& state, owner_context& ctx, owned_server& server)
{
    auto const closed = std::exchange(server.closed, {});
    auto const oldest = now(ctx) - state.options.death_window;
    bool any = false;
    for (auto const& entry : closed)
    {
        if (entry.at < oldest)
            continue;
        suspect(state, server, entry.body, now(ctx));
        any = true;
    }
    if (any)
        record(state.metrics, {.kind = event_kind::server_dead,
                               .server = server.config.id,
                               .cause = "closed its connections and is gone"});
}

void clear_suspect(owner_state& state, std::uint64_t body)
{
    if (body == 0 || !decisions::clear_suspected_body(state.bodies, body))
        return;
    record(state.metrics,
           {.kind = event_kind::body_cleared,
            .cause = fmt::format("body {:016x} completed", body)});
}

void take_notice(owner_state& state, owner_context& ctx,
                 quarantine_update const& notice)
{
    auto const body = notice.body_fingerprint;
    auto const before = decisions::status_of(state.bodies, body, now(ctx));
    auto const after = decisions::merge_remote_status(
        state.bodies, body,
        notice.quarantined ? body_status::quarantined : body_status::suspect,
        notice.server, std::chrono::milliseconds{notice.ttl_ms}, now(ctx));
    bool const found_out = after == body_status::quarantined &&
                           before != body_status::quarantined &&
                           !notice.quarantined;
    if (found_out)
        quarantine(state, notice.server, body);
}

} // namespace bramleyarch::services::owning

#include "services/owner/owner_parts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bramleyarch::services::owning
{

namespace
{

bool in_service(config::document const& config,
                config::server_config const& server)
{
    if (server.state != config::server_state::in_service)
        return false;
    auto const domain =
        std::find_if(config.domains.begin(), config.domains.end(),
                     [&](auto const& d) { return d.id == server.domain; });
    return domain != config.domains.end() &&
           domain->state == config::domain_state::in_service;
}

void gain(owner_state& state, owner_context& ctx, owned_server& server)
{
    server.owned = true;
    server.reported = false;
    server.taken_over = now(ctx);
    server.held_until.reset();
    if (state.options.takeover_hold > duration::zero())
        server.held_until = now(ctx) + state.options.takeover_hold;
    server.slow_start = decisions::make_slow_start(server.config.capacity,
                                                   server.config.cold_capacity);
    server.queue.options.fair = state.options.fair_queue;
    count(state.metrics, counter::ownership_gained);
    record(state.metrics, {.kind = event_kind::ownership_gained,
                           .server = server.config.id,
                           .config = state.config->version,
                           .cause = "offers wait for a newer report"});
    kernel::send(state.backend,
                 watch_server{.server = server.config.id,
                              .address = server.config.address,
                              .interval = state.options.report_interval});
}

void lose(owner_state& state, owned_server& server)
{
    server.owned = false;
    server.held_until.reset();
    count(state.metrics, counter::ownership_lost);
    record(state.metrics, {.kind = event_kind::ownership_lost,
                           .server = server.config.id,
                           .config = state.config->version,
                           .cause = fmt::format("{} in flight are finished",
                                                server.in_flight)});
    kernel::send(state.backend, unwatch_server{server.config.id});
    redirect_queue(state, server, error_kind::owner_lost);
}

/// Takes over the server's configuration; its queue leaves when it is no
/// longer in service.
void configure(owner_state& state, owner_context& ctx, owned_server& server,
               config::server_config const& config, bool serves)
{
    bool const moved = server.config.address != config.address;
    if (moved && server.owned && !server.config.id.empty())
    {
        decisions::reset_to_cold(server.slow_start,
                                 decisions::cold_cause::ownership_gained);
        kernel::send(state.backend,
                     watch_server{.server = config.id,
                                  .address = config.address,
                                  .interval = state.options.report_interval});
    }
    server.config = config;
    decisions::set_capacity(server.slow_start, config.capacity,
                            config.cold_capacity);
    server.queue.options.capacity = state.config->limits.queue_per_server;
    if (server.in_service && !serves)
    {
        record(state.metrics, {.kind = event_kind::domain_taken_out,
                               .server = config.id,
                               .config = state.config->version,
                               .cause = "server or its domain left service"});
        server.in_service = false;
        redirect_queue(state, server, error_kind::no_eligible_server);
        return;
    }
    if (!server.in_service && serves)
    {
        record(state.metrics, {.kind = event_kind::domain_returned,
                               .server = config.id,
                               .config = state.config->version,
                               .cause = "server and its domain in service"});
        server.in_service = true;
        // Nothing is known of what happened to it outside service.
        decisions::reset_to_cold(server.slow_start,
                                 decisions::cold_cause::ownership_gained);
        server.reported = false;
        server.taken_over = now(ctx);
    }
}

void update_server(owner_state& state, owner_context& ctx,
                   config::service_config const& service,
                   config::server_config const& config, bool mine)
{
    auto* server = find_server(state, config.id);
    if (!server && !mine)
        return;
    bool const serves = in_service(*state.config, config);
    bool const added = !server;
    if (added)
    {
        server = &state.servers[config.id];
        server->owned = false;
        server->in_service = serves;
    }
    server->service = service.id;
    configure(state, ctx, *server, config, serves);
    if (mine && !server->owned)
        gain(state, ctx, *server);
    else if (!mine && server->owned)
        lose(state, *server);
}

void drop_foreign(owner_state& state, server_id const& server)
{
    for (auto& [service, loads] : state.foreign)
        loads.servers.erase(server);
}

void end_hold(owner_state& state, owned_server& server, std::string cause)
{
    if (!server.held_until)
        return;
    server.held_until.reset();
    count(state.metrics, counter::takeovers_settled);
    record(state.metrics, {.kind = event_kind::takeover_settled,
                           .server = server.config.id,
                           .cause = std::move(cause)});
}

/// A report that is newer than the take-over ends the hold, and the reduced
/// limit as well if the server states its incarnation and that it is warm.
void trust_report(owner_state& state, owner_context& ctx, owned_server& server,
                  server_load_report const& report)
{
    auto const made = now(ctx) - std::chrono::milliseconds{report.age_ms};
    auto const least = server.taken_over + state.options.handover_margin;
    if (server.reported || made <= least)
        return;
    server.reported = true;
    end_hold(state, server,
             fmt::format("others hold {} by a newer report", server.others));
    bool const stated = report.server_incarnation != 0 && !report.cold;
    if (!stated ||
        server.slow_start.cause != decisions::cold_cause::ownership_gained)
    {
        return;
    }
    decisions::start_warm(server.slow_start, report.running);
    record(state.metrics,
           {.kind = event_kind::server_warm,
            .server = server.config.id,
            .cause = fmt::format("warm by its own report, limit {}",
                                 server.slow_start.limit)});
}

} // namespace

void note_cold(owner_state& state, owned_server const& server)
{
    count(state.metrics, counter::servers_cold);
    record(state.metrics, {.kind = event_kind::server_cold,
                           .server = server.config.id,
                           .cause = fmt::format(
                               "{}, limit {}", to_name(server.slow_start.cause),
                               server.slow_start.limit)});
}

void update_ownership(owner_state& state, owner_context& ctx)
{
    if (!state.config || !state.view)
        return;
    state.options.admission.load_bound_percent =
        state.config->limits.load_bound_percent;
    state.bodies.options.quarantine_ttl = state.config->limits.quarantine;
    auto const assigned = decisions::assign_owners(*state.config, *state.view);
    std::set<server_id> known;
    state.service_of.clear();
    for (auto const& service : state.config->services)
    {
        for (auto const& config : service.servers)
        {
            known.insert(config.id);
            auto const owner = decisions::owner_of(assigned, config.id);
            bool const mine = owner == state.options.self;
            update_server(state, ctx, service, config, mine);
            state.service_of[config.id] = service.id;
            if (mine || !in_service(*state.config, config))
                drop_foreign(state, config.id);
        }
    }
    for (auto& [id, server] : state.servers)
    {
        if (known.contains(id) || !server.owned)
            continue;
        server.in_service = false;
        lose(state, server);
    }
    publish_loads(state, ctx);
}

std::uint32_t current_limit(owner_state const& state,
                            owned_server const& server, time_point at)
{
    auto const limit =
        decisions::effective_limit(server.slow_start, state.options.slow_start);
    bool const disputed = state.options.slow_start.enabled &&
                          server.disputed_until && at < *server.disputed_until;
    if (!disputed)
        return limit;
    return decisions::shared_ownership_limit(limit, server.slow_start.capacity,
                                             server.slow_start.cold_capacity);
}

server_load load_of(owner_state const& state, owned_server const& server)
{
    return {.server = server.config.id,
            .in_flight = server.in_flight + server.others,
            .queued = static_cast<std::uint32_t>(server.queue.size),
            .limit = decisions::effective_limit(server.slow_start,
                                                state.options.slow_start),
            .cold = decisions::is_cold(server.slow_start),
            .usable = server.owned && server.in_service &&
                      server.breaker.state != decisions::breaker_state::open};
}

void publish_loads(owner_state& state, owner_context& ctx)
{
    loads_changed changed{.owner = state.options.self, .loads = {}};
    for (auto& [id, server] : state.servers)
    {
        if (!server.owned)
            continue;
        server.published = server.in_flight;
        changed.loads.push_back(load_of(state, server));
    }
    state.published = now(ctx);
    kernel::send(state.routing, changed);
    kernel::send(state.members, std::move(changed));
}

void note_load(owner_state& state, owner_context& ctx, owned_server& server)
{
    constexpr std::uint32_t least_change = 2;
    constexpr std::uint32_t part_of_limit = 4;
    auto const most = std::max(server.in_flight, server.published);
    auto const least = std::min(server.in_flight, server.published);
    auto const much =
        std::max(least_change, server.slow_start.limit / part_of_limit);
    if (most - least < much ||
        now(ctx) - state.published < state.options.publish_gap)
    {
        return;
    }
    publish_loads(state, ctx);
}

void take_loads(owner_state& state, owner_context& ctx,
                loads_changed const& changed)
{
    if (changed.owner == state.options.self)
        return;
    for (auto const& load : changed.loads)
    {
        auto const* own = find_server(state, load.server);
        auto const service = state.service_of.find(load.server);
        if ((own && own->owned) || service == state.service_of.end())
            continue;
        auto& loads = state.foreign[service->second];
        if (!load.usable)
        {
            loads.servers.erase(load.server);
            continue;
        }
        decisions::record_remote_owner_load(loads, load.server,
                                            {.in_flight = load.in_flight,
                                             .limit = load.limit,
                                             .reported_at = now(ctx)});
    }
    for (auto& [id, server] : state.servers)
        serve_queue(state, ctx, server);
}

void take_report(owner_state& state, owner_context& ctx,
                 server_load_report const& report)
{
    auto* server = find_server(state, report.server);
    if (!server || !server->owned)
        return;
    count(state.metrics, counter::load_reports);
    auto const age = std::chrono::milliseconds{report.age_ms};
    auto const known = server->slow_start.server_incarnation;
    bool const restarted = known != 0 && report.server_incarnation != 0 &&
                           known != report.server_incarnation;
    server->others = decisions::estimate_remote_in_flight(
        server->history, report.running + report.waiting, now(ctx) - age);
    server->others_seen = now(ctx);
    if (server->others > 0)
        server->disputed_until = now(ctx) + state.options.dispute_time;
    if (decisions::apply_load_report(server->slow_start,
                                     report.server_incarnation, report.cold))
    {
        note_cold(state, *server);
    }
    if (restarted)
        note_death(state, ctx, *server);
    trust_report(state, ctx, *server, report);
    serve_queue(state, ctx, *server);
}

void expire_hold(owner_state& state, owner_context& ctx, owned_server& server)
{
    if (server.held_until && *server.held_until <= now(ctx))
        end_hold(state, server, "no newer report in time");
}

void take_report_failure(owner_state& state, owner_context& ctx,
                         server_load_report_failed const& failure)
{
    auto* server = find_server(state, failure.server);
    if (!server || !server->owned)
        return;
    count(state.metrics, counter::load_reports_failed);
    if (failure.cause.kind == error_kind::server_connect_failed)
        note_death(state, ctx, *server);
}

} // namespace bramleyarch::services::owning

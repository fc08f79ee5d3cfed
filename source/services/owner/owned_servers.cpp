#include "services/owner/owner_parts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bramleyarch::services::owning
{

namespace
{

bool is_in_service(config::document const& config,
                   config::server_config const& server)
{
    if (server.state != config::server_state::in_service)
        return false;
    auto const domain = std::find_if(
        config.domains.begin(), config.domains.end(),
        [&](auto const& candidate) { return candidate.id == server.domain; });
    return domain != config.domains.end() &&
           domain->state == config::domain_state::in_service;
}

void gain_ownership(owner_state& state, owner_context& ctx,
                    owned_server& server)
{
    server.owned = true;
    server.has_current_report = false;
    server.ownership_gained_at = now(ctx);
    server.admission_held_until.reset();
    if (state.options.takeover_hold > duration::zero())
        server.admission_held_until = now(ctx) + state.options.takeover_hold;
    server.slow_start = decisions::make_slow_start(server.config.capacity,
                                                   server.config.cold_capacity);
    server.queue.options.fair = state.options.fair_queue;
    count(state.telemetry_sink, counter::ownership_gained);
    record(state.telemetry_sink,
           {.kind = event_kind::ownership_gained,
            .server = server.config.id,
            .config = state.config->version,
            .cause = "admission waits for a newer load report"});
    kernel::send(state.backend,
                 watch_server{.server = server.config.id,
                              .address = server.config.address,
                              .interval = state.options.report_interval});
}

void lose_ownership(owner_state& state, owned_server& server)
{
    server.owned = false;
    server.admission_held_until.reset();
    count(state.telemetry_sink, counter::ownership_lost);
    record(state.telemetry_sink,
           {.kind = event_kind::ownership_lost,
            .server = server.config.id,
            .config = state.config->version,
            .cause = fmt::format("{} requests in flight continue",
                                 server.in_flight)});
    kernel::send(state.backend, unwatch_server{server.config.id});
    redirect_queue(state, server, error_kind::owner_lost);
}

/// Applies the server's configuration, and redirects its queue if it is no
/// longer in service.
void apply_server_config(owner_state& state, owner_context& ctx,
                         owned_server& server,
                         config::server_config const& config, bool is_eligible)
{
    bool const address_changed = server.config.address != config.address;
    if (address_changed && server.owned && !server.config.id.empty())
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
    if (server.in_service && !is_eligible)
    {
        record(state.telemetry_sink,
               {.kind = event_kind::domain_taken_out,
                .server = config.id,
                .config = state.config->version,
                .cause = "server or its domain left service"});
        server.in_service = false;
        redirect_queue(state, server, error_kind::no_eligible_server);
        return;
    }
    if (!server.in_service && is_eligible)
    {
        record(state.telemetry_sink,
               {.kind = event_kind::domain_returned,
                .server = config.id,
                .config = state.config->version,
                .cause = "server and its domain are in service"});
        server.in_service = true;
        // The server may have been restarted while it was out of service.
        decisions::reset_to_cold(server.slow_start,
                                 decisions::cold_cause::ownership_gained);
        server.has_current_report = false;
        server.ownership_gained_at = now(ctx);
    }
}

void update_server(owner_state& state, owner_context& ctx,
                   config::service_config const& service,
                   config::server_config const& config, bool owned_here)
{
    auto* server = find_server(state, config.id);
    if (!server && !owned_here)
        return;
    bool const is_eligible = is_in_service(*state.config, config);
    bool const added = !server;
    if (added)
    {
        server = &state.servers[config.id];
        server->owned = false;
        server->in_service = is_eligible;
    }
    server->service = service.id;
    apply_server_config(state, ctx, *server, config, is_eligible);
    if (owned_here && !server->owned)
        gain_ownership(state, ctx, *server);
    else if (!owned_here && server->owned)
        lose_ownership(state, *server);
}

void remove_remote_loads(owner_state& state, server_id const& server)
{
    for (auto& [service, loads] : state.remote_loads)
        loads.servers.erase(server);
}

void end_admission_hold(owner_state& state, owned_server& server,
                        std::string cause)
{
    if (!server.admission_held_until)
        return;
    server.admission_held_until.reset();
    count(state.telemetry_sink, counter::takeovers_settled);
    record(state.telemetry_sink, {.kind = event_kind::takeover_settled,
                                  .server = server.config.id,
                                  .cause = std::move(cause)});
}

/// Ends the admission hold after a load report that is newer than the gain of
/// ownership. The report also ends the reduced limit if it has an incarnation
/// and the server is warm.
void handle_report_after_takeover(owner_state& state, owner_context& ctx,
                                  owned_server& server,
                                  server_load_report const& report)
{
    auto const measured_at =
        now(ctx) - std::chrono::milliseconds{report.age_ms};
    auto const earliest_valid =
        server.ownership_gained_at + state.options.handover_margin;
    if (server.has_current_report || measured_at <= earliest_valid)
        return;
    server.has_current_report = true;
    end_admission_hold(
        state, server,
        fmt::format("a newer load report shows {} requests of other owners",
                    server.remote_in_flight));
    bool const reported_warm = report.server_incarnation != 0 && !report.cold;
    if (!reported_warm ||
        server.slow_start.cause != decisions::cold_cause::ownership_gained)
    {
        return;
    }
    decisions::start_warm(server.slow_start, report.running);
    record(state.telemetry_sink,
           {.kind = event_kind::server_warm,
            .server = server.config.id,
            .cause = fmt::format("reported itself warm, limit {}",
                                 server.slow_start.limit)});
}

} // namespace

void record_server_cold(owner_state& state, owned_server const& server)
{
    count(state.telemetry_sink, counter::servers_cold);
    record(
        state.telemetry_sink,
        {.kind = event_kind::server_cold,
         .server = server.config.id,
         .cause = fmt::format("{}, limit {}", to_name(server.slow_start.cause),
                              server.slow_start.limit)});
}

void update_ownership(owner_state& state, owner_context& ctx)
{
    if (!state.config || !state.view)
        return;
    state.options.admission.load_bound_percent =
        state.config->limits.load_bound_percent;
    state.suspect_bodies.options.quarantine_ttl =
        state.config->limits.quarantine;
    auto const assigned = decisions::assign_owners(*state.config, *state.view);
    std::set<server_id> known;
    state.service_by_server.clear();
    for (auto const& service : state.config->services)
    {
        for (auto const& config : service.servers)
        {
            known.insert(config.id);
            auto const owner = decisions::owner_of(assigned, config.id);
            bool const owned_here = owner == state.options.self;
            update_server(state, ctx, service, config, owned_here);
            state.service_by_server[config.id] = service.id;
            if (owned_here || !is_in_service(*state.config, config))
                remove_remote_loads(state, config.id);
        }
    }
    for (auto& [id, server] : state.servers)
    {
        if (known.contains(id) || !server.owned)
            continue;
        server.in_service = false;
        lose_ownership(state, server);
    }
    publish_loads(state, ctx);
}

std::uint32_t current_limit(owner_state const& state,
                            owned_server const& server, time_point at)
{
    auto const limit =
        decisions::effective_limit(server.slow_start, state.options.slow_start);
    bool const is_shared = state.options.slow_start.enabled &&
                           server.shared_until && at < *server.shared_until;
    if (!is_shared)
        return limit;
    return decisions::shared_ownership_limit(limit, server.slow_start.capacity,
                                             server.slow_start.cold_capacity);
}

server_load load_of(owner_state const& state, owned_server const& server)
{
    return {.server = server.config.id,
            .in_flight = server.in_flight + server.remote_in_flight,
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
        server.published_in_flight = server.in_flight;
        changed.loads.push_back(load_of(state, server));
    }
    state.loads_published_at = now(ctx);
    kernel::send(state.routing, changed);
    kernel::send(state.members, std::move(changed));
}

void publish_changed_load(owner_state& state, owner_context& ctx,
                          owned_server& server)
{
    constexpr std::uint32_t min_change = 2;
    constexpr std::uint32_t limit_divisor = 4;
    auto const larger = std::max(server.in_flight, server.published_in_flight);
    auto const smaller = std::min(server.in_flight, server.published_in_flight);
    auto const publish_threshold =
        std::max(min_change, server.slow_start.limit / limit_divisor);
    if (larger - smaller < publish_threshold ||
        now(ctx) - state.loads_published_at <
            state.options.min_publish_interval)
    {
        return;
    }
    publish_loads(state, ctx);
}

void record_remote_loads(owner_state& state, owner_context& ctx,
                         loads_changed const& changed)
{
    if (changed.owner == state.options.self)
        return;
    for (auto const& load : changed.loads)
    {
        auto const* local = find_server(state, load.server);
        auto const service = state.service_by_server.find(load.server);
        if ((local && local->owned) || service == state.service_by_server.end())
            continue;
        auto& loads = state.remote_loads[service->second];
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
        admit_queued_requests(state, ctx, server);
}

void handle_load_report(owner_state& state, owner_context& ctx,
                        server_load_report const& report)
{
    auto* server = find_server(state, report.server);
    if (!server || !server->owned)
        return;
    count(state.telemetry_sink, counter::load_reports);
    auto const age = std::chrono::milliseconds{report.age_ms};
    auto const known_incarnation = server->slow_start.server_incarnation;
    bool const restarted = known_incarnation != 0 &&
                           report.server_incarnation != 0 &&
                           known_incarnation != report.server_incarnation;
    server->remote_in_flight = decisions::estimate_remote_in_flight(
        server->history, report.running + report.waiting, now(ctx) - age);
    server->remote_in_flight_at = now(ctx);
    if (server->remote_in_flight > 0)
        server->shared_until =
            now(ctx) + state.options.shared_ownership_duration;
    if (decisions::apply_load_report(server->slow_start,
                                     report.server_incarnation, report.cold))
    {
        record_server_cold(state, *server);
    }
    if (restarted)
        handle_server_death(state, ctx, *server);
    handle_report_after_takeover(state, ctx, *server, report);
    admit_queued_requests(state, ctx, *server);
}

void end_expired_admission_hold(owner_state& state, owner_context& ctx,
                                owned_server& server)
{
    if (server.admission_held_until && *server.admission_held_until <= now(ctx))
        end_admission_hold(state, server, "no newer load report in time");
}

void handle_load_report_failure(owner_state& state, owner_context& ctx,
                                server_load_report_failed const& failure)
{
    auto* server = find_server(state, failure.server);
    if (!server || !server->owned)
        return;
    count(state.telemetry_sink, counter::load_reports_failed);
    if (failure.cause.kind == error_kind::server_connect_failed)
        handle_server_death(state, ctx, *server);
}

} // namespace bramleyarch::services::owning

#include "services/entry/entry_service.hpp"

#include "common/request_id_text.hpp"
#include "services/entry/entry_parts.hpp"
#include "services/messages/names.hpp"

#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

constexpr int ticks_per_flush = 4;

entry_request* find(entry_state& state, request_id const& id)
{
    auto const found = state.requests.find(id);
    return found == state.requests.end() ? nullptr : &found->second;
}

void handle(entry_state& state, entry_context& ctx, submit_request message)
{
    count(state.counted, counter::requests_received);
    auto const id = message.request.id;
    auto& r = state.requests[id];
    r.request = std::move(message.request);
    r.reply = std::move(message.reply);
    if (!state.deployment || !state.deployment->rules)
    {
        end_request(state, ctx, r, {error_kind::not_ready, "no rules yet"},
                    retry_hint(state, state.options.retry_after));
        return;
    }
    // A caller that resumes has what came up to its last event.
    if (r.request.terms.resumable && r.request.resume_offset > 0)
        r.cursor.last_id = r.request.resume_offset;
    r.deadline_timer =
        schedule(ctx, time_left(state, r, now(ctx)), request_expired{id});
    send_attempt(state, ctx, r);
    if (auto const* const sent = find(state, id))
        decisions::record_request(state.retries[sent->request.service],
                                  state.options.retries, now(ctx));
}

void handle(entry_state& state, entry_context& ctx,
            cancel_request const& message)
{
    auto* const r = find(state, message.request);
    if (!r)
        return;
    count(state.counted, counter::callers_gone);
    log(state.counted, log_severity::info, "caller_left",
        fmt::format("request={} server={} attempts={}", to_text(r->request.id),
                    r->server.value, r->sent));
    drop_attempt(state, ctx, *r);
    forget(state, ctx, *r);
}

void handle(entry_state& state, entry_context&,
            answer_bytes_consumed const& message)
{
    if (auto const* const r = find(state, message.request))
        send(state.backend,
             grant_backend_credit{{r->request.id, r->attempt}, message.bytes});
}

void handle(entry_state& state, entry_context& ctx,
            request_expired const& message)
{
    auto* const r = find(state, message.request);
    if (!r)
        return;
    r->deadline_timer = 0;
    end_request(state, ctx, *r,
                {error_kind::deadline_exceeded,
                 fmt::format("server {} had it", r->server.value)});
}

/// The current attempt has given no byte for too long.
void handle(entry_state& state, entry_context& ctx,
            request_check_due const& message)
{
    auto* const r = find(state, message.request);
    if (!r || r->server.empty())
        return;
    r->silence_timer = 0;
    check_silence(state, ctx, *r);
}

void handle(entry_state& state, entry_context& ctx, deployment_changed message)
{
    state.deployment = std::move(message.deployment);
    take_servers(state, now(ctx));
}

void handle(entry_state& state, entry_context& ctx, attempt_event event)
{
    take_attempt_event(state, ctx, std::move(event));
}

void handle(entry_state& state, entry_context& ctx,
            peer_heartbeat_received const& told)
{
    decisions::apply_heartbeat(state.peer_loads, state.options.domain,
                               told.heartbeat, now(ctx));
}

/// What is news is told on, so that it reaches all routers.
void handle(entry_state& state, entry_context& ctx,
            peer_suspect_received const& suspect)
{
    if (decisions::record_crash(state.crashes, suspect.fingerprint,
                                suspect.server_hash, now(ctx)))
        send(state.peers_service,
             gossip_suspect{suspect.fingerprint, suspect.server_hash});
}

void handle(entry_state& state, entry_context&, fleet_changed message)
{
    state.other_routers = std::move(message.others);
}

void handle(entry_state& state, entry_context&,
            shared_limits_changed const& message)
{
    apply_shared_limits(state.options, message.limits);
}

void handle(entry_state& state, entry_context&, drain_started)
{
    state.draining = true;
}

void handle(entry_state& state, entry_context&, status_query const& query)
{
    query.reply(fmt::format(
        R"({{"requests":{},"servers":{},"routers":{},"draining":{}}})",
        state.requests.size(), state.servers.size(), fleet_of(state),
        state.draining));
}

void handle(entry_state& state, entry_context&, idle_query const& query)
{
    query.reply(state.requests.empty());
}

void handle(entry_state& state, entry_context& ctx, routing_tick)
{
    schedule(ctx, state.options.report_interval, routing_tick{});
    decisions::remove_expired_loads(state.peer_loads, now(ctx));
    check_pauses(state, now(ctx));
    probe_left_out(state, now(ctx));
    local_load_report report;
    for (auto const& [id, view] : state.servers)
    {
        if (view.own > 0)
            report.local.push_back({view.hash, view.own});
        auto const of_domain =
            view.own +
            decisions::remote_load_at(state.peer_loads, view.hash).own_domain;
        if (of_domain > 0)
            report.domain.push_back({view.hash, of_domain});
    }
    send(state.peers_service, std::move(report));
    if (++state.ticks % ticks_per_flush != 0)
        return;
    decisions::remove_expired_crashes(state.crashes, now(ctx));
    flush(state.counted);
}

/// Messages of fleets whose servers have owners.
template <class Message>
void handle(entry_state&, entry_context&, Message const&)
{
}

void start(entry_state& state, entry_context& ctx)
{
    state.random.seed(state.options.seed);
    state.peer_loads.options = state.options.peer_loads;
    connect(state.counted, *ctx.names);
    state.backend =
        ctx.names->find<backend_message>(to_name(service_name::backend));
    state.peers_service =
        ctx.names->find<peers_message>(to_name(service_name::peers));
    schedule(ctx, state.options.report_interval, routing_tick{});
}

void receive(entry_state& state, entry_context& ctx, routing_message message)
{
    std::visit([&](auto&& m)
               { handle(state, ctx, std::forward<decltype(m)>(m)); },
               std::move(message));
}

void stop(entry_state& state, entry_context&)
{
    flush(state.counted);
}

} // namespace

void apply_shared_limits(entry_options& options,
                         config::shared_limit_settings const& limits)
{
    options.retries.ratio = limits.retry_ratio;
    options.retries.slack = limits.retry_slack;
    options.retries.window = limits.retry_window;
    options.cold.overage = limits.cold_overage;
    options.cold.slack = limits.cold_slack;
    options.choice.limit_factor = limits.load_factor;
}

entry_service make_entry_service(entry_options options)
{
    return {.name = std::string{to_name(service_name::routing)},
            .state = {.options = std::move(options)},
            .start = start,
            .receive = receive,
            .stop = stop};
}

} // namespace bramleyarch::services

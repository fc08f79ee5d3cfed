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

/// Telemetry is flushed and expired crash records are removed once in this
/// many ticks.
constexpr int ticks_per_flush = 4;

/// Returns nullptr if the request is unknown or has ended.
entry_request* find_request(entry_state& state, request_id const& id)
{
    auto const found = state.requests.find(id);
    return found == state.requests.end() ? nullptr : &found->second;
}

void handle(entry_state& state, entry_context& ctx, submit_request message)
{
    count(state.telemetry_sink, counter::requests_received);
    auto const id = message.request.id;
    auto& request = state.requests[id];
    request.routed = std::move(message.request);
    request.reply = std::move(message.reply);
    if (!state.deployment || !state.deployment->rules)
    {
        fail_request(
            state, ctx, request,
            {error_kind::not_ready,
             "no routing rules have been received yet; retry later"},
            jittered_retry_after(state, state.options.min_retry_after));
        return;
    }
    request.deadline_timer = schedule(
        ctx, remaining_time(state, request, now(ctx)), request_expired{id});
    send_attempt(state, ctx, request);
    // The request may have failed and been removed meanwhile.
    if (auto const* const remaining = find_request(state, id))
        decisions::record_request(state.retry_shares[remaining->routed.service],
                                  state.options.retry_share, now(ctx));
}

void handle(entry_state& state, entry_context& ctx,
            cancel_request const& message)
{
    auto* const request = find_request(state, message.request);
    if (!request)
        return;
    count(state.telemetry_sink, counter::callers_gone);
    log(state.telemetry_sink, log_severity::info, "caller_left",
        fmt::format("request={} server={} attempts={}",
                    to_text(request->routed.id), request->current_server.value,
                    request->sent_attempts));
    abort_current_attempt(state, ctx, *request);
    remove_request(state, ctx, *request);
}

void handle(entry_state& state, entry_context&,
            answer_bytes_consumed const& message)
{
    if (auto const* const request = find_request(state, message.request))
        send(state.backend,
             grant_backend_credit{{request->routed.id, request->attempt_number},
                                  message.bytes});
}

void handle(entry_state& state, entry_context& ctx,
            request_expired const& message)
{
    auto* const request = find_request(state, message.request);
    if (!request)
        return;
    request->deadline_timer = 0;
    if (reject_expired_waiting(state, ctx, *request))
        return;
    bool const is_stopped =
        state.end_by && *state.end_by < request->routed.deadline;
    auto const limit = is_stopped ? *state.end_by : request->routed.deadline;
    // There is no answer left to return, which `deadline_margin` is kept for.
    if (request->stage == request_stage::forwarding_answer && now(ctx) < limit)
    {
        request->deadline_timer =
            schedule(ctx, limit - now(ctx), request_expired{message.request});
        return;
    }
    fail_request(
        state, ctx, *request,
        {is_stopped ? error_kind::draining : error_kind::deadline_exceeded,
         fmt::format("{} while waiting for server {}",
                     is_stopped ? "this instance stopped" : "deadline passed",
                     request->current_server.value)});
}

/// Handles the silence timer, which is delivered as `request_check_due`.
void handle(entry_state& state, entry_context& ctx,
            request_check_due const& message)
{
    auto* const request = find_request(state, message.request);
    if (!request || request->current_server.empty())
        return;
    request->silence_timer = 0;
    handle_silence_timeout(state, ctx, *request);
}

void handle(entry_state& state, entry_context& ctx, deployment_changed message)
{
    state.deployment = std::move(message.deployment);
    update_servers(state, now(ctx));
    update_rollouts(state, now(ctx));
    confirm_crashes_of_ended_runs(state, ctx);
}

void handle(entry_state& state, entry_context& ctx, attempt_event event)
{
    handle_attempt_event(state, ctx, std::move(event));
}

void handle(entry_state& state, entry_context& ctx,
            peer_heartbeat_received const& message)
{
    decisions::apply_heartbeat(state.remote_loads, state.options.domain,
                               message.heartbeat, now(ctx));
    apply_rollout_evidence(state, message.heartbeat, now(ctx));
    record_peer_paces(state, message.heartbeat, now(ctx));
    decisions::record_limits(state.request_limits,
                             message.heartbeat.server_limits, now(ctx));
    record_demands(state, ctx, message.heartbeat);
}

/// Forwards a crash that was not known yet, so that it also reaches routers
/// that do not receive the sender's heartbeats. An answer since then goes to
/// the other routers instead.
void handle(entry_state& state, entry_context&,
            peer_request_crash_received const& received)
{
    auto const& crash = received.crash;
    if (decisions::is_answered_since(state.crashes, crash))
        send(state.peers_service,
             gossip_request_answer{
                 {crash.request, state.crashes.answered_at.at(crash.request)}});
    else if (decisions::record_crash(state.crashes, crash))
        send(state.peers_service, gossip_request_crash{crash});
}

/// Forwards an answer that cleared a request, as with crashes.
void handle(entry_state& state, entry_context&,
            peer_request_answer_received const& received)
{
    if (decisions::record_answer(state.crashes, received.answer))
        send(state.peers_service, gossip_request_answer{received.answer});
}

/// Forwards a crash that was not known yet, as with those of requests. Answers
/// that clear its parts go to the other routers instead.
void handle(entry_state& state, entry_context& ctx,
            peer_prompt_crash_received const& received)
{
    for (auto const& answer :
         decisions::answers_since(state.crashing_parts, received.crash))
        send(state.peers_service, gossip_part_answer{answer});
    if (!decisions::record_prompt_crash(state.crashing_parts, received.crash))
        return;
    send(state.peers_service, gossip_prompt_crash{received.crash});
    end_refused_requests(state, ctx);
}

/// Forwards an answer that cleared a part, as with crashes.
void handle(entry_state& state, entry_context&,
            peer_part_answer_received const& received)
{
    if (decisions::record_part_answer(state.crashing_parts, received.answer))
        send(state.peers_service, gossip_part_answer{received.answer});
}

void handle(entry_state& state, entry_context& ctx, fleet_changed message)
{
    state.other_routers = std::move(message.others);
    update_rollout_routers(state);
    decisions::set_routers(state.request_limits, state.other_routers);
    record_fleet(state, now(ctx));
}

void handle(entry_state& state, entry_context&,
            shared_limits_changed const& message)
{
    apply_shared_limits(state.options, message.limits);
}

/// Requests in flight end with the stop at the latest, so that each caller gets
/// an answer.
void handle(entry_state& state, entry_context& ctx, drain_started message)
{
    state.draining = true;
    state.end_by = message.end_by;
    state.stop_began = now(ctx);
    reject_all_waiting(state, ctx);
    if (!state.end_by)
        return;
    for (auto& [id, request] : state.requests)
    {
        cancel(ctx, request.deadline_timer);
        request.deadline_timer = schedule(
            ctx, remaining_time(state, request, now(ctx)), request_expired{id});
    }
}

void handle(entry_state& state, entry_context&, status_query const& query)
{
    query.reply(fmt::format(
        R"({{"requests":{},"servers":{},"limited_servers":{},"routers":{},)"
        R"("draining":{}}})",
        state.requests.size(), state.servers.size(),
        decisions::count_limited(state.request_limits), router_count(state),
        state.draining));
}

void handle(entry_state& state, entry_context&, idle_query const& query)
{
    query.reply(state.requests.empty());
}

void handle(entry_state& state, entry_context& ctx, routing_tick)
{
    schedule(ctx, state.options.report_interval, routing_tick{});
    decisions::remove_expired_loads(state.remote_loads, now(ctx));
    probe_stalled_streams(state, now(ctx));
    probe_ejected_servers(state, now(ctx));
    local_load_report report;
    for (auto const& [id, server] : state.servers)
    {
        if (server.local_in_flight > 0)
            report.local.push_back({server.hash, server.local_in_flight});
        auto const domain_in_flight =
            server.local_in_flight +
            decisions::remote_load_at(state.remote_loads, server.hash)
                .own_domain;
        if (domain_in_flight > 0)
            report.domain.push_back({server.hash, domain_in_flight});
    }
    check_rollouts(state, report, now(ctx));
    report.paces = decisions::paces_to_send(state.server_model, now(ctx));
    report.limits = decisions::limits_to_send(state.request_limits, now(ctx));
    add_demands(state, ctx, report);
    send(state.peers_service, std::move(report));
    if (++state.ticks % ticks_per_flush != 0)
        return;
    decisions::remove_expired_crashes(state.crashes, now(ctx));
    decisions::remove_expired(state.crashing_parts, now(ctx));
    decisions::remove_expired(state.announcements, now(ctx));
    decisions::remove_expired(state.request_limits, now(ctx));
    decisions::remove_expired(state.server_model, now(ctx));
    for (auto const& crash :
         decisions::crashes_to_repeat(state.crashes, now(ctx)))
        send(state.peers_service,
             gossip_request_crash{.crash = crash, .is_repeat = true});
    for (auto& crash : decisions::crashes_to_repeat(state.crashing_parts))
        send(state.peers_service, gossip_prompt_crash{std::move(crash)});
    flush(state.telemetry_sink);
}

void handle(entry_state& state, entry_context& ctx,
            rollout_status_known const& message)
{
    apply_rollout_status(state, message.status, now(ctx));
}

void handle(entry_state& state, entry_context& ctx, waiting_due const& message)
{
    send_waiting(state, ctx, message.service);
}

/// Ignores the messages that only occur in fleets whose servers have owners.
template <class Message>
void handle(entry_state&, entry_context&, Message const&)
{
}

void start(entry_state& state, entry_context& ctx)
{
    state.random.seed(state.options.seed);
    state.remote_loads.options = state.options.remote_loads;
    state.waiting.shares.own_domain = state.options.domain;
    state.request_limits.self = state.options.self;
    connect(state.telemetry_sink, *ctx.names);
    state.backend =
        ctx.names->find<backend_message>(to_name(service_name::backend));
    state.peers_service =
        ctx.names->find<peers_message>(to_name(service_name::peers));
    state.store_service =
        ctx.names->find<store_message>(to_name(service_name::store));
    schedule(ctx, state.options.report_interval, routing_tick{});
}

void receive(entry_state& state, entry_context& ctx, routing_message message)
{
    std::visit(
        [&](auto&& alternative) {
            handle(state, ctx,
                   std::forward<decltype(alternative)>(alternative));
        },
        std::move(message));
}

void stop(entry_state& state, entry_context&)
{
    flush(state.telemetry_sink);
}

} // namespace

void apply_shared_limits(entry_options& options,
                         config::shared_limit_settings const& limits)
{
    options.retry_share.ratio = limits.retry_ratio;
    options.retry_share.slack = limits.retry_slack;
    options.retry_share.window = limits.retry_window;
    options.cold_share.overage = limits.cold_overage;
    options.cold_share.slack = limits.cold_slack;
    options.server_choice.limit_factor = limits.load_factor;
    options.exposure = {.share = limits.exposure_share,
                        .slack = limits.exposure_slack,
                        .rollback = limits.rollback_limit};
    options.server_priorities = limits.server_priorities;
    options.waiting = limits.waiting;
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

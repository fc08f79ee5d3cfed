/// Handling of attempts that receive no bytes: their server may be unreachable
/// or only busy. Probes tell these apart.
#include "services/entry/entry_parts.hpp"

#include "common/request_id_text.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>
#include <vector>

namespace bramleyarch::services
{

namespace
{

/// Returns the time without a byte after which an attempt is retried at another
/// server. At least half of the time until the deadline is left for that.
duration first_byte_timeout(entry_state const& state,
                            entry_request const& request)
{
    auto const time_to_deadline =
        request.routed.deadline - request.attempt_started_at;
    return std::min(
        scaled_latency_target(request, state.options.first_byte_target_factor,
                              state.options.min_first_byte_timeout),
        time_to_deadline / 2);
}

bool may_retry(entry_request const& request)
{
    return request.routed.kind == request_kind::idempotent &&
           request.sent_attempts < request.routed.terms.max_attempts &&
           can_go_on_elsewhere(request);
}

/// Aborts the current attempt and retries the request at another server, if
/// there is one and the retry budget allows it.
void retry_elsewhere(entry_state& state, entry_context& ctx,
                     entry_request& request, std::string_view reason)
{
    auto const at = now(ctx);
    // Without another server it is better to wait: the current one may still
    // answer.
    if (!may_retry(request) || !has_untried_server(state, request, at))
        return;
    if (!decisions::acquire_retry(state.retry_shares[request.routed.service],
                                  state.options.retry_share,
                                  router_count(state), at))
    {
        count(state.telemetry_sink, counter::retries_denied);
        return;
    }
    request.may_have_run = true;
    log(state.telemetry_sink, log_severity::info, "attempt_given_up",
        fmt::format("request={} attempt={} server={} after_ms={} reason={}",
                    to_text(request.routed.id), request.attempt_number,
                    request.current_server.value,
                    to_ms(at - request.attempt_started_at), reason));
    abort_current_attempt(state, ctx, request);
    request.last_failure = {error_kind::server_silent,
                            "server sent no byte in time"};
    send_attempt(state, ctx, request);
}

} // namespace

void send_probe(entry_state& state, backend_server& server, time_point at)
{
    if (std::exchange(server.probe_in_flight, true))
        return;
    server.probe_sent_at = at;
    send(state.backend,
         probe_server{.server = server.listed.id,
                      .address = server.listed.address,
                      .connect_limit = state.options.probe_timeout});
}

void handle_silence_timeout(entry_state& state, entry_context& ctx,
                            entry_request& request)
{
    auto const at = now(ctx);
    if (request.awaiting_first_byte_timeout)
    {
        auto const due =
            request.last_byte_at + first_byte_timeout(state, request);
        if (at >= due)
            retry_elsewhere(state, ctx, request, "no_byte");
        else
            request.silence_timer =
                schedule(ctx, due - at, request_check_due{request.routed.id});
        return;
    }
    auto* const server = find_current_server(state, request);
    if (server && server->last_response_at < request.attempt_started_at)
        send_probe(state, *server, at);
    request.awaiting_first_byte_timeout = true;
    auto const due = request.last_byte_at + first_byte_timeout(state, request);
    request.silence_timer = schedule(ctx, std::max(due - at, duration::zero()),
                                     request_check_due{request.routed.id});
}

void probe_ejected_servers(entry_state& state, time_point at)
{
    for (auto& [id, server] : state.servers)
    {
        if (server.ejected && at >= server.next_probe_at)
            send_probe(state, server, at);
    }
}

void probe_stalled_streams(entry_state& state, time_point at)
{
    for (auto const& [id, request] : state.requests)
    {
        bool const has_begun =
            request.stage == request_stage::forwarding_answer ||
            (request.is_held && request.attempt_bytes > 0);
        if (!has_begun || request.current_server.empty())
            continue;
        auto const max_gap = std::max(request.routed.terms.gap_target,
                                      state.options.min_silence);
        auto* const server = find_current_server(state, request);
        if (server && at - request.last_byte_at > max_gap &&
            at - server->last_response_at > max_gap)
            send_probe(state, *server, at);
    }
}

void handle_probe_result(entry_state& state, entry_context& ctx,
                         server_probed const& probed)
{
    auto const found = state.servers.find(probed.server);
    if (found == state.servers.end())
        return;
    auto& server = found->second;
    server.probe_in_flight = false;
    auto const at = now(ctx);
    log(state.telemetry_sink, log_severity::info, "server_probed",
        fmt::format("server={} attempted={} reachable={} own={} "
                    "heard_ms_ago={}",
                    probed.server.value, probed.attempted, probed.reachable,
                    server.local_in_flight,
                    to_ms(at - server.last_response_at)));
    if (!probed.attempted)
    {
        server.next_probe_at =
            std::max(server.next_probe_at, at + state.options.probe_timeout);
        return;
    }
    if (probed.reachable)
    {
        server.last_response_at = at;
        // A server that broke a connection is left out for its time, although
        // it runs.
        if (!discard_crashes(state, server, at) || at >= server.next_probe_at)
            server.ejected = false;
        return;
    }
    confirm_crashes(state, ctx, probed.server);
    record_server_failure(state, server, at, "unreachable");
    std::vector<request_id> silent;
    for (auto const& [id, request] : state.requests)
    {
        if (request.current_server == probed.server &&
            request.last_byte_at + state.options.min_silence < at)
            silent.push_back(id);
    }
    for (auto const& id : silent)
    {
        auto const request = state.requests.find(id);
        if (request != state.requests.end())
            retry_elsewhere(state, ctx, request->second, "unreachable");
    }
}

} // namespace bramleyarch::services

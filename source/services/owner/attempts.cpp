#include "services/owner/owner_parts.hpp"

#include <fmt/format.h>

#include <utility>

namespace bramleyarch::services::owning
{

namespace
{

/// Aborts an attempt at the server, since its answer is no longer needed.
void abort_dispatched_attempt(owner_state& state, owner_context& ctx,
                              owned_attempt& attempt)
{
    kernel::send(state.backend, abort_attempt{attempt.offered.attempt});
    if (auto* server = find_server(state, attempt.offered.server))
        decisions::record_inconclusive(server->breaker);
    end_attempt(state, ctx, attempt.offered.attempt);
}

void remove_queued_attempt(owner_state& state, owned_attempt const& attempt)
{
    auto const id = attempt.offered.attempt;
    if (auto* server = find_server(state, attempt.offered.server))
    {
        decisions::remove_request(server->queue, id);
        if (server->isolated_attempt == id)
            server->isolated_attempt.reset();
    }
    state.attempts.erase(id);
}

std::vector<header_field> headers_for(routed_request const& request)
{
    auto headers = request.headers;
    if (request.resume_offset > 0)
        headers.push_back(
            {"x-resume-offset", fmt::format("{}", request.resume_offset)});
    return headers;
}

} // namespace

owned_server* find_server(owner_state& state, server_id const& id)
{
    auto const found = state.servers.find(id);
    return found == state.servers.end() ? nullptr : &found->second;
}

owned_attempt* find_attempt(owner_state& state, attempt_id const& id)
{
    auto const found = state.attempts.find(id);
    return found == state.attempts.end() ? nullptr : &found->second;
}

void reply_to(owner_state& state, router_id const& origin, owner_reply reply)
{
    if (origin == state.options.self)
        kernel::send(state.routing,
                     owner_reply_received{origin, std::move(reply)});
    else
        kernel::send(state.link, send_owner_reply{origin, std::move(reply)});
}

bool needs_claim(owned_attempt const& attempt)
{
    return attempt.offered.request.kind == request_kind::non_idempotent;
}

void start_admitted_attempt(owner_state& state, owner_context& ctx,
                            owned_server& server, owned_attempt& attempt)
{
    auto const id = attempt.offered.attempt;
    ++server.in_flight;
    decisions::record_in_flight(server.history, server.in_flight, now(ctx));
    decisions::record_sent(server.breaker);
    publish_changed_load(state, ctx, server);
    count(state.telemetry_sink, counter::offers_accepted);
    sample(state.telemetry_sink, latency_kind::queue_wait,
           now(ctx) - attempt.received_at);
    record(state.telemetry_sink,
           {.kind = event_kind::offer_admitted,
            .request = id.request,
            .server = server.config.id,
            .team = attempt.offered.request.team,
            .cause = fmt::format("{} in flight of {}", server.in_flight,
                                 load_of(state, server).limit)});
    reply_to(state, attempt.origin, admitted{id, load_of(state, server)});
    if (!needs_claim(attempt))
    {
        dispatch_attempt(state, ctx, attempt);
        return;
    }
    auto const& request = attempt.offered.request;
    attempt.phase = attempt_phase::claiming;
    bool const claim_requested =
        request.key &&
        kernel::send(state.claims, claim_key{.attempt = id,
                                             .team = request.team,
                                             .key = *request.key,
                                             .deadline = request.deadline});
    if (claim_requested)
        return;
    auto const kind = request.key ? error_kind::platform_unavailable
                                  : error_kind::idempotency_key_missing;
    decisions::record_inconclusive(server.breaker);
    fail_attempt(state, ctx, attempt,
                 {kind, "the idempotency key cannot be claimed"},
                 outcome::not_run);
}

void dispatch_attempt(owner_state& state, owner_context& ctx,
                      owned_attempt& attempt)
{
    auto const* server = find_server(state, attempt.offered.server);
    auto const& request = attempt.offered.request;
    attempt.phase = attempt_phase::dispatched;
    attempt.dispatched_at = now(ctx);
    count(state.telemetry_sink, counter::backend_attempts);
    bool const accepted = kernel::send(
        state.backend, dispatch{.attempt = attempt.offered.attempt,
                                .server = server->config.id,
                                .address = server->config.address,
                                .method = request.method,
                                .target = request.target,
                                .headers = headers_for(request),
                                .body = request.body,
                                .credit = initial_credit_bytes,
                                .silence_limit = state.options.silence_limit,
                                .deadline = request.deadline});
    if (!accepted)
        handle_backend_failure(
            state, ctx,
            {.attempt = attempt.offered.attempt,
             .cause = {error_kind::server_connect_failed,
                       "the backend service is not available"},
             .sent = false});
}

void end_attempt(owner_state& state, owner_context& ctx, attempt_id id)
{
    auto const found = state.attempts.find(id);
    if (found == state.attempts.end())
        return;
    auto const assigned_server = found->second.offered.server;
    state.attempts.erase(found);
    auto* server = find_server(state, assigned_server);
    if (!server)
        return;
    if (server->in_flight > 0)
        --server->in_flight;
    if (server->isolated_attempt == id)
        server->isolated_attempt.reset();
    decisions::record_in_flight(server->history, server->in_flight, now(ctx));
    publish_changed_load(state, ctx, *server);
    admit_queued_requests(state, ctx, *server);
}

void fail_attempt(owner_state& state, owner_context& ctx,
                  owned_attempt& attempt, error cause, outcome known)
{
    auto const id = attempt.offered.attempt;
    record(state.telemetry_sink,
           {.kind = event_kind::attempt_failed,
            .request = id.request,
            .server = attempt.offered.server,
            .team = attempt.offered.request.team,
            .cause = fmt::format("{}, {}", describe(cause), to_name(known))});
    if (!attempt.detached)
        reply_to(state, attempt.origin,
                 answer_error{
                     .attempt = id, .cause = std::move(cause), .known = known});
    end_attempt(state, ctx, id);
}

void fail_unsent_attempt(owner_state& state, owner_context& ctx,
                         owned_attempt& attempt, error cause)
{
    if (!needs_claim(attempt))
    {
        fail_attempt(state, ctx, attempt, std::move(cause), outcome::not_run);
        return;
    }
    auto const& request = attempt.offered.request;
    attempt.phase = attempt_phase::releasing;
    attempt.cause = std::move(cause);
    bool const release_requested = kernel::send(
        state.claims, release_key{.attempt = attempt.offered.attempt,
                                  .team = request.team,
                                  .key = *request.key});
    if (!release_requested)
        fail_attempt(state, ctx, attempt, attempt.cause, outcome::unknown);
}

void cancel_owned_attempt(owner_state& state, owner_context& ctx, attempt_id id)
{
    auto* attempt = find_attempt(state, id);
    if (!attempt)
        return;
    if (attempt->phase == attempt_phase::queued)
    {
        remove_queued_attempt(state, *attempt);
        return;
    }
    if (attempt->phase == attempt_phase::dispatched && !needs_claim(*attempt))
    {
        abort_dispatched_attempt(state, ctx, *attempt);
        return;
    }
    // A request that must run at most once continues to its end, so that its
    // outcome can be recorded for a caller that repeats the request.
    attempt->detached = true;
    kernel::send(state.backend, grant_backend_credit{id, initial_credit_bytes});
}

void cancel_attempts_from(owner_state& state, owner_context& ctx,
                          router_id const& origin)
{
    std::vector<attempt_id> cancelled;
    for (auto const& [id, attempt] : state.attempts)
    {
        if (attempt.origin == origin)
            cancelled.push_back(id);
    }
    for (auto const& id : cancelled)
        cancel_owned_attempt(state, ctx, id);
}

} // namespace bramleyarch::services::owning

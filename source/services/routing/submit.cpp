#include "services/routing/routing_parts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace bramleyarch::services::routing
{

namespace
{

/// Reason to refuse a request before it is offered to any server.
struct refusal
{
    error cause;
    duration retry_after{};
};

/// Returns the refusal if the team has used up its request rate. A random part
/// of the wait is added, so that callers do not return all at once.
std::optional<refusal> check_team_limit(routing_state& state,
                                        routing_context& ctx,
                                        routed_request const& request)
{
    auto const limit =
        decisions::acquire_token(state.limits, request.team, now(ctx));
    if (limit.allowed)
        return std::nullopt;
    count(state.metrics, counter::team_limited);
    record(state.metrics, {.kind = event_kind::team_limited,
                           .request = request.id,
                           .team = request.team,
                           .cause = fmt::format("next token in {} ms",
                                                to_ms(limit.retry_after))});
    auto const jitter =
        random_unit(state) * static_cast<double>(limit.retry_after.count());
    return refusal{{error_kind::team_limit_exceeded, request.team.value},
                   limit.retry_after +
                       duration{static_cast<std::int64_t>(jitter)}};
}

/// Returns std::nullopt if the request may be offered to servers.
std::optional<refusal> check_request(routing_state& state, routing_context& ctx,
                                     routed_request const& request)
{
    if (state.draining)
        return refusal{{error_kind::draining, "this router is stopping"}};
    if (!state.config)
        return refusal{{error_kind::not_ready, "no configuration yet"}};
    if (request.deadline <= now(ctx))
        return refusal{{error_kind::deadline_exceeded,
                        "the deadline had passed on arrival"}};
    if (!state.services.contains(request.service))
        return refusal{{error_kind::not_found, request.service.value}};
    if (request.kind == request_kind::non_idempotent && !request.key)
        return refusal{{error_kind::idempotency_key_missing,
                        "no idempotency key was sent"}};
    auto const status = decisions::status_of(
        state.quarantine, request.body_fingerprint, now(ctx));
    if (status == decisions::body_status::quarantined)
        return refusal{{error_kind::quarantined, "body is quarantined"}};
    return check_team_limit(state, ctx, request);
}

} // namespace

void handle_submit(routing_state& state, routing_context& ctx,
                   submit_request submitted)
{
    auto const id = submitted.request.id;
    count(state.metrics, counter::requests_received);
    if (state.requests.contains(id))
        return;
    record(state.metrics, {.kind = event_kind::request_received,
                           .request = id,
                           .team = submitted.request.team,
                           .cause = submitted.request.service.value});
    auto const refused = check_request(state, ctx, submitted.request);
    auto& pending = state.requests[id];
    pending.request = std::move(submitted.request);
    pending.first_offset = pending.request.resume_offset;
    pending.reply = std::move(submitted.reply);
    pending.received = now(ctx);
    if (refused)
    {
        end_with_error(state, ctx, pending, refused->cause, outcome::not_run,
                       refused->retry_after);
        return;
    }
    auto const limit = pending.request.deadline - now(ctx);
    pending.expiry = schedule(ctx, limit + state.options.deadline_grace,
                              request_expired{id});
    decisions::add_retry_credit(state.budget, pending.request.team);
    offer_to_next_candidate(state, ctx, pending);
}

void cancel_pending_request(routing_state& state, routing_context& ctx,
                            request_id id)
{
    auto* pending = find_pending(state, id);
    if (!pending)
        return;
    count(state.metrics, counter::callers_gone);
    record(state.metrics, {.kind = event_kind::answer_failed,
                           .request = id,
                           .server = pending->server,
                           .team = pending->request.team,
                           .cause = "the caller left"});
    if (pending->latch.stage != decisions::attempt_stage::none)
        send_to_owner(state, *pending,
                      cancel_attempt{current_attempt(*pending)});
    detach_from_server(state, *pending);
    cancel(ctx, pending->expiry);
    state.requests.erase(id);
}

void handle_consumed_bytes(routing_state& state,
                           answer_bytes_consumed const& consumed)
{
    auto* pending = find_pending(state, consumed.request);
    if (!pending)
        return;
    pending->consumed_bytes += consumed.bytes;
    auto const earlier =
        std::min<std::uint64_t>(pending->uncredited_bytes, consumed.bytes);
    pending->uncredited_bytes -= earlier;
    auto const bytes = consumed.bytes - static_cast<std::uint32_t>(earlier);
    bool const running =
        pending->latch.stage == decisions::attempt_stage::admitted ||
        pending->latch.stage == decisions::attempt_stage::answering;
    if (bytes > 0 && running)
        send_to_owner(state, *pending,
                      grant_credit{current_attempt(*pending), bytes});
}

void end_expired_request(routing_state& state, routing_context& ctx,
                         request_id id)
{
    auto* pending = find_pending(state, id);
    if (!pending)
        return;
    if (pending->latch.stage != decisions::attempt_stage::none)
        send_to_owner(state, *pending,
                      cancel_attempt{current_attempt(*pending)});
    auto const known = pending->head_sent
                           ? outcome::failed
                           : decisions::known_outcome(pending->latch);
    end_with_error(state, ctx, *pending,
                   {error_kind::deadline_exceeded, "no answer in time"}, known);
}

} // namespace bramleyarch::services::routing

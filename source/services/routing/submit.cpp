#include "services/routing/routing_parts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace bramleyarch::services::entry
{

namespace
{

/// A reason to refuse a request before anything is done for it.
struct refusal
{
    error cause;
    duration retry_after{};
};

std::optional<refusal> check_team(routing_state& state, routing_context& ctx,
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
        draw_unit(state) * static_cast<double>(limit.retry_after.count());
    return refusal{{error_kind::team_limit_exceeded, request.team.value},
                   limit.retry_after +
                       duration{static_cast<std::int64_t>(jitter)}};
}

std::optional<refusal> check(routing_state& state, routing_context& ctx,
                             routed_request const& request)
{
    if (state.draining)
        return refusal{{error_kind::draining, "this router is stopping"}};
    if (!state.config)
        return refusal{{error_kind::not_ready, "no configuration yet"}};
    if (request.deadline <= now(ctx))
        return refusal{{error_kind::deadline_exceeded, "on arrival"}};
    if (!state.services.contains(request.service))
        return refusal{{error_kind::not_found, request.service.value}};
    if (request.kind == request_kind::non_idempotent && !request.key)
        return refusal{{error_kind::idempotency_key_missing, "none sent"}};
    auto const standing =
        decisions::status_of(state.bodies, request.body_fingerprint, now(ctx));
    if (standing == decisions::body_status::quarantined)
        return refusal{{error_kind::quarantined, "body is quarantined"}};
    return check_team(state, ctx, request);
}

} // namespace

void take_request(routing_state& state, routing_context& ctx,
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
    auto const refused = check(state, ctx, submitted.request);
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
    offer_next(state, ctx, pending);
}

void cancel_pending(routing_state& state, routing_context& ctx, request_id id)
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
    leave_server(state, *pending);
    cancel(ctx, pending->expiry);
    state.requests.erase(id);
}

void grant_taken(routing_state& state, answer_bytes_consumed const& took)
{
    auto* pending = find_pending(state, took.request);
    if (!pending)
        return;
    pending->taken += took.bytes;
    auto const old = std::min<std::uint64_t>(pending->uncredited, took.bytes);
    pending->uncredited -= old;
    auto const bytes = took.bytes - static_cast<std::uint32_t>(old);
    bool const running =
        pending->latch.stage == decisions::attempt_stage::admitted ||
        pending->latch.stage == decisions::attempt_stage::answering;
    if (bytes > 0 && running)
        send_to_owner(state, *pending,
                      grant_credit{current_attempt(*pending), bytes});
}

void expire_request(routing_state& state, routing_context& ctx, request_id id)
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

} // namespace bramleyarch::services::entry

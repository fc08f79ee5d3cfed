#include "services/routing/routing_parts.hpp"

#include <fmt/format.h>

#include <utility>

namespace bramleyarch::services::routing
{

namespace
{

/// A request is not retried after servers closed the connection of this many of
/// its attempts.
constexpr std::uint32_t max_server_closes = 2;

bool is_retryable(error_kind kind)
{
    switch (kind)
    {
    case error_kind::server_connect_failed:
    case error_kind::server_closed:
    case error_kind::server_silent:
    case error_kind::server_protocol:
    case error_kind::owner_lost:
    case error_kind::link_protocol:
    case error_kind::answer_incomplete:
    case error_kind::draining:
        return true;
    default:
        return false;
    }
}

/// Returns whether the owner or the link to it failed, not the server. An owner
/// aborts the attempts of a router that it lost, so a retry adds no load to the
/// servers.
bool is_loss(error_kind cause)
{
    return cause == error_kind::owner_lost || cause == error_kind::draining;
}

bool has_retries_left(pending_request const& pending,
                      routing_state const& state, error_kind cause)
{
    return is_loss(cause) ? pending.losses < state.options.max_losses
                          : pending.retries < state.options.max_retries;
}

bool is_quarantined(routing_state const& state, pending_request const& pending,
                    time_point at)
{
    return decisions::status_of(state.quarantine,
                                pending.request.body_fingerprint,
                                at) == decisions::body_status::quarantined;
}

bool may_retry(pending_request const& pending, routing_state const& state,
               error_kind cause, time_point at)
{
    return pending.request.kind == request_kind::idempotent &&
           is_retryable(cause) && has_retries_left(pending, state, cause) &&
           pending.server_closes < max_server_closes &&
           !is_quarantined(state, pending, at) &&
           pending.request.deadline > at &&
           (!pending.head_sent || pending.resumable);
}

/// Counts a retry against the limit for its cause. Returns false if the team's
/// retry budget is used up.
bool acquire_retry_permit(routing_state& state, pending_request& pending,
                          error_kind cause)
{
    if (is_loss(cause))
    {
        ++pending.losses;
        count(state.metrics, counter::losses_retried);
        return true;
    }
    if (!decisions::acquire_retry(state.budget, pending.request.team))
        return false;
    ++pending.retries;
    return true;
}

std::vector<attempt_id> attempts_at_owner(routing_state const& state,
                                          router_id const& router)
{
    std::vector<attempt_id> found;
    for (auto const& [id, pending] : state.requests)
    {
        if (pending.owner == router)
            found.push_back(current_attempt(pending));
    }
    return found;
}

void count_outcome(routing_state& state, outcome known)
{
    switch (known)
    {
    case outcome::answered:
        count(state.metrics, counter::requests_answered);
        return;
    case outcome::not_run:
        count(state.metrics, counter::requests_not_run);
        return;
    case outcome::unknown:
        count(state.metrics, counter::requests_unknown);
        return;
    case outcome::failed:
        count(state.metrics, counter::requests_failed);
        return;
    }
}

void end_request(routing_state& state, routing_context& ctx,
                 pending_request& pending)
{
    cancel(ctx, pending.expiry);
    detach_from_server(state, pending);
    state.requests.erase(pending.request.id);
}

void retry_request(routing_state& state, routing_context& ctx,
                   pending_request& pending, error const& cause)
{
    pending.offers = 0;
    count(state.metrics, counter::retries);
    record(state.metrics, {.kind = event_kind::retry_started,
                           .request = pending.request.id,
                           .server = pending.server,
                           .team = pending.request.team,
                           .cause = describe(cause)});
    if (pending.head_sent)
    {
        offer_resumption(state, pending);
        return;
    }
    detach_from_server(state, pending);
    offer_to_next_candidate(state, ctx, pending);
}

} // namespace

pending_request* find_pending(routing_state& state, request_id id)
{
    auto const found = state.requests.find(id);
    return found == state.requests.end() ? nullptr : &found->second;
}

attempt_id current_attempt(pending_request const& pending)
{
    return {pending.request.id, pending.attempt};
}

void end_with_error(routing_state& state, routing_context& ctx,
                    pending_request& pending, error cause, outcome known,
                    duration retry_after)
{
    bool const repeated = known == outcome::answered;
    if (repeated)
        count(state.metrics, counter::requests_repeated);
    else
        count_outcome(state, known);
    bool const refused = repeated || known == outcome::not_run;
    auto const kind =
        refused ? event_kind::request_refused : event_kind::answer_failed;
    record(state.metrics,
           {.kind = kind,
            .request = pending.request.id,
            .server = pending.server,
            .team = pending.request.team,
            .config = state.config ? state.config->version : 0,
            .cause = fmt::format("{}; {}", to_name(known), describe(cause))});
    auto const attempt =
        pending.head_sent ? pending.reported_attempt : current_attempt(pending);
    pending.reply(answer_error{.attempt = attempt,
                               .cause = std::move(cause),
                               .known = known,
                               .retry_after = retry_after});
    end_request(state, ctx, pending);
}

void handle_attempt_end(routing_state& state, routing_context& ctx,
                        pending_request& pending, error cause, outcome reported)
{
    decisions::record_attempt_end(pending.latch, reported);
    if (cause.kind == error_kind::server_closed)
        ++pending.server_closes;
    if (may_retry(pending, state, cause.kind, now(ctx)))
    {
        if (acquire_retry_permit(state, pending, cause.kind))
        {
            retry_request(state, ctx, pending, cause);
            return;
        }
        count(state.metrics, counter::retries_denied);
        record(state.metrics, {.kind = event_kind::retry_denied,
                               .request = pending.request.id,
                               .team = pending.request.team,
                               .cause = "the team's retry budget is empty"});
    }
    auto known = decisions::known_outcome(pending.latch);
    if (known != outcome::not_run && reported == outcome::failed)
        known = outcome::failed;
    if (pending.head_sent)
        known = outcome::failed;
    if (cause.kind == error_kind::already_finished)
        known = reported; // Outcome recorded under the idempotency key.
    end_with_error(state, ctx, pending, std::move(cause), known,
                   pending.retry_after);
}

void end_answered(routing_state& state, routing_context& ctx,
                  pending_request& pending)
{
    count_outcome(state, outcome::answered);
    sample(state.metrics, latency_kind::whole_answer,
           now(ctx) - pending.received);
    record(state.metrics, {.kind = event_kind::answer_completed,
                           .request = pending.request.id,
                           .server = pending.server,
                           .team = pending.request.team,
                           .cause = fmt::format("{} bytes", pending.bytes)});
    pending.reply(answer_end{.attempt = pending.reported_attempt,
                             .chunks = pending.chunks,
                             .bytes = pending.bytes});
    end_request(state, ctx, pending);
}

void handle_lost_router(routing_state& state, routing_context& ctx,
                        link_lost const& lost)
{
    auto const& router = lost.router;
    state.lost_owners[router] = now(ctx) + state.options.lost_owner_pause;
    auto const attempts =
        lost.attempts.value_or(attempts_at_owner(state, router));
    for (auto const& attempt : attempts)
    {
        auto* pending = find_pending(state, attempt.request);
        if (!pending || pending->owner != router ||
            current_attempt(*pending) != attempt)
        {
            continue;
        }
        decisions::record_owner_lost(pending->latch);
        handle_attempt_end(state, ctx, *pending,
                           {error_kind::owner_lost, router.value},
                           outcome::unknown);
    }
}

void handle_router_reached(routing_state& state, router_id const& router)
{
    if (state.lost_owners.erase(router) > 0)
        offer_waiting_resumptions(state);
}

} // namespace bramleyarch::services::routing

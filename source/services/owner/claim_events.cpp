#include "services/owner/owner_parts.hpp"

#include <fmt/format.h>

#include <utility>

namespace bramleyarch::services::owning
{

namespace
{

/// Error and outcome of an attempt whose claim was not won.
struct claim_refusal
{
    error cause;
    outcome known = outcome::unknown;
};

claim_refusal refusal_for(claim_result const& result)
{
    switch (result.state)
    {
    case claim_state::already_running:
        return {{error_kind::already_running,
                 "another attempt holds the idempotency key"},
                outcome::unknown};
    case claim_state::already_finished:
        return {{error_kind::already_finished,
                 fmt::format("recorded outcome: {}", to_name(result.recorded))},
                result.recorded};
    case claim_state::refused:
        return {{error_kind::platform_unavailable,
                 "the idempotency key was not claimed"},
                outcome::not_run};
    case claim_state::expired:
        return {{error_kind::idempotency_key_expired,
                 "the idempotency key is older than the retention time of "
                 "outcomes"},
                outcome::unknown};
    case claim_state::won:
    case claim_state::uncertain:
        break;
    }
    return {{error_kind::claim_uncertain, "the claim may have been written"},
            outcome::unknown};
}

void handle_won_claim(owner_state& state, owner_context& ctx,
                      owned_attempt& attempt)
{
    auto const* server = find_server(state, attempt.offered.server);
    if (attempt.detached)
        fail_unsent_attempt(
            state, ctx, attempt,
            {error_kind::caller_gone, "before the request was sent"});
    else if (attempt.offered.request.deadline <= now(ctx))
        fail_unsent_attempt(
            state, ctx, attempt,
            {error_kind::deadline_exceeded, "before the request was sent"});
    else if (!server || !server->in_service || !server->owned)
        fail_unsent_attempt(
            state, ctx, attempt,
            {error_kind::no_eligible_server,
             "the server left service before the request was sent"});
    else
        dispatch_attempt(state, ctx, attempt);
}

} // namespace

void handle_claim_result(owner_state& state, owner_context& ctx,
                         claim_result const& result)
{
    auto* attempt = find_attempt(state, result.attempt);
    if (!attempt || attempt->phase != attempt_phase::claiming)
        return;
    sample(state.telemetry_sink, latency_kind::claim,
           now(ctx) - attempt->received_at);
    if (result.state == claim_state::won)
    {
        handle_won_claim(state, ctx, *attempt);
        return;
    }
    if (auto* server = find_server(state, attempt->offered.server))
        decisions::record_inconclusive(server->breaker);
    auto refusal = refusal_for(result);
    fail_attempt(state, ctx, *attempt, std::move(refusal.cause), refusal.known);
}

void handle_release_result(owner_state& state, owner_context& ctx,
                           release_result const& result)
{
    auto* attempt = find_attempt(state, result.attempt);
    if (!attempt || attempt->phase != attempt_phase::releasing)
        return;
    auto const known = result.confirmed ? outcome::not_run : outcome::unknown;
    fail_attempt(state, ctx, *attempt, attempt->cause, known);
}

} // namespace bramleyarch::services::owning

#include "services/owner/owner_parts.hpp"

#include <fmt/format.h>

#include <utility>

namespace bramleyarch::services::owning
{

namespace
{

/// The error and outcome for a claim that was not won.
struct claim_refusal
{
    error cause;
    outcome known = outcome::unknown;
};

claim_refusal refusal_of(claim_result const& result)
{
    switch (result.state)
    {
    case claim_state::already_running:
        return {{error_kind::already_running, "the key is claimed"},
                outcome::unknown};
    case claim_state::already_finished:
        return {{error_kind::already_finished,
                 fmt::format("recorded outcome: {}", to_name(result.recorded))},
                result.recorded};
    case claim_state::refused:
        return {{error_kind::platform_unavailable, "nothing was claimed"},
                outcome::not_run};
    case claim_state::expired:
        return {{error_kind::idempotency_key_expired,
                 "older than the memory of outcomes"},
                outcome::unknown};
    case claim_state::won:
    case claim_state::uncertain:
        break;
    }
    return {{error_kind::claim_uncertain, "the claim may have been written"},
            outcome::unknown};
}

void take_won_claim(owner_state& state, owner_context& ctx,
                    owned_attempt& attempt)
{
    auto const* server = find_server(state, attempt.asked.server);
    if (attempt.detached)
        give_up_unsent(state, ctx, attempt,
                       {error_kind::caller_gone, "before the send"});
    else if (attempt.asked.request.deadline <= now(ctx))
        give_up_unsent(state, ctx, attempt,
                       {error_kind::deadline_exceeded, "before the send"});
    else if (!server || !server->in_service || !server->owned)
        give_up_unsent(state, ctx, attempt,
                       {error_kind::no_eligible_server,
                        "the server left service before the send"});
    else
        dispatch_attempt(state, ctx, attempt);
}

} // namespace

void take_claim(owner_state& state, owner_context& ctx,
                claim_result const& result)
{
    auto* attempt = find_attempt(state, result.attempt);
    if (!attempt || attempt->phase != attempt_phase::claiming)
        return;
    sample(state.metrics, latency_kind::claim, now(ctx) - attempt->entered);
    if (result.state == claim_state::won)
    {
        take_won_claim(state, ctx, *attempt);
        return;
    }
    if (auto* server = find_server(state, attempt->asked.server))
        decisions::record_inconclusive(server->breaker);
    auto refusal = refusal_of(result);
    fail_attempt(state, ctx, *attempt, std::move(refusal.cause), refusal.known);
}

void take_release(owner_state& state, owner_context& ctx,
                  release_result const& result)
{
    auto* attempt = find_attempt(state, result.attempt);
    if (!attempt || attempt->phase != attempt_phase::releasing)
        return;
    auto const known = result.confirmed ? outcome::not_run : outcome::unknown;
    fail_attempt(state, ctx, *attempt, attempt->cause, known);
}

} // namespace bramleyarch::services::owning

#include "services/claims/claims_flow.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace bramleyarch::services
{

namespace
{

using namespace decisions;

void report_event(claims_state& state, event_kind kind, attempt_id attempt,
                  std::string cause)
{
    send(state.timeline, record_event{{.kind = kind,
                                       .request = attempt.request,
                                       .cause = std::move(cause)}});
}

void report_claim(claims_state& state, active_claim& claim, claim_state result,
                  outcome recorded = outcome::unknown)
{
    claim.reported = true;
    send(state.owner, claim_result{.attempt = claim.progress.attempt,
                                   .state = result,
                                   .recorded = recorded});
}

void report_won(claims_state& state, active_claim& claim)
{
    add(state.counters, counter::claims_won);
    report_event(state, event_kind::claim_won, claim.progress.attempt,
                 claim.key);
    report_claim(state, claim, claim_state::won);
}

void report_lost(claims_state& state, active_claim& claim)
{
    add(state.counters, counter::claims_lost);
    auto const& conflicting = claim.progress.conflicting_record;
    bool const finished =
        conflicting && conflicting->phase == claim_phase::finished;
    report_event(state, event_kind::claim_lost, claim.progress.attempt,
                 finished ? "the key has a recorded outcome"
                          : "another attempt holds the key");
    report_claim(state, claim,
                 finished ? claim_state::already_finished
                          : claim_state::already_running,
                 conflicting ? conflicting->recorded : outcome::unknown);
}

void report_release(claims_state& state, active_claim& claim, bool confirmed)
{
    claim.reported = true;
    add(state.counters,
        confirmed ? counter::claims_released : counter::claims_uncertain);
    report_event(
        state,
        confirmed ? event_kind::claim_released : event_kind::claim_uncertain,
        claim.progress.attempt, confirmed ? "" : "release not confirmed");
    send(state.owner, release_result{.attempt = claim.progress.attempt,
                                     .confirmed = confirmed});
}

/// Reports a claim that was not won in time or can't be written at present:
/// `refused` if no write of it can have been applied, else `uncertain`.
void report_failed_claim(claims_state& state, active_claim& claim)
{
    if (claim.progress.unresolved == 0)
    {
        report_claim(state, claim, claim_state::refused);
        return;
    }
    add(state.counters, counter::claims_uncertain);
    report_event(state, event_kind::claim_uncertain, claim.progress.attempt,
                 "no reply to the claim");
    report_claim(state, claim, claim_state::uncertain);
}

/// Returns whether the claim is to be removed although its writes are not
/// complete.
bool is_expired(claims_state const& state, active_claim const& claim,
                time_point at)
{
    if (claim.reported)
        return at >= claim.deadline + state.options.background_retry_time;
    return at >= claim.deadline;
}

void advance_claiming(claims_state& state, time_point at, active_claim& claim)
{
    bool const can_refuse =
        state.platform_unavailable && claim.progress.unresolved == 0;
    if (!claim.reported && (can_refuse || at >= claim.deadline))
        report_failed_claim(state, claim);
    bool const not_written = claim.reported && claim.progress.unresolved == 0;
    if (not_written || is_expired(state, claim, at))
    {
        remove_claim(state, claim.progress.attempt);
        return;
    }
    // The owner may already have acted on an uncertain result, so that only a
    // release may be written after it.
    if (!claim.reported)
        enqueue_write(state, claim.progress.attempt);
}

void advance_releasing(claims_state& state, time_point at, active_claim& claim)
{
    if (!claim.reported && at >= claim.deadline)
        report_release(state, claim, false);
    if (is_expired(state, claim, at))
    {
        remove_claim(state, claim.progress.attempt);
        return;
    }
    enqueue_write(state, claim.progress.attempt);
}

/// Returns this router's share of the transaction rate.
std::uint32_t transactions_per_second(claims_state const& state)
{
    return std::max(1U, state.options.fleet_rate / state.live_routers);
}

/// Takes one transaction from the token bucket of the rate limit. Returns false
/// if it is empty.
bool acquire_token(claims_state& state, time_point at)
{
    auto const elapsed =
        std::chrono::duration<double>{at - state.tokens_updated_at}.count();
    state.tokens_updated_at = at;
    state.tokens = std::min<double>(
        state.options.burst,
        state.tokens + elapsed * transactions_per_second(state));
    if (state.tokens < 1)
        return false;
    state.tokens -= 1;
    return true;
}

bool has_lease(claims_state const& state, time_point at)
{
    auto const usable_until =
        state.lease_rotation_due + state.options.lease_rotation_interval;
    return state.lease_id != 0 && at < usable_until;
}

/// Returns false for a claim that was reported as uncertain and is not being
/// released.
bool may_write(active_claim const& claim)
{
    return !claim.reported || claim.progress.stage != claim_stage::claiming;
}

bool has_write_for(claim_batch const& batch, std::string const& key)
{
    return std::any_of(batch.writes.begin(), batch.writes.end(),
                       [&](auto const& entry) { return entry.key == key; });
}

/// Adds pending outcomes to the batch. An outcome waits for a later batch if
/// this one writes its key already, since a transaction may write a key only
/// once.
void add_outcomes(claims_state& state, claim_batch& batch)
{
    std::deque<outcome_write> deferred;
    for (auto& pending : state.pending_outcomes)
    {
        bool const fits = batch.outcomes.size() < state.options.max_batch;
        if (fits && !has_write_for(batch, pending.key))
            batch.outcomes.push_back(std::move(pending));
        else
            deferred.push_back(std::move(pending));
    }
    state.pending_outcomes = std::move(deferred);
}

claim_batch next_batch(claims_state& state)
{
    claim_batch batch{.id = ++state.last_batch_id};
    while (!state.write_queue.empty() &&
           batch.writes.size() < state.options.max_batch)
    {
        auto const attempt = state.write_queue.front();
        state.write_queue.pop_front();
        auto const found = state.claims.find(attempt);
        if (found == state.claims.end())
            continue;
        auto& claim = found->second;
        claim.queued = false;
        auto const write = next_write(claim.progress);
        if (!write || !may_write(claim))
            continue;
        record_sent_write(claim.progress, *write);
        claim.in_flight = true;
        batch.writes.push_back({attempt, claim.key, *write});
    }
    add_outcomes(state, batch);
    return batch;
}

void schedule_flush(claims_state& state, claims_context& ctx)
{
    if (state.flush_scheduled)
        return;
    state.flush_scheduled = true;
    duration const second = std::chrono::seconds{1};
    duration const per_transaction = second / transactions_per_second(state);
    schedule(ctx, per_transaction, claims_flush_due{});
}

void send_batch(claims_state& state, claims_context& ctx, claim_batch batch)
{
    add(state.counters, counter::claim_transactions);
    run_kv_transaction call{.transaction =
                                to_transaction(batch, state.lease_id),
                            .timeout = state.options.call_timeout};
    call.reply = [self = ctx.self,
                  id = batch.id](result<kv_transaction_reply> reply) {
        send(self, claims_platform_reply{id, std::move(reply)});
    };
    state.batch_in_flight = std::move(batch);
    if (send(state.platform, std::move(call)))
        return;
    handle_batch_reply(
        state, ctx,
        fail(error_kind::platform_unavailable, "no platform service"));
}

/// Queues the outcomes of a failed transaction again, except those that have no
/// retries left.
void requeue_outcomes(claims_state& state, std::vector<outcome_write> outcomes)
{
    for (auto& pending : outcomes)
    {
        if (pending.retries_left-- > 0)
            state.pending_outcomes.push_back(std::move(pending));
    }
}

} // namespace

void enqueue_write(claims_state& state, attempt_id attempt)
{
    auto const found = state.claims.find(attempt);
    if (found == state.claims.end())
        return;
    auto& claim = found->second;
    if (claim.queued || claim.in_flight)
        return;
    claim.queued = true;
    state.write_queue.push_back(attempt);
}

void remove_claim(claims_state& state, attempt_id attempt)
{
    auto const found = state.claims.find(attempt);
    if (found == state.claims.end())
        return;
    state.attempt_by_key.erase(found->second.key);
    state.claims.erase(found);
}

void request_lease(claims_state& state, claims_context& ctx)
{
    bool const lease_is_recent = now(ctx) < state.lease_rotation_due;
    if (lease_is_recent || state.lease_requested || state.platform_unavailable)
        return;
    // A record may be written until the lease is two intervals old and must be
    // kept for its full lifetime from then on.
    create_kv_lease call{.ttl = record_lifetime(state.options.key_age) +
                                2 * state.options.lease_rotation_interval,
                         .timeout = state.options.call_timeout};
    call.reply = [self = ctx.self](result<std::int64_t> lease)
    { send(self, claims_lease_reply{std::move(lease)}); };
    state.lease_requested = send(state.platform, std::move(call));
}

void flush(claims_state& state, claims_context& ctx)
{
    bool const has_work =
        !state.write_queue.empty() || !state.pending_outcomes.empty();
    if (!has_work || state.batch_in_flight || state.platform_unavailable)
        return;
    if (!state.platform)
    {
        record_platform_state(state, ctx, false);
        advance_all_claims(state, ctx);
        return;
    }
    request_lease(state, ctx);
    if (!has_lease(state, now(ctx)))
        return;
    if (!acquire_token(state, now(ctx)))
    {
        schedule_flush(state, ctx);
        return;
    }
    auto batch = next_batch(state);
    if (!batch.writes.empty() || !batch.outcomes.empty())
        send_batch(state, ctx, std::move(batch));
}

void handle_batch_reply(claims_state& state, claims_context& ctx,
                        result<kv_transaction_reply> const& reply)
{
    auto batch = std::move(*state.batch_in_flight);
    state.batch_in_flight.reset();
    record_platform_state(state, ctx, reply.has_value());
    for (auto const& [entry, write_reply] : to_write_replies(batch, reply))
    {
        auto const found = state.claims.find(entry.attempt);
        if (found == state.claims.end())
            continue;
        found->second.in_flight = false;
        if (write_reply.result == claim_write_result::rejected)
            add(state.counters, counter::claims_read_back);
        apply_reply(found->second.progress, entry.write, write_reply);
        advance_claim(state, ctx, entry.attempt);
    }
    if (!reply)
        requeue_outcomes(state, std::move(batch.outcomes));
}

void advance_claim(claims_state& state, claims_context& ctx, attempt_id attempt)
{
    auto const found = state.claims.find(attempt);
    if (found == state.claims.end() || found->second.in_flight)
        return;
    auto& claim = found->second;
    switch (claim.progress.stage)
    {
    case claim_stage::won:
        if (!claim.reported)
            report_won(state, claim);
        return;
    case claim_stage::lost:
        report_lost(state, claim);
        remove_claim(state, attempt);
        return;
    case claim_stage::released:
        if (!claim.reported)
            report_release(state, claim, true);
        remove_claim(state, attempt);
        return;
    case claim_stage::claiming:
        advance_claiming(state, now(ctx), claim);
        return;
    case claim_stage::releasing:
        advance_releasing(state, now(ctx), claim);
        return;
    }
}

void advance_all_claims(claims_state& state, claims_context& ctx)
{
    std::vector<attempt_id> attempts;
    for (auto const& [attempt, claim] : state.claims)
    {
        if (claim.progress.stage != claim_stage::won)
            attempts.push_back(attempt);
    }
    for (auto const& attempt : attempts)
        advance_claim(state, ctx, attempt);
}

void record_platform_state(claims_state& state, claims_context& ctx,
                           bool available)
{
    if (!available)
        state.next_probe = now(ctx) + state.options.probe_interval;
    if (state.platform_unavailable == !available)
        return;
    state.platform_unavailable = !available;
    send(state.timeline,
         record_event{{.kind = available ? event_kind::platform_recovered
                                         : event_kind::platform_lost,
                       .cause = "claims"}});
}

void probe_platform(claims_state& state, claims_context& ctx)
{
    if (!state.platform_unavailable || state.batch_in_flight ||
        now(ctx) < state.next_probe)
        return;
    state.next_probe = now(ctx) + state.options.probe_interval;
    claim_batch batch{.id = ++state.last_batch_id};
    // The probe carries the queued writes, which include the retries of writes
    // whose result is unknown. Without a lease it is empty.
    if (state.lease_id != 0)
        batch = next_batch(state);
    send_batch(state, ctx, std::move(batch));
}

} // namespace bramleyarch::services

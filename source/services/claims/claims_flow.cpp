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

void report_claim(claims_state& state, held_claim& claim, claim_state result,
                  outcome recorded = outcome::unknown)
{
    claim.reported = true;
    send(state.owner, claim_result{.attempt = claim.t.attempt,
                                   .state = result,
                                   .recorded = recorded});
}

void report_won(claims_state& state, held_claim& claim)
{
    add(state.counted, counter::claims_won);
    report_event(state, event_kind::claim_won, claim.t.attempt, claim.key);
    report_claim(state, claim, claim_state::won);
}

void report_lost(claims_state& state, held_claim& claim)
{
    add(state.counted, counter::claims_lost);
    auto const& other = claim.t.conflicting_record;
    bool const finished = other && other->phase == claim_phase::finished;
    report_event(state, event_kind::claim_lost, claim.t.attempt,
                 finished ? "the key has a recorded outcome"
                          : "another attempt holds the key");
    report_claim(state, claim,
                 finished ? claim_state::already_finished
                          : claim_state::already_running,
                 other ? other->recorded : outcome::unknown);
}

void report_release(claims_state& state, held_claim& claim, bool confirmed)
{
    claim.reported = true;
    add(state.counted,
        confirmed ? counter::claims_released : counter::claims_uncertain);
    report_event(state,
                 confirmed ? event_kind::claim_released
                           : event_kind::claim_uncertain,
                 claim.t.attempt, confirmed ? "" : "release not confirmed");
    send(state.owner,
         release_result{.attempt = claim.t.attempt, .confirmed = confirmed});
}

/// A claim that is not won yet: nothing may be written any more, or the
/// deadline has passed.
void give_up_claim(claims_state& state, held_claim& claim)
{
    if (claim.t.unresolved == 0)
    {
        report_claim(state, claim, claim_state::refused);
        return;
    }
    add(state.counted, counter::claims_uncertain);
    report_event(state, event_kind::claim_uncertain, claim.t.attempt,
                 "no reply to the claim");
    report_claim(state, claim, claim_state::uncertain);
}

bool is_over(claims_state const& state, held_claim const& claim, time_point at)
{
    if (claim.reported)
        return at >= claim.deadline + state.options.background_limit;
    return at >= claim.deadline;
}

void settle_claiming(claims_state& state, time_point at, held_claim& claim)
{
    bool const hopeless = state.platform_down && claim.t.unresolved == 0;
    if (!claim.reported && (hopeless || at >= claim.deadline))
        give_up_claim(state, claim);
    bool const unsent = claim.reported && claim.t.unresolved == 0;
    if (unsent || is_over(state, claim, at))
    {
        forget(state, claim.t.attempt);
        return;
    }
    // After an uncertain result only a release may be written.
    if (!claim.reported)
        enqueue(state, claim.t.attempt);
}

void settle_releasing(claims_state& state, time_point at, held_claim& claim)
{
    if (!claim.reported && at >= claim.deadline)
        report_release(state, claim, false);
    if (is_over(state, claim, at))
    {
        forget(state, claim.t.attempt);
        return;
    }
    enqueue(state, claim.t.attempt);
}

std::uint32_t transactions_per_second(claims_state const& state)
{
    return std::max(1U, state.options.fleet_rate / state.live_routers);
}

bool take_token(claims_state& state, time_point at)
{
    auto const elapsed =
        std::chrono::duration<double>{at - state.tokens_at}.count();
    state.tokens_at = at;
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
        state.lease_expires + state.options.lease_rotation;
    return state.lease != 0 && at < usable_until;
}

/// A claim whose owner knows that it is uncertain is written no more.
bool may_write(held_claim const& claim)
{
    return !claim.reported || claim.t.stage != claim_stage::claiming;
}

bool has_write_for(claim_batch const& batch, std::string const& key)
{
    return std::any_of(batch.writes.begin(), batch.writes.end(),
                       [&](auto const& w) { return w.key == key; });
}

/// A transaction may write a key only once.
void add_outcomes(claims_state& state, claim_batch& batch)
{
    std::deque<outcome_write> later;
    for (auto& o : state.outcomes)
    {
        bool const fits = batch.outcomes.size() < state.options.max_batch;
        if (fits && !has_write_for(batch, o.key))
            batch.outcomes.push_back(std::move(o));
        else
            later.push_back(std::move(o));
    }
    state.outcomes = std::move(later);
}

claim_batch next_batch(claims_state& state)
{
    claim_batch batch{.id = ++state.last_batch};
    while (!state.queue.empty() &&
           batch.writes.size() < state.options.max_batch)
    {
        auto const attempt = state.queue.front();
        state.queue.pop_front();
        auto const found = state.held.find(attempt);
        if (found == state.held.end())
            continue;
        auto& claim = found->second;
        claim.queued = false;
        auto const write = next_write(claim.t);
        if (!write || !may_write(claim))
            continue;
        record_sent_write(claim.t, *write);
        claim.in_flight = true;
        batch.writes.push_back({attempt, claim.key, *write});
    }
    add_outcomes(state, batch);
    return batch;
}

void flush_later(claims_state& state, claims_context& ctx)
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
    add(state.counted, counter::claim_transactions);
    run_kv_transaction call{.transaction = to_transaction(batch, state.lease),
                            .timeout = state.options.call_timeout};
    call.reply = [self = ctx.self,
                  id = batch.id](result<kv_transaction_reply> reply) {
        send(self, claims_platform_reply{id, std::move(reply)});
    };
    state.in_flight = std::move(batch);
    if (send(state.platform, std::move(call)))
        return;
    take_reply(state, ctx,
               fail(error_kind::platform_unavailable, "no platform service"));
}

void return_outcomes(claims_state& state, std::vector<outcome_write> outcomes)
{
    for (auto& o : outcomes)
    {
        if (o.tries_left-- > 0)
            state.outcomes.push_back(std::move(o));
    }
}

} // namespace

void enqueue(claims_state& state, attempt_id attempt)
{
    auto const found = state.held.find(attempt);
    if (found == state.held.end())
        return;
    auto& claim = found->second;
    if (claim.queued || claim.in_flight)
        return;
    claim.queued = true;
    state.queue.push_back(attempt);
}

void forget(claims_state& state, attempt_id attempt)
{
    auto const found = state.held.find(attempt);
    if (found == state.held.end())
        return;
    state.holder_of.erase(found->second.key);
    state.held.erase(found);
}

void request_lease(claims_state& state, claims_context& ctx)
{
    bool const young = now(ctx) < state.lease_expires;
    if (young || state.lease_wanted || state.platform_down)
        return;
    create_kv_lease call{.ttl = record_lifetime(state.options.age) +
                                2 * state.options.lease_rotation,
                         .timeout = state.options.call_timeout};
    call.reply = [self = ctx.self](result<std::int64_t> lease)
    { send(self, claims_lease_reply{std::move(lease)}); };
    state.lease_wanted = send(state.platform, std::move(call));
}

void flush(claims_state& state, claims_context& ctx)
{
    bool const wanted = !state.queue.empty() || !state.outcomes.empty();
    if (!wanted || state.in_flight || state.platform_down)
        return;
    if (!state.platform)
    {
        note_platform(state, ctx, false);
        settle_all(state, ctx);
        return;
    }
    request_lease(state, ctx);
    if (!has_lease(state, now(ctx)))
        return;
    if (!take_token(state, now(ctx)))
    {
        flush_later(state, ctx);
        return;
    }
    auto batch = next_batch(state);
    if (!batch.writes.empty() || !batch.outcomes.empty())
        send_batch(state, ctx, std::move(batch));
}

void take_reply(claims_state& state, claims_context& ctx,
                result<kv_transaction_reply> const& reply)
{
    auto batch = std::move(*state.in_flight);
    state.in_flight.reset();
    note_platform(state, ctx, reply.has_value());
    for (auto const& [w, answer] : to_write_replies(batch, reply))
    {
        auto const found = state.held.find(w.attempt);
        if (found == state.held.end())
            continue;
        found->second.in_flight = false;
        if (answer.result == claim_write_result::rejected)
            add(state.counted, counter::claims_read_back);
        apply_reply(found->second.t, w.write, answer);
        settle(state, ctx, w.attempt);
    }
    if (!reply)
        return_outcomes(state, std::move(batch.outcomes));
}

void settle(claims_state& state, claims_context& ctx, attempt_id attempt)
{
    auto const found = state.held.find(attempt);
    if (found == state.held.end() || found->second.in_flight)
        return;
    auto& claim = found->second;
    switch (claim.t.stage)
    {
    case claim_stage::won:
        if (!claim.reported)
            report_won(state, claim);
        return;
    case claim_stage::lost:
        report_lost(state, claim);
        forget(state, attempt);
        return;
    case claim_stage::released:
        if (!claim.reported)
            report_release(state, claim, true);
        forget(state, attempt);
        return;
    case claim_stage::claiming:
        settle_claiming(state, now(ctx), claim);
        return;
    case claim_stage::releasing:
        settle_releasing(state, now(ctx), claim);
        return;
    }
}

void settle_all(claims_state& state, claims_context& ctx)
{
    std::vector<attempt_id> attempts;
    for (auto const& [attempt, claim] : state.held)
    {
        if (claim.t.stage != claim_stage::won)
            attempts.push_back(attempt);
    }
    for (auto const& attempt : attempts)
        settle(state, ctx, attempt);
}

void note_platform(claims_state& state, claims_context& ctx, bool answered)
{
    if (!answered)
        state.probe_at = now(ctx) + state.options.probe_interval;
    if (state.platform_down == !answered)
        return;
    state.platform_down = !answered;
    send(state.timeline,
         record_event{{.kind = answered ? event_kind::platform_recovered
                                        : event_kind::platform_lost,
                       .cause = "claims"}});
}

void probe(claims_state& state, claims_context& ctx)
{
    if (!state.platform_down || state.in_flight || now(ctx) < state.probe_at)
        return;
    state.probe_at = now(ctx) + state.options.probe_interval;
    claim_batch batch{.id = ++state.last_batch};
    // Unresolved writes are settled by the same call that probes.
    if (state.lease != 0)
        batch = next_batch(state);
    send_batch(state, ctx, std::move(batch));
}

} // namespace bramleyarch::services

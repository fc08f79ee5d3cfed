#include "services/claims/claims_service.hpp"

#include "services/claims/claims_flow.hpp"
#include "services/messages/names.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using namespace decisions;

constexpr duration tick_interval = std::chrono::milliseconds{100};

void refuse(claims_state& state, attempt_id attempt, claim_state why)
{
    send(state.owner, claim_result{.attempt = attempt, .state = why});
}

void handle(claims_state& state, claims_context& ctx, claim_key const& wanted)
{
    auto const age =
        classify_key_age(wanted.key, wall_now(ctx), state.options.age);
    bool const forgotten = state.options.earliest_key &&
                           created_at(wanted.key) < *state.options.earliest_key;
    if (age != key_age::acceptable || forgotten)
    {
        refuse(state, wanted.attempt, claim_state::expired);
        return;
    }
    if (state.platform_down)
    {
        refuse(state, wanted.attempt, claim_state::refused);
        return;
    }
    auto const name = claim_key_name(wanted.team, wanted.key);
    if (!state.holder_of.emplace(name, wanted.attempt).second)
    {
        refuse(state, wanted.attempt, claim_state::already_running);
        return;
    }
    state.held.emplace(wanted.attempt,
                       held_claim{.t = begin_claim(wanted.attempt),
                                  .key = name,
                                  .deadline = wanted.deadline});
    enqueue(state, wanted.attempt);
    flush(state, ctx);
}

void handle(claims_state& state, claims_context& ctx, release_key const& wanted)
{
    auto const found = state.held.find(wanted.attempt);
    if (found == state.held.end())
    {
        send(state.owner, release_result{.attempt = wanted.attempt});
        return;
    }
    auto& claim = found->second;
    begin_release(claim.t);
    claim.reported = false;
    claim.deadline = now(ctx) + state.options.release_limit;
    settle(state, ctx, wanted.attempt);
    flush(state, ctx);
}

void handle(claims_state& state, claims_context& ctx,
            record_outcome const& wanted)
{
    state.outcomes.push_back(
        {.key = claim_key_name(wanted.team, wanted.key),
         .record = finished_record(wanted.attempt, wanted.known),
         .tries_left = state.options.outcome_tries});
    forget(state, wanted.attempt);
    flush(state, ctx);
}

void handle(claims_state& state, claims_context& ctx,
            claims_platform_reply const& answered)
{
    if (!state.in_flight || state.in_flight->id != answered.batch)
        return;
    take_reply(state, ctx, answered.reply);
    flush(state, ctx);
}

void handle(claims_state& state, claims_context& ctx,
            claims_lease_reply const& answered)
{
    state.lease_wanted = false;
    if (!answered.lease)
    {
        note_platform(state, ctx, false);
        settle_all(state, ctx);
        return;
    }
    note_platform(state, ctx, true);
    state.lease = answered.lease.value();
    state.lease_expires = now(ctx) + state.options.lease_rotation;
    flush(state, ctx);
}

void handle(claims_state& state, claims_context&, config_changed const& changed)
{
    state.options.age.retention = changed.config->limits.key_retention;
}

void handle(claims_state& state, claims_context&,
            members_changed const& changed)
{
    std::uint32_t live = 0;
    for (auto const& m : changed.view->members)
        live += m.state == member_state::gone ? 0U : 1U;
    state.live_routers = std::max(live, 1U);
}

void handle(claims_state& state, claims_context& ctx, drain_started const&)
{
    flush(state, ctx);
}

void handle(claims_state& state, claims_context&, status_query const& query)
{
    query.reply(fmt::format(
        R"({{"held":{},"queued":{},"outcomes_pending":{},"platform_down":{}}})",
        state.held.size(), state.queue.size(), state.outcomes.size(),
        state.platform_down));
}

void handle(claims_state& state, claims_context& ctx, idle_query const& query)
{
    bool const idle =
        state.queue.empty() && state.outcomes.empty() && !state.in_flight;
    flush(state, ctx);
    query.reply(idle);
}

void handle(claims_state& state, claims_context& ctx, claims_tick const&)
{
    settle_all(state, ctx);
    probe(state, ctx);
    flush(state, ctx);
    send(state.metrics, counters_added{std::exchange(state.counted, {})});
    schedule(ctx, tick_interval, claims_tick{});
}

void handle(claims_state& state, claims_context& ctx, claims_flush_due const&)
{
    state.flush_scheduled = false;
    flush(state, ctx);
}

void start(claims_state& state, claims_context& ctx)
{
    state.owner = ctx.names->find<owner_message>(to_name(service_name::owner));
    state.platform =
        ctx.names->find<platform_message>(to_name(service_name::platform));
    state.timeline =
        ctx.names->find<timeline_message>(to_name(service_name::timeline));
    state.metrics =
        ctx.names->find<metrics_message>(to_name(service_name::metrics));
    state.tokens = state.options.burst;
    state.tokens_at = now(ctx);
    request_lease(state, ctx);
    schedule(ctx, tick_interval, claims_tick{});
}

void receive(claims_state& state, claims_context& ctx, claims_message message)
{
    std::visit([&](auto const& received) { handle(state, ctx, received); },
               message);
}

} // namespace

kernel::service<claims_state, claims_message>
make_claims_service(claims_options options)
{
    return {.name = std::string{to_name(service_name::claims)},
            .state = {.options = options},
            .start = start,
            .receive = receive};
}

} // namespace bramleyarch::services

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

void refuse_claim(claims_state& state, attempt_id attempt, claim_state why)
{
    send(state.owner, claim_result{.attempt = attempt, .state = why});
}

void handle(claims_state& state, claims_context& ctx, claim_key const& request)
{
    auto const age =
        classify_key_age(request.key, wall_now(ctx), state.options.key_age);
    bool const record_may_be_lost =
        state.options.earliest_key &&
        created_at(request.key) < *state.options.earliest_key;
    if (age != key_age::acceptable || record_may_be_lost)
    {
        refuse_claim(state, request.attempt, claim_state::expired);
        return;
    }
    if (state.platform_unavailable)
    {
        refuse_claim(state, request.attempt, claim_state::refused);
        return;
    }
    auto const name = claim_key_name(request.team, request.key);
    if (!state.attempt_by_key.emplace(name, request.attempt).second)
    {
        refuse_claim(state, request.attempt, claim_state::already_running);
        return;
    }
    state.claims.emplace(request.attempt,
                         active_claim{.progress = begin_claim(request.attempt),
                                      .key = name,
                                      .deadline = request.deadline});
    enqueue_write(state, request.attempt);
    flush(state, ctx);
}

void handle(claims_state& state, claims_context& ctx,
            release_key const& request)
{
    auto const found = state.claims.find(request.attempt);
    if (found == state.claims.end())
    {
        send(state.owner, release_result{.attempt = request.attempt});
        return;
    }
    auto& claim = found->second;
    begin_release(claim.progress);
    claim.reported = false;
    claim.deadline = now(ctx) + state.options.release_timeout;
    advance_claim(state, ctx, request.attempt);
    flush(state, ctx);
}

void handle(claims_state& state, claims_context& ctx,
            record_outcome const& request)
{
    state.pending_outcomes.push_back(
        {.key = claim_key_name(request.team, request.key),
         .record = finished_record(request.attempt, request.known),
         .retries_left = state.options.max_outcome_retries});
    remove_claim(state, request.attempt);
    flush(state, ctx);
}

void handle(claims_state& state, claims_context& ctx,
            claims_platform_reply const& message)
{
    if (!state.batch_in_flight || state.batch_in_flight->id != message.batch)
        return;
    handle_batch_reply(state, ctx, message.reply);
    flush(state, ctx);
}

void handle(claims_state& state, claims_context& ctx,
            claims_lease_reply const& message)
{
    state.lease_requested = false;
    if (!message.lease)
    {
        record_platform_state(state, ctx, false);
        advance_all_claims(state, ctx);
        return;
    }
    record_platform_state(state, ctx, true);
    state.lease_id = message.lease.value();
    state.lease_rotation_due = now(ctx) + state.options.lease_rotation_interval;
    flush(state, ctx);
}

void handle(claims_state& state, claims_context&, config_changed const& changed)
{
    state.options.key_age.retention = changed.config->limits.key_retention;
}

void handle(claims_state& state, claims_context&,
            members_changed const& changed)
{
    std::uint32_t live = 0;
    for (auto const& member : changed.view->members)
        live += member.state == member_state::gone ? 0U : 1U;
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
        state.claims.size(), state.write_queue.size(),
        state.pending_outcomes.size(), state.platform_unavailable));
}

void handle(claims_state& state, claims_context& ctx, idle_query const& query)
{
    bool const idle = state.write_queue.empty() &&
                      state.pending_outcomes.empty() && !state.batch_in_flight;
    flush(state, ctx);
    query.reply(idle);
}

void handle(claims_state& state, claims_context& ctx, claims_tick const&)
{
    advance_all_claims(state, ctx);
    probe_platform(state, ctx);
    flush(state, ctx);
    send(state.metrics, counters_added{std::exchange(state.counters, {})});
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
    state.tokens_updated_at = now(ctx);
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

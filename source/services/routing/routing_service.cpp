#include "services/routing/routing_service.hpp"

#include "services/messages/names.hpp"
#include "services/routing/routing_parts.hpp"

#include <utility>

namespace bramleyarch::services
{

namespace
{

using namespace routing;

constexpr duration report_interval = std::chrono::seconds{1};

void start_routing(routing_state& state, routing_context& ctx)
{
    auto const& names = *ctx.names;
    connect(state.metrics, names);
    state.owner = names.find<owner_message>(to_name(service_name::owner));
    state.link = names.find<link_message>(to_name(service_name::link));
    state.members = names.find<members_message>(to_name(service_name::members));
    schedule(ctx, state.options.tick, routing_tick{});
}

void handle(routing_state& state, routing_context& ctx,
            submit_request submitted)
{
    handle_submit(state, ctx, std::move(submitted));
}

void handle(routing_state& state, routing_context& ctx, cancel_request cancel)
{
    cancel_pending_request(state, ctx, cancel.request);
}

void handle(routing_state& state, routing_context&,
            answer_bytes_consumed consumed)
{
    handle_consumed_bytes(state, consumed);
}

void handle(routing_state& state, routing_context& ctx,
            owner_reply_received received)
{
    handle_owner_reply(state, ctx, std::move(received));
}

void handle(routing_state& state, routing_context& ctx, config_changed changed)
{
    adopt_config(state, ctx, std::move(changed.config));
}

void handle(routing_state& state, routing_context& ctx, members_changed changed)
{
    state.view = std::move(changed.view);
    update_services(state);
    update_team_shares(state, ctx);
    offer_waiting_resumptions(state);
}

void handle(routing_state& state, routing_context& ctx, loads_changed changed)
{
    apply_reported_loads(state, ctx, changed);
}

void handle(routing_state& state, routing_context& ctx, demand_changed changed)
{
    record_reported_demand(state, ctx, changed);
}

void handle(routing_state& state, routing_context& ctx,
            quarantine_update update)
{
    using decisions::body_status;
    decisions::merge_remote_status(
        state.quarantine, update.body_fingerprint,
        update.quarantined ? body_status::quarantined : body_status::suspect,
        update.server, std::chrono::milliseconds{update.ttl_ms}, now(ctx));
    kernel::send(state.owner, update);
}

void handle(routing_state& state, routing_context& ctx, link_lost lost)
{
    handle_lost_router(state, ctx, lost);
}

void handle(routing_state& state, routing_context&, link_opened reached)
{
    handle_router_reached(state, reached.router);
}

void handle(routing_state& state, routing_context&, drain_started)
{
    state.draining = true;
}

void handle(routing_state& state, routing_context& ctx, status_query query)
{
    query.reply(status_text(state, now(ctx)));
}

void handle(routing_state& state, routing_context&, idle_query query)
{
    query.reply(state.requests.empty());
}

void handle(routing_state& state, routing_context& ctx, request_expired expired)
{
    end_expired_request(state, ctx, expired.request);
}

void handle(routing_state& state, routing_context& ctx, request_check_due due)
{
    start_offer_round(state, ctx, due.request);
}

void handle(routing_state& state, routing_context& ctx, routing_tick)
{
    ++state.ticks;
    auto const elapsed = state.ticks * state.options.tick;
    if (elapsed >= report_interval)
    {
        state.ticks = 0;
        report_local_demand(state, ctx, elapsed);
        decisions::remove_expired_bodies(state.quarantine, now(ctx));
        flush(state.metrics);
    }
    std::erase_if(state.lost_owners, [at = now(ctx)](auto const& entry)
                  { return entry.second <= at; });
    offer_waiting_resumptions(state);
    schedule(ctx, state.options.tick, routing_tick{});
}

/// Of routers that admit requests themselves; here owners do.
template <class Message>
requires std::same_as<Message, deployment_changed> ||
    std::same_as<Message, attempt_event> ||
    std::same_as<Message, peer_heartbeat_received> ||
    std::same_as<Message, peer_request_crash_received> ||
    std::same_as<Message, peer_request_answer_received> ||
    std::same_as<Message, peer_prompt_crash_received> ||
    std::same_as<Message, peer_part_answer_received> ||
    std::same_as<Message, shared_limits_changed> ||
    std::same_as<Message, fleet_changed> ||
    std::same_as<Message, rollout_status_known> ||
    std::same_as<Message, waiting_due>
void handle(routing_state&, routing_context&, Message const&) {}

void receive_routing(routing_state& state, routing_context& ctx,
                     routing_message message)
{
    std::visit([&](auto&& part)
               { handle(state, ctx, std::forward<decltype(part)>(part)); },
               std::move(message));
}

void stop_routing(routing_state& state, routing_context&)
{
    flush(state.metrics);
}

} // namespace

kernel::service<routing_state, routing_message>
make_routing_service(routing_options options)
{
    routing_state state;
    state.limits.options = options.team_limits;
    state.budget.options = options.retries;
    state.options = std::move(options);
    return {.name = std::string{to_name(service_name::routing)},
            .state = std::move(state),
            .start = start_routing,
            .receive = receive_routing,
            .stop = stop_routing};
}

} // namespace bramleyarch::services

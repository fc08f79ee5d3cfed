#include "services/owner/owner_service.hpp"

#include "services/messages/names.hpp"
#include "services/owner/owner_parts.hpp"

#include <utility>

namespace bramleyarch::services
{

namespace
{

using namespace owning;

constexpr duration flush_interval = std::chrono::seconds{1};

void start_owner(owner_state& state, owner_context& ctx)
{
    auto const& names = *ctx.names;
    connect(state.telemetry_sink, names);
    state.routing = names.find<routing_message>(to_name(service_name::routing));
    state.backend = names.find<backend_message>(to_name(service_name::backend));
    state.claims = names.find<claims_message>(to_name(service_name::claims));
    state.link = names.find<link_message>(to_name(service_name::link));
    state.members = names.find<members_message>(to_name(service_name::members));
    schedule(ctx, state.options.tick, owner_tick{});
}

void handle(owner_state& state, owner_context& ctx,
            owner_request_received received)
{
    if (auto* offered = std::get_if<offer>(&received.request))
        handle_offer(state, ctx, received.origin, std::move(*offered));
    else if (auto const* cancel =
                 std::get_if<cancel_attempt>(&received.request))
        cancel_owned_attempt(state, ctx, cancel->attempt);
    else if (auto const* grant = std::get_if<grant_credit>(&received.request))
        kernel::send(state.backend,
                     grant_backend_credit{grant->attempt, grant->bytes});
}

void handle(owner_state& state, owner_context&, backend_send_started sent)
{
    handle_send_started(state, sent);
}

void handle(owner_state& state, owner_context& ctx, backend_head head)
{
    handle_backend_head(state, ctx, std::move(head));
}

void handle(owner_state& state, owner_context& ctx, backend_chunk chunk)
{
    handle_backend_chunk(state, ctx, std::move(chunk));
}

void handle(owner_state& state, owner_context& ctx, backend_end end)
{
    handle_backend_end(state, ctx, end);
}

void handle(owner_state& state, owner_context& ctx, backend_failed failure)
{
    handle_backend_failure(state, ctx, std::move(failure));
}

void handle(owner_state& state, owner_context& ctx, server_load_report report)
{
    handle_load_report(state, ctx, report);
}

void handle(owner_state& state, owner_context& ctx,
            server_load_report_failed failure)
{
    handle_load_report_failure(state, ctx, failure);
}

void handle(owner_state& state, owner_context& ctx, claim_result result)
{
    handle_claim_result(state, ctx, result);
}

void handle(owner_state& state, owner_context& ctx, release_result result)
{
    handle_release_result(state, ctx, result);
}

void handle(owner_state& state, owner_context& ctx, config_changed changed)
{
    if (!changed.config ||
        (state.config && changed.config->version < state.config->version))
    {
        return;
    }
    state.config = std::move(changed.config);
    update_ownership(state, ctx);
}

void handle(owner_state& state, owner_context& ctx, members_changed changed)
{
    state.view = std::move(changed.view);
    update_ownership(state, ctx);
}

void handle(owner_state& state, owner_context& ctx, loads_changed changed)
{
    record_remote_loads(state, ctx, changed);
}

void handle(owner_state& state, owner_context& ctx, quarantine_update update)
{
    merge_quarantine_update(state, ctx, update);
}

void handle(owner_state& state, owner_context& ctx, link_lost lost)
{
    cancel_attempts_from(state, ctx, lost.router);
}

void handle(owner_state& state, owner_context&, drain_started)
{
    state.draining = true;
}

void handle(owner_state& state, owner_context& ctx, status_query query)
{
    query.reply(status_text(state, now(ctx)));
}

void handle(owner_state& state, owner_context&, idle_query query)
{
    query.reply(state.attempts.empty());
}

void handle(owner_state& state, owner_context& ctx, owner_tick)
{
    for (auto& [id, server] : state.servers)
    {
        // An open breaker becomes half open when its pause has passed, so that
        // the server is published as usable and a probe is offered.
        decisions::may_send(server.breaker, now(ctx));
        end_expired_admission_hold(state, ctx, server);
        refuse_expired_requests(state, ctx, server);
        admit_queued_requests(state, ctx, server);
        redirect_queue_at_load_bound(state, ctx, server);
    }
    std::erase_if(state.servers,
                  [](auto const& entry) {
                      return !entry.second.owned && entry.second.in_flight == 0;
                  });
    decisions::remove_expired_bodies(state.suspect_bodies, now(ctx));
    publish_loads(state, ctx);
    ++state.ticks;
    if (state.ticks * state.options.tick >= flush_interval)
    {
        state.ticks = 0;
        flush(state.telemetry_sink);
    }
    schedule(ctx, state.options.tick, owner_tick{});
}

void receive_owner(owner_state& state, owner_context& ctx,
                   owner_message message)
{
    std::visit([&](auto&& part)
               { handle(state, ctx, std::forward<decltype(part)>(part)); },
               std::move(message));
}

void stop_owner(owner_state& state, owner_context&)
{
    flush(state.telemetry_sink);
}

} // namespace

kernel::service<owner_state, owner_message>
make_owner_service(owner_options options)
{
    owner_state state;
    state.suspect_bodies.options = options.quarantine;
    state.options = std::move(options);
    return {.name = std::string{to_name(service_name::owner)},
            .state = std::move(state),
            .start = start_owner,
            .receive = receive_owner,
            .stop = stop_owner};
}

} // namespace bramleyarch::services

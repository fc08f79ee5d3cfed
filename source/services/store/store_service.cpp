#include "services/store/store_service.hpp"

#include "services/messages/names.hpp"
#include "services/store/store_parts.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <thread>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using context = kernel::context<store_message>;

/// Interval at which the service checks which requests are due.
constexpr duration tick_interval = std::chrono::milliseconds{250};

group_sync* find_sync(store_state& state, std::uint64_t request_id)
{
    for (auto& sync : state.syncs)
    {
        if (sync.request.id == request_id)
            return &sync;
    }
    return nullptr;
}

pending_request* find_request(store_state& state, std::uint64_t id)
{
    if (auto* const sync = find_sync(state, id))
        return &sync->request;
    if (auto* const rollout = find_rollout(state, id))
        return &rollout->request;
    if (auto* const check = find_order_check(state, id))
        return &check->request;
    return state.lease_request.id == id ? &state.lease_request : nullptr;
}

void handle_event(store_state&, pending_request&, http::request_sent const&) {}

/// Reads everything again after the store came back from an older copy.
/// Requests in flight are abandoned: their responses may mix both.
void begin_era(store_state& state, std::uint64_t era)
{
    count(state.telemetry_sink, counter::store_restores);
    log(state.telemetry_sink, log_severity::warning, "store_restored",
        fmt::format("era={} before={}", era, state.era));
    state.era = era;
    decisions::record_store_restored(state.discovery, current_time(state));
    for (auto const& [service, check] : state.order_checks)
    {
        if (check.request.id != 0)
            state.transport.close(check.request.id);
    }
    state.order_checks.clear();
    restart_syncs(state);
    restart_registration(state);
    restart_rollouts(state);
}

void handle_event(store_state& state, pending_request& request,
                  http::response_failed const& failed);

void handle_event(store_state& state, pending_request& request,
                  http::response_head const& head)
{
    auto const era = state.options.codec.decode_era(head.headers);
    if (era > state.era && state.era != 0)
    {
        begin_era(state, era);
        return;
    }
    if (era != 0 && era < state.era)
    {
        state.transport.close(head.id);
        handle_event(state, request,
                     http::response_failed{
                         .id = head.id,
                         .cause = {error_kind::platform_unavailable,
                                   "the response is of an earlier era"}});
        return;
    }
    state.era = std::max(state.era, era);
    request.status = head.status;
    request.head_received_at = current_time(state);
    request.last_byte_at = request.head_received_at;
    if (auto* const sync = find_sync(state, head.id); sync && head.length)
        replace_long_watch(state, *sync, *head.length);
}

void handle_event(store_state& state, pending_request&,
                  http::response_end const& end)
{
    if (auto* const sync = find_sync(state, end.id))
        handle_sync_response(state, *sync);
    else if (auto* const rollout = find_rollout(state, end.id))
        handle_rollout_response(state, *rollout);
    else if (auto* const check = find_order_check(state, end.id))
        handle_order_response(state, *check);
    else
        handle_lease_response(state);
}

void handle_event(store_state& state, pending_request& request,
                  http::response_failed const& failed)
{
    auto const reason = describe(failed.cause);
    auto* const sync = find_sync(state, failed.id);
    auto* const rollout = find_rollout(state, failed.id);
    auto* const check = find_order_check(state, failed.id);
    request = {};
    if (rollout)
        handle_rollout_failure(state, *rollout, reason);
    else if (check)
        handle_order_failure(state, *check, reason);
    else if (sync)
        handle_sync_failure(state, *sync, reason);
    else if (state.registration != registration_stage::revoking_lease)
        handle_lease_failure(state, reason);
}

void handle_event(store_state& state, pending_request& request,
                  http::response_bytes const& bytes)
{
    request.body += bytes.bytes;
    request.last_byte_at = current_time(state);
    if (request.body.size() > state.options.max_response_bytes)
    {
        state.transport.close(bytes.id);
        handle_event(state, request,
                     http::response_failed{
                         .id = bytes.id,
                         .cause = {error_kind::server_protocol,
                                   "the response exceeds the size limit"}});
        return;
    }
    if (auto* const sync = find_sync(state, bytes.id))
        replace_long_watch(state, *sync, request.body.size());
}

/// Passes an event on to its request; ignores events of abandoned requests.
void dispatch_event(store_state& state, http::client_event event)
{
    auto const id = std::visit([](auto const& e) { return e.id; }, event);
    auto* const request = find_request(state, id);
    if (!request)
        return;
    std::visit([&](auto const& e) { handle_event(state, *request, e); }, event);
}

void handle_message(store_state& state, context&,
                    rollout_decision const& decision)
{
    apply_decision(state, decision);
}

void handle_message(store_state& state, context& ctx, store_tick)
{
    schedule(ctx, tick_interval, store_tick{});
    apply_due_removals(state);
    send_due_sync_requests(state);
    send_due_lease_request(state);
    send_due_rollout_calls(state);
    send_due_order_checks(state);
    flush(state.telemetry_sink);
}

void handle_message(store_state& state, context&,
                    peer_revisions_received const& received)
{
    record_peer_revisions(state, received.revisions);
}

void handle_message(store_state& state, context&, drain_started)
{
    deregister_router(state);
}

void handle_message(store_state& state, context&, status_query const& query)
{
    query.reply(status_json(state));
}

void start(store_state& state, context& ctx)
{
    state.self = ctx.self;
    state.clock = ctx.clock;
    state.random.seed(state.options.seed);
    state.discovery.options = state.options.discovery;
    connect(state.telemetry_sink, *ctx.names);
    state.front = ctx.names->find<front_message>(to_name(service_name::front));
    state.routing =
        ctx.names->find<routing_message>(to_name(service_name::routing));
    state.admin = ctx.names->find<admin_message>(to_name(service_name::admin));
    state.peers = ctx.names->find<peers_message>(to_name(service_name::peers));
    state.transport = state.options.transport;
    if (state.transport.subscribe)
        state.transport.subscribe([&state](http::client_event event)
                                  { dispatch_event(state, std::move(event)); });
    if (!state.transport.open)
    {
        auto client =
            http::make_client({.on_event = [&state](http::client_event event)
                               { dispatch_event(state, std::move(event)); },
                               .loop = state.options.loop});
        if (!client)
        {
            log(state.telemetry_sink, log_severity::error, "start_failed",
                describe(client.error()));
            return;
        }
        state.client = std::move(client).value();
        state.transport = {.open = [&state](http::client_request request)
                           { http::open(*state.client, std::move(request)); },
                           .close = [&state](std::uint64_t id)
                           { http::close(*state.client, id); }};
    }
    schedule(ctx, tick_interval, store_tick{});
    send_due_sync_requests(state);
    send_due_lease_request(state);
}

void receive(store_state& state, context& ctx, store_message message)
{
    std::visit([&](auto const& m) { handle_message(state, ctx, m); }, message);
}

void stop(store_state& state, context&)
{
    state.client.reset();
}

void wait(store_state& state, duration limit)
{
    if (state.client)
        http::wait(*state.client, limit);
    else
        std::this_thread::sleep_for(limit);
}

void wake(store_state& state)
{
    if (state.client)
        http::wake(*state.client);
}

} // namespace

time_point current_time(store_state const& state)
{
    return now(*state.clock);
}

std::uint64_t send_request(store_state& state, store_request request,
                           duration timeout)
{
    count(state.telemetry_sink, counter::platform_calls);
    auto const id = ++state.last_request_id;
    http::client_request http_request{.id = id,
                                      .to = state.options.address,
                                      .method = std::move(request.method),
                                      .target = std::move(request.target),
                                      .connect_limit =
                                          state.options.connect_timeout,
                                      .silence_limit = timeout,
                                      .may_reuse = true};
    if (!request.body.empty())
    {
        http_request.headers.push_back({"content-type", "application/json"});
        http_request.body =
            std::make_shared<std::string const>(std::move(request.body));
    }
    state.transport.open(std::move(http_request));
    return id;
}

store_service make_store_service(store_options options)
{
    return {.name = std::string{to_name(service_name::store)},
            .state = {.options = std::move(options)},
            .start = start,
            .receive = receive,
            .stop = stop,
            .loop = {.wait = wait, .wake = wake}};
}

} // namespace bramleyarch::services

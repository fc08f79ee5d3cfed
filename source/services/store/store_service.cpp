#include "services/store/store_service.hpp"

#include "services/messages/names.hpp"
#include "services/store/store_parts.hpp"

#include <fmt/format.h>
#include <thread>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using context = kernel::context<store_message>;

/// Between looks at what is due.
constexpr duration tick_interval = std::chrono::milliseconds{250};

followed_group* followed_by(store_state& state, std::uint64_t id)
{
    for (auto& g : state.groups)
    {
        if (g.call.id == id)
            return &g;
    }
    return nullptr;
}

running_call* call_of(store_state& state, std::uint64_t id)
{
    if (auto* const g = followed_by(state, id))
        return &g->call;
    return state.keep.id == id ? &state.keep : nullptr;
}

void on_event(store_state&, running_call&, http::request_sent const&) {}

void on_event(store_state&, running_call& call, http::response_head const& head)
{
    call.status = head.status;
}

void on_event(store_state&, running_call& call,
              http::response_bytes const& bytes)
{
    call.body += bytes.bytes;
}

void on_event(store_state& state, running_call&, http::response_end const& end)
{
    if (auto* const g = followed_by(state, end.id))
        end_follow(state, *g);
    else
        end_keep(state);
}

void on_event(store_state& state, running_call& call,
              http::response_failed const& failed)
{
    auto const why = describe(failed.cause);
    auto* const g = followed_by(state, failed.id);
    call = {};
    if (g)
        follow_failed(state, *g, why);
    else if (state.listing != listing_stage::ending)
        keep_failed(state, why);
}

void take_event(store_state& state, http::client_event event)
{
    auto const id = std::visit([](auto const& e) { return e.id; }, event);
    auto* const call = call_of(state, id);
    if (!call)
        return;
    std::visit([&](auto const& e) { on_event(state, *call, e); }, event);
}

void receive_one(store_state& state, context& ctx, store_tick)
{
    schedule(ctx, tick_interval, store_tick{});
    expire_doubtful(state);
    follow_due(state);
    keep_listed(state);
    flush(state.counted);
}

void receive_one(store_state& state, context&,
                 peer_revisions_received const& peers)
{
    take_peer_changes(state, peers.revisions);
}

void receive_one(store_state& state, context&, drain_started)
{
    leave_list(state);
}

void receive_one(store_state& state, context&, status_query const& query)
{
    auto const& rules = group_of(state, record_group::rules);
    auto const& servers = group_of(state, record_group::servers);
    query.reply(
        fmt::format(R"({{"rules":{{"stage":"{}","as_of":{}}},)"
                    R"("servers":{{"stage":"{}","as_of":{},"listed":{}}},)"
                    R"("away":{},"listing":"{}","routers":{}}})",
                    to_name(rules.stage), rules.as_of, to_name(servers.stage),
                    servers.as_of, state.found.deployment.servers.size(),
                    state.found.store_unavailable, to_name(state.listing),
                    state.found.routers.size()));
}

void start(store_state& state, context& ctx)
{
    state.self = ctx.self;
    state.clock = ctx.clock;
    state.random.seed(state.options.seed);
    state.found.options = state.options.discovery;
    connect(state.counted, *ctx.names);
    state.front = ctx.names->find<front_message>(to_name(service_name::front));
    state.routing =
        ctx.names->find<routing_message>(to_name(service_name::routing));
    state.admin = ctx.names->find<admin_message>(to_name(service_name::admin));
    state.peers = ctx.names->find<peers_message>(to_name(service_name::peers));
    state.transport = state.options.transport;
    if (state.transport.subscribe)
        state.transport.subscribe([&state](http::client_event event)
                                  { take_event(state, std::move(event)); });
    if (!state.transport.open)
    {
        auto client =
            http::make_client({.on_event = [&state](http::client_event event)
                               { take_event(state, std::move(event)); },
                               .loop = state.options.loop});
        if (!client)
        {
            log(state.counted, log_severity::error, "start_failed",
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
    follow_due(state);
    keep_listed(state);
}

void receive(store_state& state, context& ctx, store_message message)
{
    std::visit([&](auto const& m) { receive_one(state, ctx, m); }, message);
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

time_point now_of(store_state const& state)
{
    return now(*state.clock);
}

std::uint64_t open_call(store_state& state, store_request call, duration limit)
{
    count(state.counted, counter::platform_calls);
    auto const id = ++state.last_id;
    http::client_request request{.id = id,
                                 .to = state.options.address,
                                 .method = std::move(call.method),
                                 .target = std::move(call.target),
                                 .connect_limit = state.options.connect_limit,
                                 .silence_limit = limit,
                                 .may_reuse = true};
    if (!call.body.empty())
    {
        request.headers.push_back({"content-type", "application/json"});
        request.body =
            std::make_shared<std::string const>(std::move(call.body));
    }
    state.transport.open(std::move(request));
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

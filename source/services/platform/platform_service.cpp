#include "services/platform/platform_service.hpp"

#include "etcd/etcd_replies.hpp"
#include "services/messages/names.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <thread>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using context = kernel::context<platform_message>;

constexpr duration counter_flush_interval = std::chrono::seconds{1};

void handle_message(platform_state& state, context& ctx,
                    run_kv_transaction& call)
{
    auto done =
        [reply = std::move(call.reply)](result<call_reply> const& outcome)
    {
        if (!outcome)
            reply(fail(outcome.error().kind, outcome.error().detail));
        else
            reply(etcd::decode_transaction(outcome.value().status,
                                           outcome.value().body));
    };
    start_call(state.calls, etcd::encode_transaction(call.transaction),
               call.timeout, std::move(done), now(ctx));
}

void handle_message(platform_state& state, context& ctx, create_kv_lease& call)
{
    auto done =
        [reply = std::move(call.reply)](result<call_reply> const& outcome)
    {
        if (!outcome)
            reply(fail(outcome.error().kind, outcome.error().detail));
        else
            reply(etcd::decode_lease_grant(outcome.value().status,
                                           outcome.value().body));
    };
    start_call(state.calls, etcd::encode_lease_grant(call.ttl), call.timeout,
               std::move(done), now(ctx));
}

void handle_message(platform_state& state, context& ctx, watch_kv_range& wanted)
{
    add_watch(state.watches, state.calls,
              {.key = std::move(wanted.key),
               .range_end = std::move(wanted.range_end),
               .changed = std::move(wanted.changed)},
              now(ctx));
}

void handle_message(platform_state& state, context&, unwatch_kv_range& unwanted)
{
    remove_watch(state.watches, state.calls, unwanted.key);
}

void handle_message(platform_state& state, context& ctx, drain_started&)
{
    announce_leaving(state.instances, now(ctx));
}

void handle_message(platform_state& state, context&, status_query& query)
{
    nlohmann::json const status{
        {"reachable", !state.calls.lost},
        {"calls_open", state.calls.open.size()},
        {"calls_waiting", state.calls.waiting.size()},
        {"watches", state.watches.watches.size()},
        {"registered", state.instances.lease != 0},
    };
    query.reply(status.dump());
}

void handle_message(platform_state& state, context& ctx, platform_tick&)
{
    auto const at = now(ctx);
    auto const clock = [&ctx] { return now(ctx); };
    tick_calls(state.calls, at);
    tick_watches(state.watches, state.calls, at);
    tick_instances(state.instances, state.calls, at, clock);
    if (at >= state.counters_flushed_at + counter_flush_interval)
    {
        state.counters_flushed_at = at;
        flush(state.calls.telemetry_sink);
    }
    schedule(ctx, state.options.tick, platform_tick{});
}

/// Returns the transport of the options, or one that uses a new HTTP client.
result<platform_transport>
make_transport(platform_state& state,
               std::function<void(http::client_event)> on_event)
{
    if (state.options.make_transport)
        return state.options.make_transport(std::move(on_event));
    auto made = http::make_client({.on_event = std::move(on_event)});
    if (!made)
        return made.error();
    state.client = std::move(made).value();
    auto* const client = state.client.get();
    return platform_transport{.open = [client](http::client_request request)
                              { http::open(*client, std::move(request)); },
                              .close = [client](std::uint64_t id)
                              { http::close(*client, id); }};
}

void start(platform_state& state, context& ctx)
{
    connect(state.calls.telemetry_sink, *ctx.names);
    state.instances.members =
        ctx.names->find<members_message>(to_name(service_name::members));
    state.calls.options = state.options.calls;
    state.watches.options = state.options.watches;
    state.instances.options = state.options.instances;
    auto const on_event = [&state, &ctx](http::client_event const& event)
    {
        if (!handle_call_event(state.calls, event, now(ctx)))
            handle_watch_event(state.watches, state.calls, event, now(ctx));
    };
    auto made = make_transport(state, on_event);
    if (!made)
    {
        // No request is sent, so every call fails as `platform_unavailable`.
        fmt::print(stderr, "cannot create the platform client: {}\n",
                   describe(made.error()));
        state.calls.transport = {.open = [](http::client_request const&) {},
                                 .close = [](std::uint64_t) {}};
    }
    else
    {
        state.calls.transport = std::move(made).value();
    }
    platform_tick first;
    handle_message(state, ctx, first);
}

void receive(platform_state& state, context& ctx, platform_message message)
{
    std::visit([&](auto& one) { handle_message(state, ctx, one); }, message);
}

void wait(platform_state& state, duration limit)
{
    if (state.client)
        http::wait(*state.client, limit);
    else
        std::this_thread::sleep_for(std::min(limit, state.options.tick));
}

void wake(platform_state& state)
{
    if (state.client)
        http::wake(*state.client);
}

} // namespace

kernel::service<platform_state, platform_message>
make_platform_service(platform_options options)
{
    return {.name = std::string{to_name(service_name::platform)},
            .state = {.options = std::move(options)},
            .start = start,
            .receive = receive,
            .loop = {.wait = wait, .wake = wake}};
}

} // namespace bramleyarch::services

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
using state = platform_state;

constexpr duration counts_interval = std::chrono::seconds{1};

void receive_one(state& s, context& ctx, run_kv_transaction& call)
{
    auto done = [reply = std::move(call.reply)](result<call_reply> const& got)
    {
        if (!got)
            reply(fail(got.error().kind, got.error().detail));
        else
            reply(
                etcd::decode_transaction(got.value().status, got.value().body));
    };
    start_call(s.calls, etcd::encode_transaction(call.transaction),
               call.timeout, std::move(done), now(ctx));
}

void receive_one(state& s, context& ctx, create_kv_lease& call)
{
    auto done = [reply = std::move(call.reply)](result<call_reply> const& got)
    {
        if (!got)
            reply(fail(got.error().kind, got.error().detail));
        else
            reply(
                etcd::decode_lease_grant(got.value().status, got.value().body));
    };
    start_call(s.calls, etcd::encode_lease_grant(call.ttl), call.timeout,
               std::move(done), now(ctx));
}

void receive_one(state& s, context& ctx, watch_kv_range& wanted)
{
    add_watch(s.watches, s.calls,
              {.key = std::move(wanted.key),
               .range_end = std::move(wanted.range_end),
               .changed = std::move(wanted.changed)},
              now(ctx));
}

void receive_one(state& s, context&, unwatch_kv_range& unwanted)
{
    remove_watch(s.watches, s.calls, unwanted.key);
}

void receive_one(state& s, context& ctx, drain_started&)
{
    leave_instances(s.instances, now(ctx));
}

void receive_one(state& s, context&, status_query& query)
{
    nlohmann::json const status{
        {"reachable", !s.calls.lost},
        {"calls_open", s.calls.open.size()},
        {"calls_waiting", s.calls.waiting.size()},
        {"watches", s.watches.watches.size()},
        {"registered", s.instances.lease != 0},
    };
    query.reply(status.dump());
}

void receive_one(state& s, context& ctx, platform_tick&)
{
    auto const at = now(ctx);
    auto const clock = [&ctx] { return now(ctx); };
    tick_calls(s.calls, at);
    tick_watches(s.watches, s.calls, at);
    tick_instances(s.instances, s.calls, at, clock);
    if (at >= s.counts_sent_at + counts_interval)
    {
        s.counts_sent_at = at;
        flush(s.calls.counts);
    }
    schedule(ctx, s.options.tick, platform_tick{});
}

/// The transport of the options, or an HTTP client of its own.
result<platform_transport>
make_transport(state& s, std::function<void(http::client_event)> on_event)
{
    if (s.options.make_transport)
        return s.options.make_transport(std::move(on_event));
    auto made = http::make_client({.on_event = std::move(on_event)});
    if (!made)
        return made.error();
    s.client = std::move(made).value();
    auto* const client = s.client.get();
    return platform_transport{.open = [client](http::client_request request)
                              { http::open(*client, std::move(request)); },
                              .close = [client](std::uint64_t id)
                              { http::close(*client, id); }};
}

void start(state& s, context& ctx)
{
    connect(s.calls.counts, *ctx.names);
    s.instances.members =
        ctx.names->find<members_message>(to_name(service_name::members));
    s.calls.options = s.options.calls;
    s.watches.options = s.options.watches;
    s.instances.options = s.options.instances;
    auto const on_event = [&s, &ctx](http::client_event const& event)
    {
        if (!handle_call_event(s.calls, event, now(ctx)))
            handle_watch_event(s.watches, s.calls, event, now(ctx));
    };
    auto made = make_transport(s, on_event);
    if (!made)
    {
        // No request is sent: every call ends as `platform_unavailable`.
        fmt::print(stderr, "platform client: {}\n", describe(made.error()));
        s.calls.transport = {.open = [](http::client_request const&) {},
                             .close = [](std::uint64_t) {}};
    }
    else
    {
        s.calls.transport = std::move(made).value();
    }
    platform_tick first;
    receive_one(s, ctx, first);
}

void receive(state& s, context& ctx, platform_message message)
{
    std::visit([&](auto& one) { receive_one(s, ctx, one); }, message);
}

void wait(state& s, duration limit)
{
    if (s.client)
        http::wait(*s.client, limit);
    else
        std::this_thread::sleep_for(std::min(limit, s.options.tick));
}

void wake(state& s)
{
    if (s.client)
        http::wake(*s.client);
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

#include "services/store/store_service.hpp"

#include "services/messages/names.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <thread>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using context = kernel::context<store_message>;

constexpr duration tick_interval = std::chrono::milliseconds{250};

/// Failures in a row after which the store counts as away: one may be a watch
/// or a kept connection that was cut.
constexpr std::uint32_t failures_for_away = 2;

constexpr int status_ok = 200;
constexpr int status_unknown_lease = 404;
constexpr int status_history_gone = 410;

time_point now_of(store_state const& state)
{
    return now(*state.clock);
}

std::uint64_t open_call(store_state& state, store_call call, duration limit)
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

void publish_deployment(store_state& state)
{
    deployment_changed const message{
        std::make_shared<config::deployment const>(state.found.known)};
    send(state.front, message);
    send(state.routing, message);
    send(state.admin, message);
}

void publish_routers(store_state& state)
{
    routers_listed message;
    for (auto const& [key, router] : state.found.routers)
    {
        if (router.id != state.options.self.id)
            message.routers.push_back(router);
    }
    send(state.peers, std::move(message));
}

void publish(store_state& state, decisions::discovery_effect const& effect)
{
    if (!effect.note.empty())
        log(state.counted, log_severity::info, "discovery", effect.note);
    if (effect.deployment)
        publish_deployment(state);
    if (effect.routers)
        publish_routers(state);
}

void publish(store_state& state,
             std::vector<decisions::record_change> const& changes)
{
    decisions::note_removals(state.found, changes);
    decisions::discovery_effect all;
    for (auto const& change : changes)
    {
        auto const effect =
            decisions::apply(state.found, change, now_of(state));
        all.deployment = all.deployment || effect.deployment;
        all.routers = all.routers || effect.routers;
        if (!effect.note.empty())
            log(state.counted, log_severity::info, "discovery",
                fmt::format("{} revision={}", effect.note, change.changed));
    }
    publish(state, all);
}

void follow(store_state& state)
{
    state.follow = {};
    if (state.as_of == 0)
    {
        state.stage = follow_stage::listing;
        state.follow.id =
            open_call(state, state.options.codec.list(state.page_after),
                      state.options.call_limit);
        return;
    }
    state.stage = follow_stage::watching;
    state.follow.id = open_call(
        state, state.options.codec.watch(state.as_of, state.options.watch_wait),
        state.options.watch_wait + state.options.watch_slack);
}

void list_anew(store_state& state)
{
    state.as_of = 0;
    state.listed.clear();
    state.page_after.clear();
}

void follow_failed(store_state& state, std::string const& why)
{
    ++state.failures;
    state.stage = follow_stage::idle;
    count(state.counted, counter::platform_failures);
    log(state.counted, log_severity::warning, "store_call_failed",
        fmt::format("call=follow failures={} reason=\"{}\"", state.failures,
                    why));
    if (state.failures >= failures_for_away && !state.found.away)
    {
        decisions::note_away(state.found);
        log(state.counted, log_severity::warning, "dependency_lost",
            "dependency=store");
    }
    auto const doublings = std::min(state.failures, 6U) - 1;
    auto const step = std::min(state.options.first_retry * (1U << doublings),
                               state.options.last_retry);
    // Half of the step is random, so that routers do not return together.
    std::uniform_int_distribution<std::int64_t> spread{step.count() / 2,
                                                       step.count()};
    state.retry_at = now_of(state) + duration{spread(state.random)};
    // A page that failed is asked for again; earlier pages stay read.
}

void note_answer(store_state& state)
{
    state.failures = 0;
    if (!state.found.away)
        return;
    decisions::note_back(state.found, now_of(state));
    log(state.counted, log_severity::info, "dependency_regained",
        "dependency=store");
}

/// Everything is listed: what is missing is gone.
void finish_list(store_state& state, revision as_of)
{
    std::vector<decisions::record_change> gone;
    for (auto const& key : decisions::missing_keys(state.found, state.listed))
    {
        gone.push_back({.key = key,
                        .changed = as_of,
                        .removed = true,
                        .content = state.options.codec.named_by(key)});
    }
    publish(state, gone);
    for (auto const& change : gone)
        state.found.applied.erase(change.key);
    publish_routers(state);
    state.listed.clear();
    state.page_after.clear();
}

void take_list(store_state& state, store_changes const& page)
{
    // Changes after the first page are seen again by the watch.
    if (state.listed.empty() && state.page_after.empty())
        state.list_as_of = page.as_of;
    publish(state, page.changes);
    for (auto const& change : page.changes)
        state.listed.insert(change.key);
    state.page_after = page.last_key;
    if (page.more)
    {
        follow(state);
        return;
    }
    finish_list(state, state.list_as_of);
    state.as_of = state.list_as_of;
    follow(state);
}

void take_changes(store_state& state, store_changes const& seen)
{
    publish(state, seen.changes);
    state.as_of = std::max(state.as_of, seen.as_of);
    follow(state);
}

void end_follow(store_state& state)
{
    auto const call = std::exchange(state.follow, {});
    bool const listing = state.stage == follow_stage::listing;
    if (!listing && call.status == status_history_gone)
    {
        note_answer(state);
        log(state.counted, log_severity::warning, "watch_history_gone",
            fmt::format("revision={}", state.as_of));
        count(state.counted, counter::platform_watch_reopened);
        list_anew(state);
        follow(state);
        return;
    }
    if (call.status != status_ok)
    {
        follow_failed(state, fmt::format("status {}", call.status));
        return;
    }
    auto const read = listing ? state.options.codec.read_list(call.body)
                              : state.options.codec.read_watch(call.body);
    if (!read)
    {
        follow_failed(state, describe(read.error()));
        return;
    }
    note_answer(state);
    if (listing)
        take_list(state, read.value());
    else
        take_changes(state, read.value());
}

void keep_failed(store_state& state, std::string const& why)
{
    count(state.counted, counter::platform_failures);
    log(state.counted, log_severity::warning, "store_call_failed",
        fmt::format("call=lease stage={} reason=\"{}\"", to_name(state.listing),
                    why));
    if (state.listing != listing_stage::renewing)
        state.listing = listing_stage::unlisted;
    else
        state.listing = listing_stage::listed;
    state.keep_at = now_of(state) + state.options.last_retry;
}

void write_listing(store_state& state)
{
    state.listing = listing_stage::writing;
    state.keep.id = open_call(
        state, state.options.codec.list_router(state.options.self, state.lease),
        state.options.call_limit);
}

void end_keep(store_state& state)
{
    auto const call = std::exchange(state.keep, {});
    if (state.listing == listing_stage::ending)
        return;
    bool const renewal = state.listing == listing_stage::renewing;
    if (call.status == status_unknown_lease)
    {
        state.listing = listing_stage::unlisted;
        state.keep_at = now_of(state);
        log(state.counted, log_severity::warning, "lease_ended",
            fmt::format("lease={}", state.lease));
        return;
    }
    if (call.status != status_ok)
    {
        keep_failed(state, fmt::format("status {}", call.status));
        return;
    }
    if (state.listing == listing_stage::leasing)
    {
        auto const lease = state.options.codec.read_lease(call.body);
        if (!lease)
        {
            keep_failed(state, describe(lease.error()));
            return;
        }
        state.lease = lease.value();
        write_listing(state);
        return;
    }
    if (!renewal)
        log(state.counted, log_severity::info, "router_listed",
            fmt::format("lease={}", state.lease));
    state.listing = listing_stage::listed;
    state.keep_at = now_of(state) + state.options.lease_renewal;
}

/// The next call for the lease, when it is due and none is under way.
void keep_listed(store_state& state)
{
    if (state.keep.id != 0 || state.draining || state.as_of == 0 ||
        now_of(state) < state.keep_at)
        return;
    if (state.listing == listing_stage::unlisted)
    {
        state.listing = listing_stage::leasing;
        state.keep.id = open_call(
            state, state.options.codec.grant_lease(state.options.lease_ttl),
            state.options.call_limit);
    }
    else if (state.listing == listing_stage::listed)
    {
        state.listing = listing_stage::renewing;
        state.keep.id =
            open_call(state, state.options.codec.renew_lease(state.lease),
                      state.options.call_limit);
    }
}

running_call* call_of(store_state& state, std::uint64_t id)
{
    if (state.follow.id == id)
        return &state.follow;
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

void on_event(store_state& state, running_call& call, http::response_end const&)
{
    if (&call == &state.follow)
        end_follow(state);
    else
        end_keep(state);
}

void on_event(store_state& state, running_call& call,
              http::response_failed const& failed)
{
    auto const why = describe(failed.cause);
    bool const following = &call == &state.follow;
    call = {};
    if (following)
        follow_failed(state, why);
    else if (state.listing != listing_stage::ending)
        keep_failed(state, why);
}

void receive_one(store_state& state, context& ctx, store_tick)
{
    schedule(ctx, tick_interval, store_tick{});
    publish(state, decisions::expire(state.found, now(ctx)));
    if (state.stage == follow_stage::idle && now(ctx) >= state.retry_at)
        follow(state);
    keep_listed(state);
    flush(state.counted);
}

void receive_one(store_state& state, context&, store_retry)
{
    if (state.stage == follow_stage::idle)
        follow(state);
}

/// Ends the lease, so that the others do not wait for it to lapse.
void receive_one(store_state& state, context&, drain_started)
{
    state.draining = true;
    if (state.listing == listing_stage::unlisted || state.lease == 0)
        return;
    if (state.keep.id != 0)
        state.transport.close(state.keep.id);
    state.listing = listing_stage::ending;
    state.keep = {};
    state.keep.id = open_call(state, state.options.codec.end_lease(state.lease),
                              state.options.call_limit);
}

void receive_one(store_state& state, context&, status_query const& query)
{
    query.reply(fmt::format(
        R"({{"stage":"{}","as_of":{},"away":{},"servers":{},"routers":{}}})",
        to_name(state.stage), state.as_of, state.found.away,
        state.found.known.servers.size(), state.found.routers.size()));
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
    if (!state.transport.open)
    {
        auto client =
            http::make_client({.on_event = [&state](http::client_event event)
                               { handle_store_event(state, std::move(event)); },
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
    follow(state);
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

void handle_store_event(store_state& state, http::client_event event)
{
    auto const id = std::visit([](auto const& e) { return e.id; }, event);
    auto* const call = call_of(state, id);
    if (!call)
        return;
    std::visit([&](auto const& e) { on_event(state, *call, e); }, event);
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

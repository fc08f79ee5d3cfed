#include "services/backend/backend_service.hpp"

#include "services/backend/load_watch.hpp"
#include "services/messages/names.hpp"

#include <fmt/format.h>
#include <thread>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using context = kernel::context<backend_message>;

/// Interval at which due load reports and expired attempts are checked.
constexpr duration tick_interval = std::chrono::milliseconds{100};
constexpr int ticks_per_metrics_report = 10;

void remove_attempt(backend_state& state, std::uint64_t id)
{
    auto const found = state.attempts.find(id);
    state.request_ids.erase(found->second.attempt);
    state.attempts.erase(found);
}

void count_failure(backend_state& state, error_kind kind)
{
    if (kind == error_kind::server_connect_failed)
        add(state.counts, counter::backend_connect_failed);
    else if (kind == error_kind::server_silent)
        add(state.counts, counter::backend_silent);
    else
        add(state.counts, counter::backend_closed_early);
}

void fail_attempt(backend_state& state, std::uint64_t id, error cause,
                  bool sent, bool kept_connection = false,
                  answer_progress progress = answer_progress::none)
{
    count_failure(state, cause.kind);
    auto const attempt = state.attempts.at(id).attempt;
    remove_attempt(state, id);
    state.send_event(backend_failed{.attempt = attempt,
                                    .cause = std::move(cause),
                                    .sent = sent,
                                    .kept_connection = kept_connection,
                                    .progress = progress});
}

void handle_event(backend_state& state, http::request_sent const& event)
{
    auto& open = state.attempts.at(event.id);
    open.sent = true;
    state.send_event(backend_send_started{open.attempt});
}

void handle_event(backend_state& state, http::response_head event)
{
    state.send_event(
        backend_head{.attempt = state.attempts.at(event.id).attempt,
                     .status = event.status,
                     .headers = std::move(event.headers)});
}

void handle_event(backend_state& state, http::response_bytes event)
{
    state.send_event(
        backend_chunk{.attempt = state.attempts.at(event.id).attempt,
                      .bytes = std::move(event.bytes)});
}

void handle_event(backend_state& state, http::response_end const& event)
{
    auto const attempt = state.attempts.at(event.id).attempt;
    remove_attempt(state, event.id);
    state.send_event(
        backend_end{.attempt = attempt, .by_close = event.by_close});
}

void handle_event(backend_state& state, http::response_failed event)
{
    fail_attempt(state, event.id, std::move(event.cause), event.sent,
                 event.kept_connection, event.progress);
}

void handle_probe_result(backend_state& state,
                         http::server_checked const& result)
{
    auto const probe = state.probes.extract(result.id);
    if (probe)
        state.send_event(server_probed{.server = probe.mapped(),
                                       .reachable = result.reachable,
                                       .attempted = result.attempted});
}

/// Passes an event on to its load report or attempt; ignores events of attempts
/// that have ended.
void handle_client_event(backend_state& state, http::client_event event)
{
    if (handle_report_event(state, event))
        return;
    auto const id = std::visit([](auto const& e) { return e.id; }, event);
    if (!state.attempts.contains(id))
        return;
    std::visit([&state](auto&& e)
               { handle_event(state, std::forward<decltype(e)>(e)); },
               std::move(event));
}

void receive_one(backend_state& state, context& ctx, dispatch message)
{
    add(state.counts, counter::backend_attempts);
    if (!state.client || state.request_ids.contains(message.attempt) ||
        message.deadline <= now(ctx))
    {
        auto const kind = !state.client ? error_kind::io_failure
                          : state.request_ids.contains(message.attempt)
                              ? error_kind::already_running
                              : error_kind::deadline_exceeded;
        state.send_event(backend_failed{.attempt = message.attempt,
                                        .cause = {kind, "attempt was not sent"},
                                        .sent = false});
        return;
    }
    auto const id = ++state.last_request_id;
    state.attempts[id] = {.attempt = message.attempt,
                          .deadline = message.deadline};
    state.request_ids[message.attempt] = id;
    http::open(*state.client, {.id = id,
                               .to = std::move(message.address),
                               .method = std::move(message.method),
                               .target = std::move(message.target),
                               .headers = std::move(message.headers),
                               .body = std::move(message.body),
                               .connect_limit = state.options.connect_limit,
                               .silence_limit = message.silence_limit,
                               .credit = message.credit,
                               .may_reuse = message.may_reuse});
}

void receive_one(backend_state& state, context&, abort_attempt const& message)
{
    auto const found = state.request_ids.find(message.attempt);
    if (found == state.request_ids.end())
        return;
    auto const id = found->second;
    http::close(*state.client, id);
    remove_attempt(state, id);
}

void receive_one(backend_state& state, context&,
                 grant_backend_credit const& message)
{
    auto const found = state.request_ids.find(message.attempt);
    if (found != state.request_ids.end())
        http::grant(*state.client, found->second, message.bytes);
}

void receive_one(backend_state& state, context& ctx, watch_server message)
{
    auto& watched = state.watched_servers[message.server];
    watched.address = std::move(message.address);
    watched.interval = message.interval;
    watched.next_report_at = now(ctx);
}

void receive_one(backend_state& state, context& ctx,
                 read_load_report const& message)
{
    auto const found = state.watched_servers.find(message.server);
    if (!state.client || found == state.watched_servers.end())
        return;
    found->second.next_report_at = now(ctx);
    poll_load_reports(state, now(ctx));
}

void receive_one(backend_state& state, context&, probe_server const& message)
{
    auto const id = ++state.last_request_id;
    state.probes[id] = message.server;
    http::check(*state.client, id, message.address, message.connect_limit);
}

void receive_one(backend_state& state, context&, unwatch_server const& message)
{
    stop_watching(state, message.server);
}

void receive_one(backend_state& state, context&, status_query const& message)
{
    message.reply(fmt::format(R"({{"open_attempts":{},"watched_servers":{}}})",
                              state.attempts.size(),
                              state.watched_servers.size()));
}

/// Closes the attempts whose deadline has passed and reports their failure.
void fail_expired_attempts(backend_state& state, time_point at)
{
    std::vector<std::uint64_t> expired;
    for (auto const& [id, open] : state.attempts)
    {
        if (open.deadline <= at)
            expired.push_back(id);
    }
    for (auto const id : expired)
    {
        http::close(*state.client, id);
        fail_attempt(state, id, {error_kind::deadline_exceeded, "attempt"},
                     state.attempts.at(id).sent);
    }
}

void receive_one(backend_state& state, context& ctx, backend_tick)
{
    schedule(ctx, tick_interval, backend_tick{});
    if (state.client)
    {
        poll_load_reports(state, now(ctx));
        fail_expired_attempts(state, now(ctx));
    }
    if (++state.ticks % ticks_per_metrics_report == 0)
        send(state.metrics, counters_added{std::exchange(state.counts, {})});
}

void receive_one(backend_state&, context&, config_changed const&) {}

/// Needs no action: attempts in flight are completed while the router drains.
void receive_one(backend_state&, context&, drain_started) {}

void start(backend_state& state, context& ctx)
{
    state.owner = ctx.names->find<owner_message>(to_name(service_name::owner));
    state.send_event = state.options.on_event;
    if (!state.send_event)
    {
        state.send_event = [owner = state.owner](attempt_event event)
        {
            std::visit(
                [&owner](auto&& e)
                {
                    using event_type = std::decay_t<decltype(e)>;
                    // The owner service reads load reports instead of probing
                    // servers and does not accept `server_probed`.
                    if constexpr (!std::is_same_v<event_type, server_probed>)
                        send(owner, std::forward<decltype(e)>(e));
                },
                std::move(event));
        };
    }
    state.metrics =
        ctx.names->find<metrics_message>(to_name(service_name::metrics));
    auto client =
        http::make_client({.on_event = [&state](http::client_event event)
                           { handle_client_event(state, std::move(event)); },
                           .on_checked = [&state](http::server_checked result)
                           { handle_probe_result(state, result); },
                           .loop = state.options.loop,
                           .max_connections = state.options.max_connections});
    if (client)
        state.client = std::move(client).value();
    else
        fmt::print(stderr, "backend: cannot create the HTTP client: {}\n",
                   describe(client.error()));
    schedule(ctx, tick_interval, backend_tick{});
}

void receive(backend_state& state, context& ctx, backend_message message)
{
    std::visit([&](auto&& m)
               { receive_one(state, ctx, std::forward<decltype(m)>(m)); },
               std::move(message));
}

void wait(backend_state& state, duration limit)
{
    if (state.client)
        http::wait(*state.client, limit);
    else
        std::this_thread::sleep_for(limit);
}

void wake(backend_state& state)
{
    if (state.client)
        http::wake(*state.client);
}

} // namespace

backend_service make_backend_service(backend_options options)
{
    return {.name = std::string{to_name(service_name::backend)},
            .state = {.options = std::move(options)},
            .start = start,
            .receive = receive,
            .loop = {.wait = wait, .wake = wake}};
}

} // namespace bramleyarch::services

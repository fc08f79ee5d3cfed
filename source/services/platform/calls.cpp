#include "services/platform/calls.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>
#include <vector>

namespace bramleyarch::services
{

namespace
{

/// Number of consecutive failures after which the service counts as lost.
constexpr std::uint32_t lost_after_failures = 2;
/// Estimated size of the HTTP header of a request or response.
constexpr std::uint64_t estimated_header_bytes = 200;

void finish_call(call_table& table, std::uint64_t id,
                 result<call_reply> outcome)
{
    auto const node = table.open.extract(id);
    record_reachability(table, outcome.has_value(),
                        outcome ? "" : outcome.error().detail);
    node.mapped().done(std::move(outcome));
}

void fail_call(call_table& table, std::uint64_t id, bool sent,
               std::string detail)
{
    auto const kind =
        sent ? error_kind::platform_timeout : error_kind::platform_unavailable;
    finish_call(table, id, fail(kind, std::move(detail)));
}

void send_call(call_table& table, waiting_call call)
{
    auto request = make_request(table, std::move(call.request));
    auto const id = request.id;
    table.open.emplace(
        id, open_call{.deadline = call.deadline, .done = std::move(call.done)});
    table.transport.open(std::move(request));
}

void handle_event(call_table&, open_call& call, http::request_sent const&)
{
    call.sent = true;
}

void handle_event(call_table&, open_call& call, http::response_head const& head)
{
    call.reply.status = head.status;
}

void handle_event(call_table& table, open_call& call,
                  http::response_bytes const& bytes)
{
    count(table.telemetry_sink, counter::control_bytes_received,
          bytes.bytes.size());
    call.reply.body += bytes.bytes;
    if (call.reply.body.size() <= table.options.max_reply_bytes)
        return;
    table.transport.close(bytes.id);
    fail_call(table, bytes.id, true, "the reply exceeds the size limit");
}

void handle_event(call_table& table, open_call& call,
                  http::response_end const& end)
{
    count(table.telemetry_sink, counter::control_bytes_received,
          estimated_header_bytes);
    finish_call(table, end.id, std::move(call.reply));
}

void handle_event(call_table& table, open_call& call,
                  http::response_failed const& failed)
{
    fail_call(table, failed.id, failed.sent || call.sent, failed.cause.detail);
}

void fail_expired_waiting(call_table& table, time_point at)
{
    std::vector<call_handler> expired;
    std::erase_if(table.waiting,
                  [&](waiting_call& call)
                  {
                      if (call.deadline > at)
                          return false;
                      expired.push_back(std::move(call.done));
                      return true;
                  });
    for (auto const& done : expired)
        done(fail(
            error_kind::platform_unavailable,
            "the call reached its deadline in the queue and was not sent"));
}

void fail_expired_open(call_table& table, time_point at)
{
    std::vector<std::uint64_t> expired;
    for (auto const& [id, call] : table.open)
    {
        if (call.deadline <= at)
            expired.push_back(id);
    }
    for (auto const id : expired)
    {
        table.transport.close(id);
        fail_call(table, id, table.open.at(id).sent,
                  "no reply before the deadline");
    }
}

void send_waiting(call_table& table, time_point at)
{
    while (!table.waiting.empty() &&
           table.open.size() < table.options.max_in_flight &&
           acquire_call_token(table, at))
    {
        auto call = std::move(table.waiting.front());
        table.waiting.pop_front();
        send_call(table, std::move(call));
    }
}

} // namespace

bool acquire_call_token(call_table& table, time_point at)
{
    auto& budget = table.budget;
    auto const rate = static_cast<double>(table.options.calls_per_second);
    std::chrono::duration<double> const elapsed =
        at - budget.refilled_at.value_or(at);
    auto const earned = budget.refilled_at ? rate * elapsed.count() : rate;
    budget.tokens = std::min(rate, budget.tokens + earned);
    budget.refilled_at = at;
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

http::client_request make_request(call_table& table, etcd::etcd_request request)
{
    count(table.telemetry_sink, counter::platform_calls);
    count(table.telemetry_sink, counter::control_bytes_sent,
          request.body.size() + estimated_header_bytes);
    return {.id = ++table.last_id,
            .to = table.options.address,
            .method = "POST",
            .target = std::move(request.target),
            .headers = {{"content-type", "application/json"}},
            .body =
                std::make_shared<std::string const>(std::move(request.body))};
}

void start_call(call_table& table, etcd::etcd_request request, duration timeout,
                call_handler done, time_point at)
{
    if (table.waiting.size() >= table.options.max_waiting)
    {
        done(fail(error_kind::platform_unavailable,
                  "the queue of calls is full; the call was not sent"));
        return;
    }
    table.waiting.push_back({.request = std::move(request),
                             .deadline = at + timeout,
                             .done = std::move(done)});
    send_waiting(table, at);
}

bool handle_call_event(call_table& table, http::client_event const& event,
                       time_point at)
{
    auto const id = std::visit([](auto const& e) { return e.id; }, event);
    auto const found = table.open.find(id);
    if (found == table.open.end())
        return false;
    std::visit([&](auto const& e) { handle_event(table, found->second, e); },
               event);
    send_waiting(table, at);
    return true;
}

void tick_calls(call_table& table, time_point at)
{
    fail_expired_open(table, at);
    fail_expired_waiting(table, at);
    send_waiting(table, at);
}

void record_reachability(call_table& table, bool reachable,
                         std::string const& cause)
{
    table.failures = reachable ? 0 : table.failures + 1;
    if (!reachable)
        count(table.telemetry_sink, counter::platform_failures);
    bool const lost =
        table.lost ? !reachable : table.failures >= lost_after_failures;
    if (lost == table.lost)
        return;
    table.lost = lost;
    record(table.telemetry_sink, {.kind = lost ? event_kind::platform_lost
                                               : event_kind::platform_recovered,
                                  .cause = cause});
    fmt::print(stderr, "platform {}{}{}\n", lost ? "lost" : "recovered",
               cause.empty() ? "" : ": ", cause);
}

} // namespace bramleyarch::services

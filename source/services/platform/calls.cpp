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

/// Failures in a row after which the service counts as lost.
constexpr std::uint32_t failures_until_lost = 2;
/// Estimate of the bytes of a request's or answer's HTTP header.
constexpr std::uint64_t header_bytes = 200;

void finish(call_table& table, std::uint64_t id, result<call_reply> outcome)
{
    auto const node = table.open.extract(id);
    note_reachable(table, outcome.has_value(),
                   outcome ? "" : outcome.error().detail);
    node.mapped().done(std::move(outcome));
}

void fail_call(call_table& table, std::uint64_t id, bool sent,
               std::string detail)
{
    auto const kind =
        sent ? error_kind::platform_timeout : error_kind::platform_unavailable;
    finish(table, id, fail(kind, std::move(detail)));
}

void send_now(call_table& table, waiting_call call)
{
    auto request = make_request(table, std::move(call.request));
    auto const id = request.id;
    table.open.emplace(
        id, open_call{.deadline = call.deadline, .done = std::move(call.done)});
    table.transport.open(std::move(request));
}

void handle(call_table&, open_call& call, http::request_sent const&)
{
    call.sent = true;
}

void handle(call_table&, open_call& call, http::response_head const& head)
{
    call.reply.status = head.status;
}

void handle(call_table& table, open_call& call,
            http::response_bytes const& bytes)
{
    count(table.counts, counter::control_bytes_received, bytes.bytes.size());
    call.reply.body += bytes.bytes;
    if (call.reply.body.size() <= table.options.max_reply_bytes)
        return;
    table.transport.close(bytes.id);
    fail_call(table, bytes.id, true, "the reply is too long");
}

void handle(call_table& table, open_call& call, http::response_end const& end)
{
    count(table.counts, counter::control_bytes_received, header_bytes);
    finish(table, end.id, std::move(call.reply));
}

void handle(call_table& table, open_call& call,
            http::response_failed const& failed)
{
    fail_call(table, failed.id, failed.sent || call.sent, failed.cause.detail);
}

void expire_waiting(call_table& table, time_point at)
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
        done(fail(error_kind::platform_unavailable,
                  "the call waited too long for its turn and was not sent"));
}

void expire_open(call_table& table, time_point at)
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
        fail_call(table, id, table.open.at(id).sent, "no answer in time");
    }
}

void start_waiting(call_table& table, time_point at)
{
    while (!table.waiting.empty() &&
           table.open.size() < table.options.max_in_flight &&
           take_call(table, at))
    {
        auto call = std::move(table.waiting.front());
        table.waiting.pop_front();
        send_now(table, std::move(call));
    }
}

} // namespace

bool take_call(call_table& table, time_point at)
{
    auto& budget = table.budget;
    auto const rate = static_cast<double>(table.options.calls_per_second);
    std::chrono::duration<double> const passed =
        at - budget.filled_at.value_or(at);
    auto const earned = budget.filled_at ? rate * passed.count() : rate;
    budget.tokens = std::min(rate, budget.tokens + earned);
    budget.filled_at = at;
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

http::client_request make_request(call_table& table, etcd::etcd_request request)
{
    count(table.counts, counter::platform_calls);
    count(table.counts, counter::control_bytes_sent,
          request.body.size() + header_bytes);
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
                  "too many calls wait; this one was not sent"));
        return;
    }
    table.waiting.push_back({.request = std::move(request),
                             .deadline = at + timeout,
                             .done = std::move(done)});
    start_waiting(table, at);
}

bool handle_call_event(call_table& table, http::client_event const& event,
                       time_point at)
{
    auto const id = std::visit([](auto const& e) { return e.id; }, event);
    auto const found = table.open.find(id);
    if (found == table.open.end())
        return false;
    std::visit([&](auto const& e) { handle(table, found->second, e); }, event);
    start_waiting(table, at);
    return true;
}

void tick_calls(call_table& table, time_point at)
{
    expire_open(table, at);
    expire_waiting(table, at);
    start_waiting(table, at);
}

void note_reachable(call_table& table, bool reachable, std::string const& cause)
{
    table.failures = reachable ? 0 : table.failures + 1;
    if (!reachable)
        count(table.counts, counter::platform_failures);
    bool const lost =
        table.lost ? !reachable : table.failures >= failures_until_lost;
    if (lost == table.lost)
        return;
    table.lost = lost;
    record(table.counts, {.kind = lost ? event_kind::platform_lost
                                       : event_kind::platform_recovered,
                          .cause = cause});
    fmt::print(stderr, "platform {}{}{}\n", lost ? "lost" : "recovered",
               cause.empty() ? "" : ": ", cause);
}

} // namespace bramleyarch::services

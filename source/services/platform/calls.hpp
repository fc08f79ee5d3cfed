/// Calls to the platform's key-value service. Every call has a deadline and
/// ends with one outcome. The number in flight and the rate are limited.
#pragma once

#include "common/error.hpp"
#include "common/time.hpp"
#include "etcd/etcd_requests.hpp"
#include "http/client.hpp"
#include "services/telemetry/telemetry.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace bramleyarch::services
{

/// Functions of the HTTP client that the platform service uses.
struct platform_transport
{
    std::function<void(http::client_request)> open;
    std::function<void(std::uint64_t id)> close;
};

struct call_options
{
    endpoint address;
    std::uint32_t calls_per_second = 50;
    std::uint32_t max_in_flight = 32;
    std::size_t max_waiting = 1024;
    std::size_t max_reply_bytes = 4U << 20;
};

/// A complete reply.
struct call_reply
{
    int status = 0;
    std::string body;
};

/// Receives the outcome of a call. The error is `platform_unavailable` if no
/// byte of the request can have been sent, and `platform_timeout` if the call
/// may have taken effect.
using call_handler = std::function<void(result<call_reply>)>;

struct waiting_call
{
    etcd::etcd_request request;
    time_point deadline{};
    call_handler done;
};

struct open_call
{
    time_point deadline{};
    call_handler done;
    bool sent = false;
    call_reply reply;
};

/// Token bucket that limits the rate of calls. One token is one call.
struct call_budget
{
    double tokens = 0;
    std::optional<time_point> refilled_at;
};

struct call_table
{
    call_options options;
    platform_transport transport;
    telemetry telemetry_sink;
    call_budget budget;
    std::deque<waiting_call> waiting;
    std::map<std::uint64_t, open_call> open;
    /// Id of the last HTTP request, whether a call or a watch.
    std::uint64_t last_id = 0;
    /// Number of consecutive failures.
    std::uint32_t failures = 0;
    bool lost = false;
};

/// Consumes a token of the call budget. Returns false if there is none.
bool acquire_call_token(call_table& table, time_point at);

/// Sends a call, or queues it while a limit is reached. If the queue is full,
/// `done` receives `platform_unavailable` at once.
void start_call(call_table& table, etcd::etcd_request request, duration timeout,
                call_handler done, time_point at);

/// Handles an HTTP event of an open call. Returns false if the event's id
/// belongs to no open call.
bool handle_call_event(call_table& table, http::client_event const& event,
                       time_point at);

/// Fails calls that are past their deadline and sends queued calls as far as
/// the limits allow.
void tick_calls(call_table& table, time_point at);

/// Records whether the service answered. When it becomes lost or recovers, an
/// event and a log line are written.
void record_reachability(call_table& table, bool reachable,
                         std::string const& cause);

/// Makes an HTTP request to the service with a new id, and counts it.
http::client_request make_request(call_table& table,
                                  etcd::etcd_request request);

} // namespace bramleyarch::services

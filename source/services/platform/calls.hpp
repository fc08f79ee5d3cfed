/// Calls to the platform's service: each has a time limit and an outcome, a
/// bounded number is in flight, and their rate is bounded.
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

/// What the service needs of an HTTP client.
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

/// Gets the reply, or `platform_unavailable` when no byte can have left, or
/// `platform_timeout` when the call may have taken effect.
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

/// Calls that may still be made now.
struct call_budget
{
    double tokens = 0;
    std::optional<time_point> filled_at;
};

struct call_table
{
    call_options options;
    platform_transport transport;
    telemetry counts;
    call_budget budget;
    std::deque<waiting_call> waiting;
    std::map<std::uint64_t, open_call> open;
    std::uint64_t last_id = 0;  ///< Of HTTP requests, watches included.
    std::uint32_t failures = 0; ///< In a row.
    bool lost = false;
};

/// Takes one call from the budget; false when there is none left.
bool take_call(call_table& table, time_point at);

/// Makes a call, or lets it wait for its turn.
void start_call(call_table& table, etcd::etcd_request request, duration timeout,
                call_handler done, time_point at);

/// Handles an event of a call; false when its id belongs to no call.
bool handle_call_event(call_table& table, http::client_event const& event,
                       time_point at);

/// Ends calls whose time has passed and starts those whose turn has come.
void tick_calls(call_table& table, time_point at);

/// Notes that the service did or did not answer; reports changes.
void note_reachable(call_table& table, bool reachable,
                    std::string const& cause);

/// Fields that all requests to the service share.
http::client_request make_request(call_table& table,
                                  etcd::etcd_request request);

} // namespace bramleyarch::services

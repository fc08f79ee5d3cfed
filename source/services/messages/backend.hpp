/// Messages of the backend service, the HTTP client for backend servers. It
/// sends `attempt_event`s to the service that dispatched the attempt, and load
/// reports to the owner service.
#pragma once

#include "common/request.hpp"
#include "services/messages/shared.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace bramleyarch::services
{

/// Sends one attempt to a backend server. The backend service never sends an
/// attempt a second time.
struct dispatch
{
    attempt_id attempt;
    server_id server;
    endpoint address;
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::shared_ptr<std::string const> body;
    /// Answer bytes that may be read before the first `grant_backend_credit`.
    std::uint32_t credit = 0;
    duration silence_limit{}; ///< Longest time between bytes.
    time_point deadline{};
    /// Whether an idle connection may be reused. The server may close such a
    /// connection while the request is being sent.
    bool may_reuse = false;
};

/// Closes the connection or stream of an attempt, so that the server stops
/// working on it.
struct abort_attempt
{
    attempt_id attempt;
};

/// Allows `bytes` more bytes of an attempt's answer to be read.
struct grant_backend_credit
{
    attempt_id attempt;
    std::uint32_t bytes = 0;
};

/// Starts to read the load report of `server` every `interval`, until
/// `unwatch_server`.
struct watch_server
{
    server_id server;
    endpoint address;
    duration interval{};
};

/// Stops reading the load reports of a watched server.
struct unwatch_server
{
    server_id server;
};

/// Reads the next load report of a watched server at once.
struct read_load_report
{
    server_id server;
};

/// Checks whether `server` accepts connections. The reply is `server_probed`.
struct probe_server
{
    server_id server;
    endpoint address;
    duration connect_limit{};
};

/// Delivered by the backend service's own timers.
struct backend_tick
{
};

using backend_message =
    std::variant<dispatch, abort_attempt, grant_backend_credit, watch_server,
                 unwatch_server, probe_server, read_load_report, config_changed,
                 drain_started, status_query, backend_tick>;

} // namespace bramleyarch::services

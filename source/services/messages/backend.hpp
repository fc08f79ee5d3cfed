/// Messages of the backend service, the HTTP client to backend servers. Its
/// events go to the owner service.
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

/// Sends one attempt. It is never resent by the client.
struct dispatch
{
    attempt_id attempt;
    server_id server;
    endpoint address;
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::shared_ptr<std::string const> body;
    std::uint32_t credit = 0; ///< Answer bytes to read before a grant.
    duration silence_limit{}; ///< Longest gap between bytes.
    time_point deadline{};
    /// May go on a kept connection, which the server can close meanwhile.
    bool may_reuse = false;
};

/// Closes the attempt's stream so that the server stops working on it.
struct abort_attempt
{
    attempt_id attempt;
};

/// Allows `bytes` more of the answer to be read.
struct grant_backend_credit
{
    attempt_id attempt;
    std::uint32_t bytes = 0;
};

/// Reads the load report of `server` every `interval` until unwatched.
struct watch_server
{
    server_id server;
    endpoint address;
    duration interval{};
};

struct unwatch_server
{
    server_id server;
};

/// Reads the next load report of a watched server now.
struct read_load_report
{
    server_id server;
};

/// Finds out whether `server` can be connected to; replied to with
/// `server_probed`.
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

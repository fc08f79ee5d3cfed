/// The backend service: sends attempts to backend servers and reads their
/// load reports. Each attempt is sent once.
#pragma once

#include "common/counters.hpp"
#include "http/client.hpp"
#include "kernel/service.hpp"
#include "services/messages/backend.hpp"
#include "services/messages/owner.hpp"
#include "services/messages/timeline.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace bramleyarch::services
{

struct backend_options
{
    net::loop_ptr loop; ///< Null: a loop of its own.
    std::size_t max_connections = 4096;
    duration connect_limit = std::chrono::seconds{2};
    /// From the start of a load report's request to its end.
    duration report_limit = std::chrono::seconds{1};
    /// Gets the events of attempts; empty: they go to the owner service.
    std::function<void(attempt_event)> on_event;
};

/// An attempt that was given to the HTTP client.
struct open_attempt
{
    attempt_id attempt;
    time_point deadline{};
    bool sent = false;
};

/// A server whose load report is read.
struct watched_server
{
    endpoint address;
    duration interval{};
    time_point next{};
    std::uint64_t open_id = 0; ///< Client's id of the report; 0: none.
    time_point opened{};
    int status = 0;
    std::string body;
};

struct backend_state
{
    backend_options options;
    http::client_ptr client;
    std::function<void(attempt_event)> report;
    kernel::address<owner_message> owner;
    kernel::address<metrics_message> metrics;
    std::uint64_t last_id = 0;
    std::unordered_map<std::uint64_t, open_attempt> attempts; ///< By id.
    std::unordered_map<attempt_id, std::uint64_t> ids;
    std::map<server_id, watched_server> watched;
    std::unordered_map<std::uint64_t, server_id> reports; ///< By id.
    std::unordered_map<std::uint64_t, server_id> probes;  ///< By id.
    counter_set counts;
    int ticks = 0;
};

using backend_service = kernel::service<backend_state, backend_message>;

backend_service make_backend_service(backend_options options);

} // namespace bramleyarch::services

/// The backend service: sends attempts to backend servers, reads the servers'
/// load reports and probes servers. It never sends an attempt a second time.
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
    net::loop_ptr loop; ///< If null, the service creates a loop of its own.
    std::size_t max_connections = 4096;
    /// Longest time that establishing the connection of an attempt may take.
    duration connect_limit = std::chrono::seconds{2};
    /// Longest time from requesting a load report to its last byte.
    duration report_timeout = std::chrono::seconds{1};
    /// Receives the events of attempts and the results of probes. If empty, the
    /// events of attempts go to the owner service and the results of probes are
    /// discarded.
    std::function<void(attempt_event)> on_event;
};

/// An attempt that the HTTP client is working on.
struct open_attempt
{
    attempt_id attempt;
    time_point deadline{};
    /// True once bytes of the request may have been sent.
    bool sent = false;
};

/// A server whose load report is read at intervals.
struct watched_server
{
    endpoint address;
    duration interval{};
    time_point next_report_at{}; ///< When the next report is due.
    /// Id of the request for a load report; 0 if there is none in flight.
    std::uint64_t request_id = 0;
    time_point requested_at{}; ///< When the last request was sent.
    int status = 0;            ///< Status of the last response.
    std::string body;          ///< Body of the last response received so far.
};

struct backend_state
{
    backend_options options;
    http::client_ptr client; ///< Null if it could not be created.
    std::function<void(attempt_event)> send_event;
    kernel::address<owner_message> owner;
    kernel::address<metrics_message> metrics;
    /// Last id given to a request or probe of the HTTP client.
    std::uint64_t last_request_id = 0;
    /// Open attempts by the id of their request.
    std::unordered_map<std::uint64_t, open_attempt> attempts;
    /// Ids of the requests of open attempts.
    std::unordered_map<attempt_id, std::uint64_t> request_ids;
    std::map<server_id, watched_server> watched_servers;
    /// Servers whose load report is being read, by the id of the request.
    std::unordered_map<std::uint64_t, server_id> report_requests;
    /// Servers that are being probed, by the id of the probe.
    std::unordered_map<std::uint64_t, server_id> probes;
    counter_set counts; ///< Not yet sent to the metrics service.
    int ticks = 0;
};

using backend_service = kernel::service<backend_state, backend_message>;

backend_service make_backend_service(backend_options options);

} // namespace bramleyarch::services

/// The fleet link: typed messages between routers over TCP.
///
/// A router opens one connection to each router that it sends requests to,
/// when it sends the first one. Requests and their replies use that connection;
/// requests in the other direction use a connection that the other router
/// opens. A lost connection therefore affects a known set of requests: those
/// sent on it.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"
#include "kernel/service.hpp"
#include "services/messages/link.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace bramleyarch::services
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct link_options
{
    router_id self;
    incarnation started = 0;
    endpoint listen; ///< Port 0 selects any free port.
    /// Set to the port once the service listens; stays 0 if that fails.
    std::shared_ptr<std::atomic<std::uint16_t>> bound_port =
        std::make_shared<std::atomic<std::uint16_t>>(0);
    /// Limit for opening a connection, including the exchange of hellos.
    duration connect_limit = seconds{1};
    /// Interval between heartbeats while requests are in flight.
    duration heartbeat_interval = milliseconds{250};
    /// Interval between heartbeats while no request is in flight.
    duration idle_heartbeat_interval = seconds{20};
    /// A connection that receives nothing for this long while requests are in
    /// flight is closed.
    duration silence_limit = seconds{1};
    /// A connection that receives nothing for this long while no request is in
    /// flight is closed.
    duration idle_silence_limit = seconds{30};
    /// Limit for the reply to a heartbeat that is sent because another link
    /// reached its silence limit. One fault often silences several links, and a
    /// request lost on one of them must not be lost on each of the others in
    /// turn when it is retried.
    duration suspect_limit = milliseconds{500};
    /// A connection without requests in flight that carries no message but
    /// heartbeats for this long is closed by the router that opened it.
    duration idle_limit = seconds{60};
    /// Delay after the first failure to connect to a router. It doubles with
    /// each further failure.
    duration initial_backoff = milliseconds{100};
    /// Longest delay after a failure to connect.
    duration max_backoff = seconds{2};
    /// Bytes that may be queued for a peer. The connection is closed if there
    /// are more.
    std::size_t max_queued_bytes = 16U << 20;
    /// Limit of accepted connections; further ones are closed at once.
    std::size_t max_connections = 1024;
};

struct link_core;

struct link_core_deleter
{
    void operator()(link_core* core) const;
};

struct link_state
{
    link_options options;
    std::unique_ptr<link_core, link_core_deleter> core;
};

/// Creates the service named "link".
kernel::service<link_state, link_message> make_link_service(link_options);

} // namespace bramleyarch::services

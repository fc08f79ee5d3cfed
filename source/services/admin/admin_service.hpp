/// The operators' HTTP server: health, readiness, metrics, time line, status
/// and drain. It asks the other services and never waits for one of them.
#pragma once

#include "http/server.hpp"
#include "kernel/service.hpp"
#include "services/messages/front.hpp"
#include "services/messages/timeline.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bramleyarch::services
{

struct admin_options
{
    net::loop_ptr loop; ///< Null: a loop of its own.
    endpoint listen;    ///< Port 0: any free port.
    router_id router;
    std::size_t max_connections = 64;
    /// For the other services to answer.
    duration reply_limit = std::chrono::seconds{1};
    /// Starts the drain of the process; called on the admin task.
    std::function<void()> start_drain;
    /// Gets the bound port; may be null.
    std::shared_ptr<std::atomic<std::uint16_t>> bound_port;
};

/// A request that waits for answers of other services.
struct pending_page
{
    time_point due{};
    std::vector<service_name> asked;
    std::map<service_name, std::string> parts; ///< Status page only.
};

struct admin_state
{
    admin_options options;
    http::server_ptr server;
    kernel::registry const* names = nullptr;
    kernel::address<admin_message> self;
    runtime_clock const* clock = nullptr;
    std::map<http::exchange_id, pending_page> pages;
    revision config = 0; ///< 0: none yet.
    /// Of this router in its own view; nothing before the first view.
    std::optional<member_state> standing;
    /// Rules and servers are known; for routers that admit requests themselves.
    bool serves_deployment = false;
    bool draining = false;
};

using admin_service = kernel::service<admin_state, admin_message>;

admin_service make_admin_service(admin_options options);

} // namespace bramleyarch::services

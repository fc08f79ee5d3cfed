/// Puts the services of a router together.
#pragma once

#include "common/ids.hpp"
#include "config/settings.hpp"
#include "kernel/kernel.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace bramleyarch::router
{

using shared_port = std::shared_ptr<std::atomic<std::uint16_t>>;

/// Ports that the services listen on; 0 until they do.
struct bound_ports
{
    shared_port callers = std::make_shared<std::atomic<std::uint16_t>>(0);
    shared_port admin = std::make_shared<std::atomic<std::uint16_t>>(0);
    shared_port link = std::make_shared<std::atomic<std::uint16_t>>(0);
    shared_port heartbeat = std::make_shared<std::atomic<std::uint16_t>>(0);
};

struct assembly_options
{
    config::settings settings;
    incarnation started = 0;
    bound_ports ports;
    std::function<void()> request_drain; ///< Called from any thread.
};

/// Adds all services in the order of their start.
void add_services(kernel::kernel& k, assembly_options const& options);

/// Start number of this process: later starts of `id` get higher ones.
incarnation make_incarnation(router_id const& id, wall_time at);

} // namespace bramleyarch::router

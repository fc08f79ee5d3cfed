/// Puts the services of a router together that admits its own requests: all
/// tasks on one loop, rules and servers from the store of a platform.
#pragma once

#include "config/settings.hpp"
#include "kernel/kernel.hpp"
#include "net/loop.hpp"
#include "services/entry/backend_dialect.hpp"
#include "services/front/front_service.hpp"
#include "services/store/store_codec.hpp"

#include <functional>
#include <memory>
#include <string>

namespace bramleyarch::router
{

/// What differs from platform to platform.
struct platform_adapter
{
    services::front_dialect front;
    services::backend_dialect backend;
    services::store_codec store;
};

struct store_assembly_options
{
    config::settings settings;
    std::string settings_file;
    incarnation started = 0;
    net::loop_ptr loop;
    platform_adapter adapter;
    /// Set when the process is to end.
    std::shared_ptr<bool> ended = std::make_shared<bool>(false);
    std::shared_ptr<std::atomic<std::uint16_t>> callers_port =
        std::make_shared<std::atomic<std::uint16_t>>(0);
    std::shared_ptr<std::atomic<std::uint16_t>> admin_port =
        std::make_shared<std::atomic<std::uint16_t>>(0);
};

/// Adds all services in the order of their start.
void add_store_services(kernel::kernel& k,
                        store_assembly_options const& options);

} // namespace bramleyarch::router

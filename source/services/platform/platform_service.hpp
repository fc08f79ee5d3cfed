/// Service "platform": client of the platform's key-value service.
#pragma once

#include "http/client.hpp"
#include "kernel/service.hpp"
#include "services/messages/platform.hpp"
#include "services/platform/calls.hpp"
#include "services/platform/instances.hpp"
#include "services/platform/watches.hpp"

#include <functional>

namespace bramleyarch::services
{

/// Makes the transport for requests. Tests supply a fake one.
using transport_factory = std::function<result<platform_transport>(
    std::function<void(http::client_event)> on_event)>;

struct platform_options
{
    call_options calls;
    watch_options watches;
    instance_options instances;
    duration tick = std::chrono::milliseconds{50};
    /// If empty, an HTTP client of `http::make_client` is used.
    transport_factory make_transport;
};

struct platform_state
{
    platform_options options;
    /// Null if the options supply the transport.
    http::client_ptr client;
    call_table calls;
    watch_table watches;
    instance_state instances;
    time_point counters_flushed_at{};
};

/// Makes the service "platform" for the etcd v3 JSON protocol.
kernel::service<platform_state, platform_message>
make_platform_service(platform_options options);

} // namespace bramleyarch::services

/// Service that exchanges heartbeats with other routers over UDP.
///
/// The service encodes and sends datagrams and publishes changes. The state
/// machine in `protocol.hpp` decides what is sent and what has changed.
#pragma once

#include "common/member.hpp"
#include "common/time.hpp"
#include "kernel/service.hpp"
#include "services/members/protocol.hpp"
#include "services/messages/members.hpp"

#include <atomic>
#include <cstdint>
#include <memory>

namespace bramleyarch::services
{

struct members_options
{
    /// This router. When the service starts, a port of 0 is replaced by the
    /// bound port, and an empty address by the address of `listen`.
    member self;
    endpoint listen; ///< UDP endpoint. Port 0 selects any free port.
    /// Set to the port when the socket is bound. It stays 0 if binding fails.
    std::shared_ptr<std::atomic<std::uint16_t>> bound_port =
        std::make_shared<std::atomic<std::uint16_t>>(0);
    /// Bound port of the link service, which must start before this service.
    std::shared_ptr<std::atomic<std::uint16_t>> link_port;
    /// Bound port of the admin service, which must start before this service;
    /// may be null.
    std::shared_ptr<std::atomic<std::uint16_t>> admin_port;
    protocol_options protocol;
};

struct members_core;

struct members_core_deleter
{
    void operator()(members_core* core) const;
};

struct members_state
{
    members_options options;
    std::unique_ptr<members_core, members_core_deleter> core;
};

/// Creates the service "members".
kernel::service<members_state, members_message>
    make_members_service(members_options);

} // namespace bramleyarch::services

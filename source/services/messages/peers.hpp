/// Messages of the peers service.
#pragma once

#include "services/messages/routing.hpp"
#include "services/messages/store.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace bramleyarch::services
{

/// Loads that the own routing service counts.
struct own_report
{
    std::vector<decisions::server_count> own;
    /// Those of the whole domain, the own ones included.
    std::vector<decisions::server_count> domain;
};

/// A server died with this request in flight.
struct own_suspect
{
    std::uint64_t fingerprint = 0;
    std::uint64_t server_hash = 0;
};

/// Delivered by the peers service's own timers.
struct peers_tick
{
};

using peers_message =
    std::variant<routers_listed, changes_known, own_report, own_suspect,
                 drain_started, status_query, peers_tick>;

} // namespace bramleyarch::services

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
struct local_load_report
{
    std::vector<decisions::server_request_count> local;
    /// Those of the whole domain, the own ones included.
    std::vector<decisions::server_request_count> domain;
};

/// A server died with this request in flight.
struct gossip_suspect
{
    std::uint64_t fingerprint = 0;
    std::uint64_t server_hash = 0;
};

/// Delivered by the peers service's own timers.
struct peers_tick
{
};

using peers_message =
    std::variant<routers_listed, known_revisions, local_load_report,
                 gossip_suspect, drain_started, status_query, peers_tick>;

} // namespace bramleyarch::services

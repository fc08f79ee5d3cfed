/// What routers that admit their own requests tell each other.
#pragma once

#include "common/ids.hpp"

#include <cstdint>
#include <vector>

namespace bramleyarch::decisions
{

/// Requests of one router at one backend server.
struct server_request_count
{
    std::uint64_t server = 0; ///< `name_hash` of the server's id.
    std::uint32_t in_flight = 0;
};

/// A request body that was in flight when a server died.
struct suspect_body
{
    std::uint64_t fingerprint = 0;
    std::uint64_t server = 0; ///< `name_hash` of the server's id.
};

struct peer_heartbeat
{
    router_id from;
    domain_id domain; ///< Of the sender.
    incarnation started = 0;
    std::uint64_t sequence = 0; ///< Rises within one start.
    /// Revisions of the newest changes known of the store's rules and servers.
    revision rules_revision = 0;
    revision servers_revision = 0;
    /// The sender's own, or, sent to another domain, those of its whole domain.
    std::vector<server_request_count> loads;
    std::vector<suspect_body> suspects;
};

} // namespace bramleyarch::decisions

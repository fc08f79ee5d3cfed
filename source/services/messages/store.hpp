/// Messages of the store service.
#pragma once

#include "common/error.hpp"
#include "decisions/discovery.hpp"
#include "services/messages/shared.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace bramleyarch::services
{

/// Routers that the store lists, this one left out.
struct routers_listed
{
    std::vector<decisions::listed_router> routers;
};

/// Revisions of the newest changes that a router knows of the store's rules and
/// servers; 0: none.
struct known_revisions
{
    revision rules = 0;
    revision servers = 0;

    bool operator==(known_revisions const&) const = default;
};

/// Another router knows these changes.
struct peer_revisions_received
{
    known_revisions revisions;
};

/// Delivered by the store service's own timers.
struct store_tick
{
};

using store_message = std::variant<store_tick, peer_revisions_received,
                                   drain_started, status_query>;

} // namespace bramleyarch::services

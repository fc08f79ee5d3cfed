/// Messages of the store service.
#pragma once

#include "common/error.hpp"
#include "decisions/discovery.hpp"
#include "services/messages/shared.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bramleyarch::services
{

/// The routers that the store lists, without this one.
struct routers_listed
{
    std::vector<decisions::listed_router> routers;
};

/// Revisions of the newest changes to the store's rules and servers that a
/// router knows; 0 means that it knows no change. Revisions of different eras
/// of the store can't be compared.
struct known_revisions
{
    std::uint64_t era = 0; ///< 0: the store has stated none.
    revision rules = 0;
    revision servers = 0;

    bool operator==(known_revisions const&) const = default;
};

/// Other routers know changes up to these revisions.
struct peer_revisions_received
{
    known_revisions revisions;
};

/// The routing service decided on a rollout. The store service writes the state
/// under the condition that the stored status is the one it knows, until it is
/// known what is stored.
struct rollout_decision
{
    service_id service;
    revision order = 0; ///< Revision of the order that was decided on.
    std::string to_version;
    config::rollout_state state = config::rollout_state::running;
};

/// Delivered by the store service's own timers.
struct store_tick
{
};

using store_message =
    std::variant<store_tick, peer_revisions_received, drain_started,
                 status_query, rollout_decision>;

} // namespace bramleyarch::services

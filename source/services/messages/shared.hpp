/// Messages that several services receive.
#pragma once

#include "common/ids.hpp"
#include "common/member.hpp"
#include "common/time.hpp"
#include "config/deployment.hpp"
#include "config/model.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bramleyarch::services
{

/// An immutable configuration, shared by the tasks of a process.
using config_snapshot = std::shared_ptr<config::document const>;

/// A configuration with a higher version is in force from now on.
struct config_changed
{
    config_snapshot config;
};

/// Rules or servers of a deployment whose routers admit requests themselves
/// changed.
struct deployment_changed
{
    std::shared_ptr<config::deployment const> deployment;
};

using bramleyarch::member;
using bramleyarch::member_state;
using bramleyarch::member_view;
using bramleyarch::server_load;
using bramleyarch::team_demand;

/// The list of routers or the state of one of them changed.
struct members_changed
{
    std::shared_ptr<member_view const> view;
};

/// Loads learned from another router, or counted by the own owner service.
struct loads_changed
{
    router_id owner;
    std::vector<server_load> loads;
    duration age{}; ///< Since the owner counted.
};

/// Demand learned from another router.
struct demand_changed
{
    router_id router;
    std::vector<team_demand> demand;
};

/// A body that is suspected of, or was found to be, killing its servers.
struct quarantine_update
{
    std::uint64_t body_fingerprint = 0;
    server_id server;         ///< Server that died with it in flight.
    bool quarantined = false; ///< False: suspect only.
    std::uint32_t ttl_ms = 0;
};

/// The link to a router closed; what was in flight on it is lost.
struct link_lost
{
    router_id router;
    /// Attempts that were in flight on the link; empty: all of that router.
    std::optional<std::vector<attempt_id>> attempts{};
};

/// The process is to stop: take no new work, finish what is in flight.
struct drain_started
{
};

/// Asks for text of the service's state for the status page (JSON).
struct status_query
{
    std::function<void(std::string)> reply;
};

/// Asks whether nothing is in flight in the service, as a planned stop needs.
struct idle_query
{
    std::function<void(bool idle)> reply;
};

} // namespace bramleyarch::services

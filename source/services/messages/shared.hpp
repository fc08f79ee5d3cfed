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

/// A configuration with a higher version is now in force.
struct config_changed
{
    config_snapshot config;
};

/// The rules or the servers of a deployment changed. Only in fleets whose
/// routers admit requests themselves.
struct deployment_changed
{
    std::shared_ptr<config::deployment const> deployment;
};

using bramleyarch::member;
using bramleyarch::member_state;
using bramleyarch::member_view;
using bramleyarch::server_load;
using bramleyarch::team_demand;

/// The list of routers, or the state of one of them, changed.
struct members_changed
{
    std::shared_ptr<member_view const> view;
};

/// Loads of backend servers, as counted by their owner: the local owner
/// service or another router.
struct loads_changed
{
    router_id owner;
    std::vector<server_load> loads;
    duration age{}; ///< Time since the owner counted.
};

/// Demand per team, as measured by another router.
struct demand_changed
{
    router_id router;
    std::vector<team_demand> demand;
};

/// A request body is suspected of crashing backend servers, or was found to
/// crash them and is quarantined.
struct quarantine_update
{
    std::uint64_t body_fingerprint = 0;
    server_id server;         ///< Server that died with the body in flight.
    bool quarantined = false; ///< False while the body is only suspected.
    std::uint32_t ttl_ms = 0;
};

/// The link to a router closed, and the attempts in flight on it are lost.
struct link_lost
{
    router_id router;
    /// Attempts in flight on the link; std::nullopt for all of that router.
    std::optional<std::vector<attempt_id>> attempts{};
};

/// The process is about to stop: the service accepts no new work and finishes
/// what is in flight.
struct drain_started
{
    /// Time by which a planned stop ends; std::nullopt if it has no limit.
    /// Until then, a service that knows how long its work takes may accept what
    /// will end in time.
    std::optional<time_point> end_by{};
};

/// Requests the state of a service as JSON text, for the status page.
struct status_query
{
    std::function<void(std::string)> reply;
};

/// Requests whether a service has nothing in flight, as a planned stop
/// requires.
struct idle_query
{
    std::function<void(bool idle)> reply;
};

} // namespace bramleyarch::services

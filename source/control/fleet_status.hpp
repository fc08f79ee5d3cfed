/// One screen about the whole fleet, from the status pages of its routers.
#pragma once

#include "common/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::control
{

/// A backend server as its owner counts it.
struct owned_server_status
{
    server_id server;
    service_id service;
    domain_id domain;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0;
    std::uint32_t capacity = 1;
    bool cold = false;
    std::string breaker;
};

/// A router as another one sees it.
struct member_status
{
    router_id id;
    domain_id domain;
    std::string state;
    revision config = 0;
};

/// Requests that one version of a service got in a rollout, as a router states
/// them.
struct version_figures
{
    std::uint64_t sent = 0;
    std::uint64_t failed = 0;
    std::uint64_t slow = 0;
};

/// A rollout as a router sees it.
struct rollout_view
{
    service_id service;
    revision order = 0;
    std::string to_version;
    std::string state;
    revision stored = 0;  ///< Revision of the stored status; 0: none is known.
    std::string decided;  ///< State that the router wants to store, or empty.
    bool in_force = true; ///< False if the rules do not name the service.
    /// Present if the router routes requests by this order.
    std::optional<double> share; ///< Of the new version, 0 to 1.
    std::optional<version_figures> old_version;
    std::optional<version_figures> new_version;
};

/// What one router answered.
struct router_status
{
    endpoint admin;
    router_id id;
    revision config = 0;
    bool draining = false;
    bool watcher = false;
    std::uint64_t quarantined = 0;
    std::optional<double> control_bytes_per_second;
    std::vector<member_status> members;
    std::vector<owned_server_status> servers;
    std::vector<rollout_view> rollouts;
};

/// A router that gave no status, and why.
struct silent_router
{
    endpoint admin;
    std::string cause;
};

struct fleet_status
{
    std::vector<router_status> routers;
    std::vector<silent_router> silent;
};

/// Reads a status page; nothing for a text that is none.
std::optional<router_status> read_status(endpoint const& admin,
                                         std::string_view json);

/// Bytes of control traffic that a metrics page states, both directions.
std::optional<double> read_control_bytes(std::string_view metrics);

/// The screen: routers, members, owners with load over the mean of their
/// service, rollouts, and what did not answer.
std::string to_screen(fleet_status const& fleet);

} // namespace bramleyarch::control

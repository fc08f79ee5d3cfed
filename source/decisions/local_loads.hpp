/// Loads that this router may advertise as its own.
///
/// Only the owner of a server counts its load, and only while it owns it. A
/// load that was counted during an earlier ownership is outdated, but would
/// look fresh to other routers, since the router that sends it is alive. It is
/// therefore discarded when ownership ends.
#pragma once

#include "common/ids.hpp"
#include "common/member.hpp"
#include "common/time.hpp"
#include "decisions/heartbeat.hpp"
#include "decisions/ownership.hpp"

#include <map>
#include <vector>

namespace bramleyarch::decisions
{

struct counted_load
{
    server_load load;
    time_point counted_at{};
};

struct local_loads
{
    /// Servers that this router owns, and since when.
    std::map<server_id, time_point> owned_since;
    /// Newest counted load of each owned server.
    std::map<server_id, counted_load> counted;
};

/// Updates the owned servers to those that `assigned` assigns to `self`, and
/// discards the loads of servers that are no longer owned.
void apply_ownership(local_loads& loads, ownership const& assigned,
                     router_id const& self, time_point now);

/// Stores a load that was counted at `at`. Ignores it if the server is not
/// owned, or was not owned yet at that time.
void record_local_load(local_loads& loads, server_load const& load,
                       time_point at);

/// Returns the loads to send to other routers, in the order of the server ids.
std::vector<compact_load> loads_to_advertise(local_loads const& loads);

} // namespace bramleyarch::decisions

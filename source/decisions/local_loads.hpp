/// Which loads a router may tell others as its own.
///
/// Only an owner counts a server's load, and only for as long as it owns it.
/// A load counted in an earlier role says nothing about the server now, but
/// would look fresh, since the router itself is alive and sends it. So it is
/// forgotten with the role.
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
    std::map<server_id, time_point> owned_since;
    std::map<server_id, counted_load> counted;
};

/// Takes over and gives up servers as `assigned` says.
void apply_ownership(local_loads& own, ownership const& assigned,
                     router_id const& self, time_point now);

/// Takes in a load counted at `at`; it is dropped unless the server has been
/// owned since before.
void record_local_load(local_loads& own, server_load const& load,
                       time_point at);

/// Loads to spread, in the order of their servers.
std::vector<compact_load> loads_to_advertise(local_loads const& own);

} // namespace bramleyarch::decisions

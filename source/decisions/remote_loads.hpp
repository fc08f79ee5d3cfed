/// What a router knows of the other routers' requests at the backend servers.
///
/// Peers of the own domain tell their own requests; peers elsewhere tell the
/// sum of their domain, as far as they know it. So a beat between domains says
/// as much as a whole domain's beats, and few of them suffice.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"
#include "decisions/peer_heartbeat.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace bramleyarch::decisions
{

struct remote_loads_options
{
    /// What was told counts for this long: some beats may be lost.
    duration limit = std::chrono::milliseconds{1500};
};

/// Loads as they were told.
struct told_loads
{
    time_point at{};
    std::vector<server_request_count> loads;
};

/// Requests of the other routers at one server.
struct remote_load
{
    std::uint32_t own_domain = 0;
    std::uint32_t other_domains = 0;
};

struct remote_loads
{
    remote_loads_options options;
    std::map<router_id, told_loads> peers;   ///< Of the own domain.
    std::map<domain_id, told_loads> domains; ///< All others, in sum.
    /// By the hash of the server's id; kept with each change.
    std::unordered_map<std::uint64_t, remote_load> sums;
};

/// Takes in what a beat says, in a router of `own_domain`.
void apply_heartbeat(remote_loads& s, domain_id const& own_domain,
                     peer_heartbeat const& beat, time_point at);

/// Drops what counts no more.
void remove_expired_loads(remote_loads& s, time_point at);

/// Requests of the other routers at a server, by the hash of its id.
remote_load remote_load_at(remote_loads const& s, std::uint64_t server);

/// The peers that beats go to, in turn.
struct heartbeat_rotation
{
    std::vector<router_id> own_domain;
    std::vector<router_id> other_domains;
    std::size_t next_own = 0;
    std::size_t next_elsewhere = 0;
};

struct heartbeat_rotation_options
{
    /// Peers told by one round, four of which go out in a second: 27 routers
    /// of a domain hear each other within 0.6 s.
    std::size_t own_domain = 12;
    /// A router of five domains hears of each other one in every round on
    /// average, six times within the time for which a sum counts.
    std::size_t other_domains = 4;
};

/// The peers of one round.
struct heartbeat_targets
{
    std::vector<router_id> own_domain;
    std::vector<router_id> other_domains;
};

/// Starts the turns at a place that `draw` gives, a random number of the
/// router: in step, all routers would tell the same few peers at a time.
void stagger(heartbeat_rotation& order, std::uint64_t draw);

heartbeat_targets
next_heartbeat_targets(heartbeat_rotation& order,
                       heartbeat_rotation_options const& options);

} // namespace bramleyarch::decisions

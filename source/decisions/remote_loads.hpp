/// Requests that other routers have in flight at the backend servers, as far
/// as this router knows from their heartbeats.
///
/// A peer in the same domain sends its own requests. A peer in another domain
/// sends the sum of its domain as it knows it. One heartbeat between domains
/// thus carries as much as the heartbeats of a whole domain, so few of them
/// are enough.
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
    /// Loads expire after this time. It covers the loss of several heartbeats.
    duration max_age = std::chrono::milliseconds{1500};
};

/// Loads from the newest heartbeat of one router or domain.
struct received_loads
{
    time_point received_at{};
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
    /// Loads of each router in this router's domain.
    std::map<router_id, received_loads> peers;
    /// Summed loads of each other domain.
    std::map<domain_id, received_loads> domains;
    /// Sums over `peers` and `domains` by the hash of the server's id. Updated
    /// with every change of these.
    std::unordered_map<std::uint64_t, remote_load> by_server;
};

/// Replaces the loads of the sender, or of its domain if that is not
/// `own_domain`, by those of the heartbeat. `own_domain` is the domain of this
/// router.
void apply_heartbeat(remote_loads& loads, domain_id const& own_domain,
                     peer_heartbeat const& heartbeat, time_point at);

/// Removes the loads that have expired at `at`.
void remove_expired_loads(remote_loads& loads, time_point at);

/// Returns the requests of the other routers at a server, which is given by
/// the hash of its id.
remote_load remote_load_at(remote_loads const& loads, std::uint64_t server);

/// Round-robin order in which peers are sent heartbeats.
struct heartbeat_rotation
{
    std::vector<router_id> own_domain;
    std::vector<router_id> other_domains;
    std::size_t next_own_domain = 0;
    std::size_t next_other_domains = 0;
};

/// Number of peers that one heartbeat round goes to.
struct heartbeat_rotation_options
{
    /// Peers in the same domain. With four rounds per second, each of 27
    /// routers of a domain receives heartbeats of all others within 0.6 s.
    std::size_t own_domain = 12;
    /// Peers in other domains. In a fleet of five domains, a router receives
    /// a heartbeat from each other domain once per round on average, which is
    /// six times before the sum of a domain expires.
    std::size_t other_domains = 4;
};

/// Receivers of one heartbeat round.
struct heartbeat_targets
{
    std::vector<router_id> own_domain;
    std::vector<router_id> other_domains;
};

/// Starts the rotation at a position derived from `draw`, a random number of
/// this router. Routers that start at the same position send to the same few
/// peers in each round.
void stagger(heartbeat_rotation& rotation, std::uint64_t draw);

/// Returns the next receivers and advances the rotation.
heartbeat_targets
next_heartbeat_targets(heartbeat_rotation& rotation,
                       heartbeat_rotation_options const& options);

} // namespace bramleyarch::decisions

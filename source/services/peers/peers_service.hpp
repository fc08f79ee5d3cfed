/// The peers service: tells the other routers what this one has in flight and
/// suspects, and learns the same of them, over UDP.
#pragma once

#include "decisions/peer_heartbeat.hpp"
#include "decisions/remote_loads.hpp"
#include "kernel/service.hpp"
#include "net/udp.hpp"
#include "services/messages/peers.hpp"
#include "services/messages/routing.hpp"
#include "services/messages/store.hpp"
#include "services/telemetry/telemetry.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace bramleyarch::services
{

struct peers_options
{
    net::loop_ptr loop;
    router_id self;
    domain_id domain;
    incarnation started = 0;
    endpoint listen; ///< UDP.
    std::uint64_t seed = 0;
    decisions::heartbeat_rotation_options order;
    /// A router that is not listed any more counts for this long after its
    /// last beat: limits shared by all must not be split among too few. Peers
    /// of other domains are heard seldom; the list, read twice in this time,
    /// names them.
    duration absent_after = std::chrono::seconds{30};
};

/// Another router.
struct peer
{
    endpoint heartbeat;
    domain_id domain;
    bool listed = false;
    time_point seen{}; ///< Last listed or heard.
    incarnation started = 0;
    std::uint64_t sequence = 0;
};

/// A suspected request that goes into the next beats.
struct told_suspect
{
    decisions::suspect_body body;
    int beats_left = 0;
};

struct peers_state
{
    peers_options options;
    net::datagram_socket* socket = nullptr;
    std::map<router_id, peer> peers;
    decisions::heartbeat_rotation order; ///< In which they are told.
    std::uint64_t sequence = 0;
    std::vector<router_id> told_fleet;
    /// Told in some beats, since datagrams get lost.
    std::vector<told_suspect> suspects;
    known_revisions own_changes;  ///< Of this router.
    known_revisions peer_changes; ///< The newest that others told of.
    kernel::address<routing_message> routing;
    kernel::address<store_message> store;
    kernel::address<peers_message> self;
    runtime_clock const* clock = nullptr;
    telemetry counted;
};

using peers_service = kernel::service<peers_state, peers_message>;

peers_service make_peers_service(peers_options options);

} // namespace bramleyarch::services

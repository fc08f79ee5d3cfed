/// The peers service: exchanges peer heartbeats with the other routers over
/// UDP. A heartbeat carries the sender's requests in flight per backend server,
/// the crashes and answers that it knows, and the newest store revisions.
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
    endpoint listen; ///< UDP address for heartbeats.
    /// Sets, with the router's id, where the heartbeat rotation starts.
    std::uint64_t seed = 0;
    decisions::heartbeat_rotation_options rotation;
    /// How long a peer that the store no longer lists is kept after it was
    /// last listed or last sent a heartbeat. Removing it too early would split
    /// the limits shared by all routers among too few. A peer in another domain
    /// rarely sends a heartbeat to this router, but the store's list names it
    /// and is read twice in this time.
    duration unlisted_peer_timeout = std::chrono::seconds{30};
};

/// Another router.
struct peer_router
{
    endpoint heartbeat_address;
    domain_id domain;
    bool listed = false;    ///< In the last list from the store.
    time_point last_seen{}; ///< When last listed or last sent a heartbeat.
    incarnation started = 0;
    std::uint64_t sequence = 0; ///< Of its newest heartbeat.
};

/// A crash to send in the next heartbeat rounds. It is repeated because
/// datagrams may be lost.
struct pending_request_crash
{
    decisions::request_crash crash;
    int rounds_left = 0;
};

/// An answer to send in the next heartbeat rounds, as `pending_request_crash`.
struct pending_request_answer
{
    decisions::request_answer answer;
    int rounds_left = 0;
};

/// A crash to send in the next heartbeat rounds, as `pending_request_crash`.
struct pending_prompt_crash
{
    decisions::prompt_crash crash;
    int rounds_left = 0;
};

/// An answer to send in the next heartbeat rounds, as `pending_request_crash`.
struct pending_part_answer
{
    decisions::part_answer answer;
    int rounds_left = 0;
};

struct peers_state
{
    peers_options options;
    net::datagram_socket* socket = nullptr;
    std::map<router_id, peer_router> peers;
    /// Decides which peers receive the heartbeats of each round.
    decisions::heartbeat_rotation rotation;
    std::uint64_t sequence = 0; ///< Of the last heartbeat round.
    /// The other routers as last reported to the routing service.
    std::vector<router_id> reported_peers;
    std::vector<pending_request_crash> request_crashes;  ///< Oldest first.
    std::vector<pending_request_answer> request_answers; ///< Oldest first.
    std::vector<pending_prompt_crash> prompt_crashes;    ///< Oldest first.
    std::vector<pending_part_answer> part_answers;       ///< Oldest first.
    known_revisions local_revisions; ///< Newest known to this router.
    known_revisions peer_revisions;  ///< Newest received in heartbeats.
    kernel::address<routing_message> routing;
    kernel::address<store_message> store;
    kernel::address<peers_message> self;
    runtime_clock const* clock = nullptr;
    telemetry telemetry_sink;
};

using peers_service = kernel::service<peers_state, peers_message>;

peers_service make_peers_service(peers_options options);

} // namespace bramleyarch::services

/// Heartbeat that routers send each other when each admits its own requests.
#pragma once

#include "common/ids.hpp"
#include "config/deployment.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bramleyarch::decisions
{

/// Number of requests in flight at one backend server.
struct server_request_count
{
    std::uint64_t server = 0; ///< `name_hash` of the server's id.
    std::uint32_t in_flight = 0;
};

/// A backend server that crashed with a request in flight, as in
/// `request_crash`, with its age instead of its time: routers' clocks differ.
struct aged_request_crash
{
    std::uint64_t request = 0;
    std::uint64_t server = 0;
    std::uint32_t age_ms = 0; ///< When the heartbeat was sent.
};

/// An answer that clears a request, as in `request_answer`, with its age.
struct aged_request_answer
{
    std::uint64_t request = 0;
    std::uint32_t age_ms = 0; ///< When the heartbeat was sent.
};

/// A backend server that crashed before it answered a request, as in
/// `prompt_crash`, with its age.
struct aged_prompt_crash
{
    std::uint64_t server = 0;
    std::uint32_t age_ms = 0; ///< When the heartbeat was sent.
    std::vector<std::uint64_t> parts;
};

/// An answer that clears a part of prompts, as in `part_answer`, with its age.
struct aged_part_answer
{
    std::uint64_t part = 0;
    std::uint32_t age_ms = 0; ///< When the heartbeat was sent.
};

/// Heartbeat rounds that carry a crash or an answer. With a datagram loss of a
/// few percent, losing all of its heartbeats is unlikely.
inline constexpr int rounds_per_suspect = 4;

/// Crashes that wait for heartbeats; beyond that the oldest is dropped.
inline constexpr std::size_t max_pending_crashes = 32;

/// Answers in one heartbeat, 3 KiB, and those that wait for heartbeats; beyond
/// that the oldest is dropped. In a fleet of 1,000 routers, many servers that
/// crash together need this many.
inline constexpr std::size_t max_answers_per_heartbeat = 256;
inline constexpr std::size_t max_pending_answers = 1024;

/// Time that work takes on a server's machine, with its age.
struct aged_server_pace
{
    std::uint64_t server = 0; ///< `name_hash` of the server's id.
    std::uint32_t pace_percent =
        0;                    ///< 100: as usual; 300: three times as long.
    std::uint32_t age_ms = 0; ///< When the heartbeat was sent.
};

/// Paces in one heartbeat, 1 KiB.
inline constexpr std::size_t max_paces_per_heartbeat = 64;

/// Requests of one route at one version of a service, counted from the order of
/// the rollout on.
struct version_counts
{
    std::uint64_t route = 0;  ///< `name_hash` of the route's name.
    bool new_version = false; ///< The version that the order names.
    std::uint32_t sent = 0;
    std::uint32_t answered = 0; ///< Good answers, slow ones included.
    std::uint32_t failed = 0;
    std::uint32_t slow = 0;
    /// Answers whose time to the first byte was compared, that is, without
    /// those of cold servers and of empty caches, and the sum of these times.
    std::uint32_t timed = 0;
    std::uint32_t waited_ms = 0;

    bool operator==(version_counts const&) const = default;
};

/// What a router knows of a rollout. In a heartbeat to another failure domain:
/// the counts of all routers of the sender's domain.
struct rollout_evidence
{
    std::uint64_t service = 0; ///< `name_hash` of the service's id.
    revision order = 0;        ///< Revision of the order.
    config::rollout_state state = config::rollout_state::running;
    /// Time since the order was seen first, by the sender or by a router that
    /// it heard from. A router that starts learns the deadline from it.
    std::uint32_t age_ms = 0;
    std::vector<version_counts> counts;
};

/// Demand for a service at one router. In a heartbeat to another failure
/// domain: at all routers of the sender's domain.
struct service_demand
{
    std::uint64_t service = 0;   ///< `name_hash` of the service's id.
    std::uint32_t in_flight = 0; ///< Requests sent and not answered.
    std::uint32_t waiting = 0;   ///< Requests in the queue.
    /// Recent arrivals, requests per 10 s.
    std::uint32_t arrivals_per_10_s = 0;
};

/// Limit that one run of a server states on the requests of all routers, or its
/// end, with the age of the statement.
struct aged_server_limit
{
    std::uint64_t run = 0;    ///< Hash of the server's run.
    bool is_limited = false;  ///< False: the server states no limit any more.
    double rate = 0;          ///< Requests per second.
    std::uint32_t age_ms = 0; ///< When the heartbeat was sent.
};

/// Limits in one heartbeat, 170 bytes. A router of a fleet of 300 receives 16
/// heartbeats in each round and knows some hundred limits within three rounds.
inline constexpr std::size_t max_limits_per_heartbeat = 8;

struct peer_heartbeat
{
    router_id from;
    domain_id domain; ///< Failure domain of the sender.
    incarnation started = 0;
    std::uint64_t sequence = 0; ///< Increases within one start of the sender.
    /// Era of the store in which the sender has read the revisions.
    std::uint64_t store_era = 0;
    /// Revision of the newest rules that the sender has read from the store.
    revision rules_revision = 0;
    /// Revision of the newest server entry that the sender has read.
    revision servers_revision = 0;
    /// Requests of the sender. In a heartbeat to another failure domain:
    /// requests of all routers of the sender's domain.
    std::vector<server_request_count> loads;
    std::vector<aged_request_crash> request_crashes;
    std::vector<aged_request_answer> request_answers;
    std::vector<aged_prompt_crash> prompt_crashes;
    std::vector<aged_part_answer> part_answers;
    std::vector<aged_server_pace> server_paces;
    std::vector<rollout_evidence> rollouts;
    std::vector<service_demand> service_demands;
    std::vector<aged_server_limit> server_limits;
};

} // namespace bramleyarch::decisions

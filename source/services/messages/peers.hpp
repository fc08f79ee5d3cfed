/// Messages of the peers service, which exchanges heartbeats between routers
/// that admit requests themselves.
#pragma once

#include "decisions/crash_history.hpp"
#include "decisions/crashing_parts.hpp"
#include "services/messages/routing.hpp"
#include "services/messages/store.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace bramleyarch::services
{

/// Loads as the local routing service counts them. Each report starts a
/// heartbeat round.
struct local_load_report
{
    /// Requests in flight from this router, per backend server. Sent to peers
    /// in the same domain.
    std::vector<decisions::server_request_count> local;
    /// Requests in flight from all routers of the domain, this one included,
    /// per backend server. Sent to peers in other domains.
    std::vector<decisions::server_request_count> domain;
    /// Paces of servers, sent to all peers.
    std::vector<decisions::aged_server_pace> paces;
    /// Rollouts as counted by this router, and by all routers of the domain.
    std::vector<decisions::rollout_evidence> local_rollouts;
    std::vector<decisions::rollout_evidence> domain_rollouts;
    /// Demand at this router, and at all routers of the domain.
    std::vector<decisions::service_demand> local_demands;
    std::vector<decisions::service_demand> domain_demands;
    /// Limits that servers state, sent to all peers.
    std::vector<decisions::aged_server_limit> limits;
};

/// Gossips that a server crashed with a request in flight.
struct gossip_request_crash
{
    decisions::request_crash crash;
    /// It was gossiped before. It is sent in one round and displaces no other.
    bool is_repeat = false;
};

/// Gossips an answer that clears a request of earlier crashes.
struct gossip_request_answer
{
    decisions::request_answer answer;
};

/// Gossips that a server crashed before it answered a request, because of one
/// of these parts of its prompt.
struct gossip_prompt_crash
{
    decisions::prompt_crash crash;
};

/// Gossips an answer that clears a part of prompts of earlier crashes.
struct gossip_part_answer
{
    decisions::part_answer answer;
};

/// Delivered by the peers service's own timers.
struct peers_tick
{
};

using peers_message =
    std::variant<routers_listed, known_revisions, local_load_report,
                 gossip_request_crash, gossip_request_answer,
                 gossip_prompt_crash, gossip_part_answer, drain_started,
                 status_query, peers_tick>;

} // namespace bramleyarch::services

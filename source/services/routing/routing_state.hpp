/// State of the routing service: its view of the fleet and the requests that
/// have not ended.
#pragma once

#include "services/messages/link.hpp"
#include "services/messages/members.hpp"
#include "services/messages/owner.hpp"
#include "services/messages/routing.hpp"
#include "services/telemetry/telemetry.hpp"

#include "decisions/outcome_latch.hpp"
#include "decisions/ownership.hpp"
#include "decisions/quarantine.hpp"
#include "decisions/ranking.hpp"
#include "decisions/retry_budget.hpp"
#include "decisions/team_limit.hpp"
#include "kernel/service.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bramleyarch::services
{

/// Options of the routing service.
struct routing_options
{
    router_id self;
    /// Seed of the pseudo-random numbers that break ties and add jitter.
    std::uint64_t seed = 1;
    /// Interval of the periodic work, such as flushing the metrics.
    duration tick = std::chrono::milliseconds{250};
    /// Time after the deadline at which this router ends a request itself.
    /// Owners end it at the deadline, so this applies if no reply arrives.
    duration deadline_grace = std::chrono::milliseconds{250};
    /// Time constant of the exponential decay of a reported load.
    duration load_decay = std::chrono::seconds{5};
    /// Time for which an owner receives no offers after its link was lost.
    duration lost_owner_pause = std::chrono::seconds{2};
    /// Time for which the exact load in an owner's reply takes precedence over
    /// reported loads, which are older.
    duration exact_load_hold = std::chrono::milliseconds{500};
    /// Longest pause before the second round of offers, if servers have room
    /// but are at the load bound. It doubles with every round.
    duration round_pause = std::chrono::milliseconds{20};
    /// Upper limit of the pause between rounds of offers.
    duration max_round_pause = std::chrono::milliseconds{250};
    /// Retries of one request after failures of servers. The retry budget of
    /// the team may allow fewer.
    std::uint32_t max_retries = 2;
    /// Retries of one request after its owner or the link to it was lost.
    std::uint32_t max_losses = 4;
    decisions::ranking_policy policy =
        decisions::ranking_policy::bounded_rendezvous;
    decisions::team_limit_options team_limits{};
    decisions::retry_budget_options retries{};
};

/// Load of one backend server as this router estimates it.
struct load_estimate
{
    /// Last reported load, std::nullopt until a report arrives.
    std::optional<server_load> reported;
    time_point reported_at{}; ///< Time of the last report.
    time_point exact_until{}; ///< Remote reports are ignored until then.
    std::uint32_t local_at_report = 0; ///< Local attempts at the last report.
    std::uint32_t local = 0;           ///< Local attempts that have not ended.
};

/// A backend server that requests of one service may go to.
struct eligible_server
{
    server_id id;
    std::uint64_t hash = 0; ///< `name_hash(id.value)`.
    std::uint32_t capacity = 1;
    std::vector<std::string> models;
    router_id owner; ///< Empty if no router owns the server.
};

/// Servers of one service that are in service and whose failure domains are.
struct service_view
{
    config::service_kind kind = config::service_kind::plain;
    std::vector<eligible_server> servers;
};

/// A request that has not ended.
struct pending_request
{
    routed_request request;
    answer_sink reply;
    time_point received{};
    kernel::timer_id expiry = 0;
    decisions::outcome_latch latch; ///< Known progress of the attempts.
    std::uint32_t attempt = 0;      ///< Number of the current attempt.
    std::uint32_t offers = 0;     ///< Offers since the round or retry started.
    std::uint32_t retries = 0;    ///< Retries after failures of servers.
    std::uint32_t losses = 0;     ///< Retries after losses of owners or links.
    std::vector<server_id> tried; ///< Servers offered in the current round.
    server_id server;             ///< Server of the current attempt.
    router_id owner;          ///< Owner of that server when the offer was sent.
    duration retry_after{};   ///< Longest time that an owner asked to wait.
    std::uint32_t rounds = 0; ///< Finished rounds of offers.
    /// Whether another round of offers after the current one may find room.
    bool may_find_room = false;
    /// Whether the answer resumes once its server has a reachable owner.
    bool awaits_owner = false;
    /// Attempts that ended because the server closed the connection.
    std::uint32_t server_closes = 0;

    /// Offset in the answer, in bytes, that the caller asked for.
    std::uint64_t first_offset = 0;
    bool head_sent = false; ///< The front end has the head of the answer.
    bool resumable = false; ///< The server can resume at an offset.
    /// Attempt that was reported to the front end with the head.
    attempt_id reported_attempt;
    std::uint64_t attempt_chunks = 0; ///< Chunks received in this attempt.
    std::uint64_t attempt_bytes = 0;  ///< Bytes received in this attempt.
    std::uint64_t chunks = 0;         ///< Chunks passed to the front end.
    std::uint64_t bytes = 0;          ///< Bytes passed to the front end.
    std::uint64_t consumed_bytes = 0; ///< Bytes that the caller consumed.
    /// Bytes of earlier attempts that the caller has yet to consume. They
    /// grant the current attempt no credit.
    std::uint64_t uncredited_bytes = 0;
};

/// State of the routing service.
struct routing_state
{
    routing_options options;
    config_snapshot config;
    std::shared_ptr<member_view const> view;
    bool draining = false;
    std::unordered_map<service_id, service_view> services;
    std::unordered_map<server_id, load_estimate> loads;
    std::unordered_map<request_id, pending_request> requests;
    /// Owners behind a lost link, with the time when offers may resume.
    std::map<router_id, time_point> lost_owners;
    decisions::retry_budget budget;
    decisions::team_limits limits;
    decisions::quarantine_list quarantine; ///< Quarantined request bodies.
    std::vector<decisions::candidate> candidates; ///< Reused between calls.
    std::uint64_t random_calls = 0; ///< Pseudo-random numbers generated.
    std::uint32_t ticks = 0;        ///< Ticks since the last demand report.
    telemetry metrics;
    kernel::address<owner_message> owner;
    kernel::address<link_message> link;
    kernel::address<members_message> members;
};

using routing_context = kernel::context<routing_message>;

} // namespace bramleyarch::services

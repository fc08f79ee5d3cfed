/// Messages of the routing service, the entry side of every request.
#pragma once

#include "config/settings.hpp"
#include "decisions/peer_heartbeat.hpp"
#include "services/messages/owner.hpp"

#include <functional>
#include <variant>

namespace bramleyarch::services
{

/// Where a front end wants its answer. Called on the routing task; must only
/// post to the front end's own mailbox.
using answer_sink = std::function<void(answer_message)>;

/// A front end hands in a request. `request.id` is set by the front end and
/// unique within the fleet.
struct submit_request
{
    routed_request request;
    answer_sink reply;
};

/// The caller left.
struct cancel_request
{
    request_id request;
};

/// The caller has taken `bytes` of the answer.
struct answer_bytes_consumed
{
    request_id request;
    std::uint32_t bytes = 0;
};

/// An owner's reply with the router that sent it (may be this one).
struct owner_reply_received
{
    router_id origin;
    owner_reply reply;
};

/// A link to a router opened.
struct link_opened
{
    router_id router;
};

/// Delivered by the routing service's own timers.
struct routing_tick
{
};

/// Deadline of one request.
struct request_expired
{
    request_id request;
};

/// A request that found every server at its bound is offered again.
struct request_check_due
{
    request_id request;
};

/// What another router told.
struct peer_heartbeat_received
{
    decisions::peer_heartbeat heartbeat;
};

/// Another router saw a server die with this request in flight.
struct peer_suspect_received
{
    std::uint64_t fingerprint = 0;
    std::uint64_t server_hash = 0;
};

/// Limits of all routers together were set anew.
struct shared_limits_changed
{
    config::shared_limit_settings limits;
};

/// The other routers, as far as they are known.
struct fleet_changed
{
    std::vector<router_id> others;
};

using routing_message =
    std::variant<submit_request, cancel_request, answer_bytes_consumed,
                 owner_reply_received, config_changed, members_changed,
                 loads_changed, demand_changed, quarantine_update, link_lost,
                 drain_started, status_query, routing_tick, request_expired,
                 idle_query, request_check_due, link_opened, deployment_changed,
                 attempt_event, peer_heartbeat_received, peer_suspect_received,
                 fleet_changed, shared_limits_changed>;

} // namespace bramleyarch::services

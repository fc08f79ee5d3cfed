/// Messages of the routing service, which routes every request that the front
/// end of this router received. In fleets whose routers admit requests
/// themselves the entry service has this role and receives these messages.
#pragma once

#include "config/settings.hpp"
#include "decisions/crash_history.hpp"
#include "decisions/crashing_parts.hpp"
#include "decisions/peer_heartbeat.hpp"
#include "services/messages/owner.hpp"

#include <functional>
#include <variant>

namespace bramleyarch::services
{

/// Receives the answer to a request. Called on the routing service's task; it
/// must only post to the front end's own mailbox.
using answer_sink = std::function<void(answer_message)>;

/// Submits a request from a front end. `request.id` is set by the front end
/// and unique within the fleet.
struct submit_request
{
    routed_request request;
    answer_sink reply;
};

/// Cancels a request, for instance because its caller closed the connection.
struct cancel_request
{
    request_id request;
};

/// The caller's connection accepted `bytes` more bytes of the answer, so as
/// many more may be read from the backend server.
struct answer_bytes_consumed
{
    request_id request;
    std::uint32_t bytes = 0;
};

/// An owner's reply, with the router that sent it, which may be this one.
struct owner_reply_received
{
    router_id origin;
    owner_reply reply;
};

/// A link to another router opened.
struct link_opened
{
    router_id router;
};

/// Delivered by the routing service's own timers.
struct routing_tick
{
};

/// Delivered by a timer at the deadline of a request.
struct request_expired
{
    request_id request;
};

/// Delivered by a timer when a request needs its next check. The routing
/// service offers a request again after every server was at its bound; the
/// entry service checks whether the current attempt has received a byte.
struct request_check_due
{
    request_id request;
};

/// A heartbeat arrived from another router.
struct peer_heartbeat_received
{
    decisions::peer_heartbeat heartbeat;
};

/// Another router reported that a server crashed with a request in flight.
struct peer_request_crash_received
{
    decisions::request_crash crash;
};

/// Another router reported an answer that clears a request.
struct peer_request_answer_received
{
    decisions::request_answer answer;
};

/// Another router reported that a server crashed before it answered a request,
/// because of one of these parts of its prompt.
struct peer_prompt_crash_received
{
    decisions::prompt_crash crash;
};

/// Another router reported an answer that clears a part of prompts.
struct peer_part_answer_received
{
    decisions::part_answer answer;
};

/// A reload of the settings set the limits that apply to all routers together.
struct shared_limits_changed
{
    config::shared_limit_settings limits;
};

/// The list of the other known routers changed.
struct fleet_changed
{
    std::vector<router_id> others;
};

/// The status of a rollout that the store holds. It is the outcome of a
/// `rollout_decision`, or was read.
struct rollout_status_known
{
    config::rollout_status status;
};

/// Delivered by the entry service's own timers while requests of the service
/// wait.
struct waiting_due
{
    service_id service;
};

using routing_message = std::variant<
    submit_request, cancel_request, answer_bytes_consumed, owner_reply_received,
    config_changed, members_changed, loads_changed, demand_changed,
    quarantine_update, link_lost, drain_started, status_query, routing_tick,
    request_expired, idle_query, request_check_due, link_opened,
    deployment_changed, attempt_event, peer_heartbeat_received,
    peer_request_crash_received, peer_request_answer_received,
    peer_prompt_crash_received, peer_part_answer_received, fleet_changed,
    shared_limits_changed, rollout_status_known, waiting_due>;

} // namespace bramleyarch::services

/// Functions that the source files of the store service share.
#pragma once

#include "services/store/store_service.hpp"

namespace bramleyarch::services
{

constexpr int status_ok = 200;
constexpr int status_unknown_lease = 404;
constexpr int status_unknown_key = 404;
constexpr int status_condition_failed = 412;
constexpr int status_too_many_calls = 429;
constexpr int status_unavailable = 503;
constexpr int status_history_gone = 410;

time_point current_time(store_state const& state);

/// Starts a request and returns its ID.
std::uint64_t send_request(store_state& state, store_request request,
                           duration timeout);

/// Returns the delay before the next attempt after so many consecutive
/// failures. It doubles with each failure; half of it is random, so that
/// routers do not retry in step.
duration backoff_delay(store_state& state, std::uint32_t failures);

/// Logs an effect and publishes what it touched.
void publish_effect(store_state& state,
                    decisions::discovery_effect const& effect);

group_sync& sync_of(store_state& state, record_group group);

/// Requests the next page of the group's list, or the next watch once the list
/// is complete.
void send_sync_request(store_state& state, group_sync& sync);

/// Lists the rules and servers again, whatever was read before. The routers
/// follow once this router is registered.
void restart_syncs(store_state& state);

/// Handles the complete response to the group's list or watch.
void handle_sync_response(store_state& state, group_sync& sync);

/// Requests the group's list instead of the watch in flight if the watch's
/// response, of which `bytes` are known to come, is much larger.
void replace_long_watch(store_state& state, group_sync& sync,
                        std::uint64_t bytes);

/// Schedules a retry of the group's failed list or watch. Several consecutive
/// failures of a group mark the store as unavailable.
void handle_sync_failure(store_state& state, group_sync& sync,
                         std::string const& reason);

/// Sends the list and watch requests that are due, and restarts watches that
/// miss changes that peers advertise.
void send_due_sync_requests(store_state& state);

/// Replaces all watches by short ones, which find out whether the store still
/// responds.
void restart_watches(store_state& state, std::string_view reason);

/// Records the revisions of the newest changes that peers advertise.
void record_peer_revisions(store_state& state, known_revisions const& newest);

/// Removes the servers that were unlisted while the store was unavailable, or
/// that an older copy of it lacks, and have not been listed again in time. Does
/// the same for domains taken out.
void apply_due_removals(store_state& state);

/// Applies changes that arrived together and publishes their effect once.
void apply_changes(store_state& state,
                   std::vector<decisions::record_change> const& changes);

/// Returns the read of an order that sent a request, or nullptr.
order_check* find_order_check(store_state& state, std::uint64_t request_id);

/// Reads the orders of the services that have held servers, at most one request
/// for each service at a time.
void send_due_order_checks(store_state& state);

/// Handles the complete response to the read of an order.
void handle_order_response(store_state& state, order_check& check);

/// Schedules a retry of a failed read of an order.
void handle_order_failure(store_state& state, order_check& check,
                          std::string const& reason);

/// Returns the rollout that sent a request, or nullptr.
rollout_sync* find_rollout(store_state& state, std::uint64_t request_id);

/// Follows the orders in force: begins to read the status of a new one, and
/// drops the decision and the request of one that was replaced or withdrawn.
void update_rollouts(store_state& state);

/// Reads the statuses again, and writes those that are missing.
void restart_rollouts(store_state& state);

/// Sends the reads and writes of statuses that are due.
void send_due_rollout_calls(store_state& state);

/// Stores a decision on a rollout unless its order is no longer in force.
/// Reports what is stored if nothing has to be written.
void apply_decision(store_state& state, rollout_decision const& decision);

/// Handles the complete response to a read or write of a status.
void handle_rollout_response(store_state& state, rollout_sync& sync);

/// Handles a read or write of a status that got no response.
void handle_rollout_failure(store_state& state, rollout_sync& sync,
                            std::string const& reason);

/// Requests a lease or its renewal if that is due and no such request is in
/// flight.
void send_due_lease_request(store_state& state);

/// Registers this router again, under a new lease, unless it is stopping.
void restart_registration(store_state& state);

/// Handles the complete response to a request for the lease or to the write
/// of the router's record.
void handle_lease_response(store_state& state);

/// Schedules the next attempt: another renewal if a renewal failed, else a new
/// lease. A failed renewal also restarts the watches.
void handle_lease_failure(store_state& state, std::string const& reason);

/// Returns the service's part of the operators' status page, a JSON object.
std::string status_json(store_state& state);

/// Revokes the lease, so that other routers need not wait for it to expire, and
/// ends the registration for good.
void deregister_router(store_state& state);

} // namespace bramleyarch::services

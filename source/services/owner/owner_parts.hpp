/// Functions that the source files of the owner service share.
#pragma once

#include "services/owner/owner_state.hpp"

#include <string>

namespace bramleyarch::services::owning
{

// owned_servers.cpp

/// Updates the set of owned servers after a change of the configuration or of
/// the members.
void update_ownership(owner_state& state, owner_context& ctx);

/// Returns the load of a server, with the requests that it runs for other
/// owners.
server_load load_of(owner_state const& state, owned_server const& server);

/// Returns the maximum number of requests in flight that the owner admits at
/// the time `at`.
std::uint32_t current_limit(owner_state const& state,
                            owned_server const& server, time_point at);

/// Sends the loads of all owned servers to the services routing and members.
void publish_loads(owner_state& state, owner_context& ctx);

/// Publishes the loads before the next tick if the load of `server` has
/// changed considerably since the last publication.
void publish_changed_load(owner_state& state, owner_context& ctx,
                          owned_server& server);

/// Records the loads that another owner reported.
void record_remote_loads(owner_state& state, owner_context& ctx,
                         loads_changed const& changed);

/// Handles the load that a server reported about itself.
void handle_load_report(owner_state& state, owner_context& ctx,
                        server_load_report const& report);

/// Ends the admission hold after a gain of ownership if no report has ended it
/// in time.
void end_expired_admission_hold(owner_state& state, owner_context& ctx,
                                owned_server& server);

/// Handles a failed read of a load report.
void handle_load_report_failure(owner_state& state, owner_context& ctx,
                                server_load_report_failed const& failure);

/// Counts the server as cold and records the cause in the timeline.
void record_server_cold(owner_state& state, owned_server const& server);

// offers.cpp

/// Admits, queues, redirects or refuses an offer.
void handle_offer(owner_state& state, owner_context& ctx, router_id origin,
                  offer offered);

/// Admits queued requests until the server has no room.
void admit_queued_requests(owner_state& state, owner_context& ctx,
                           owned_server& server);

/// Refuses the queued requests whose deadline has passed.
void refuse_expired_requests(owner_state& state, owner_context& ctx,
                             owned_server& server);

/// Redirects all queued requests if the bound over the mean load keeps them
/// waiting. Other servers have room then, unlike when the server is at its
/// limit.
void redirect_queue_at_load_bound(owner_state& state, owner_context& ctx,
                                  owned_server& server);

/// Redirects all queued requests.
void redirect_queue(owner_state& state, owned_server& server, error_kind cause);

// attempts.cpp

/// Returns nullptr if the server isn't known here.
owned_server* find_server(owner_state& state, server_id const& id);

/// Returns nullptr if the attempt has ended or was never accepted.
owned_attempt* find_attempt(owner_state& state, attempt_id const& id);

/// Sends a reply to the entry router that made the offer.
void reply_to(owner_state& state, router_id const& origin, owner_reply reply);

/// Starts an admitted attempt: claims its key if it must run at most once,
/// otherwise dispatches it.
void start_admitted_attempt(owner_state& state, owner_context& ctx,
                            owned_server& server, owned_attempt& attempt);

/// Passes an attempt to the backend service.
void dispatch_attempt(owner_state& state, owner_context& ctx,
                      owned_attempt& attempt);

/// Removes an admitted attempt and admits queued requests in its place.
void end_attempt(owner_state& state, owner_context& ctx, attempt_id id);

/// Ends an admitted attempt and reports the error to the entry router.
void fail_attempt(owner_state& state, owner_context& ctx,
                  owned_attempt& attempt, error cause, outcome known);

/// Ends an attempt of which nothing was sent to the server. If it holds a
/// claim, the claim is released first, and the outcome is `not_run` only after
/// the release was confirmed.
void fail_unsent_attempt(owner_state& state, owner_context& ctx,
                         owned_attempt& attempt, error cause);

/// Handles an entry router's cancellation. An attempt that must run at most
/// once and has left the queue is detached: it continues without a receiver.
void cancel_owned_attempt(owner_state& state, owner_context& ctx,
                          attempt_id id);

/// Cancels all attempts of an entry router whose link was lost.
void cancel_attempts_from(owner_state& state, owner_context& ctx,
                          router_id const& origin);

/// Returns true for a request that must run at most once.
bool needs_claim(owned_attempt const& attempt);

// backend_events.cpp

void handle_send_started(owner_state& state, backend_send_started const& sent);
void handle_backend_head(owner_state& state, owner_context& ctx,
                         backend_head head);
void handle_backend_chunk(owner_state& state, owner_context& ctx,
                          backend_chunk chunk);
void handle_backend_end(owner_state& state, owner_context& ctx,
                        backend_end const& end);
void handle_backend_failure(owner_state& state, owner_context& ctx,
                            backend_failed failure);

/// Has the claims service store the outcome of a request that must run at most
/// once. Does nothing for other requests.
void record_claim_outcome(owner_state& state, owned_attempt const& attempt,
                          outcome known);

// claim_events.cpp

void handle_claim_result(owner_state& state, owner_context& ctx,
                         claim_result const& result);
void handle_release_result(owner_state& state, owner_context& ctx,
                           release_result const& result);

// suspects.cpp

/// Records the body of an attempt whose connection the server closed, and
/// requests a load report, which shows whether the server died.
void record_closed_connection(owner_state& state, owner_context& ctx,
                              owned_server& server,
                              owned_attempt const& attempt);

/// Marks the bodies that were in flight when the server died as suspects.
void handle_server_death(owner_state& state, owner_context& ctx,
                         owned_server& server);

/// Clears a suspect body, since a request with it was completed.
void record_completed_body(owner_state& state, std::uint64_t body);

/// Merges a body's status that another router reported.
void merge_quarantine_update(owner_state& state, owner_context& ctx,
                             quarantine_update const& update);

// owner_status.cpp

/// Returns the service's state as JSON text.
std::string status_text(owner_state const& state, time_point at);

/// Returns the next pseudo-random number from 0 to 1 of the seeded sequence.
double random_fraction(owner_state& state);

} // namespace bramleyarch::services::owning

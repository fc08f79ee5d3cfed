/// Functions shared by the source files of the routing service only.
#pragma once

#include "services/routing/routing_state.hpp"

#include <string>

namespace bramleyarch::services::routing
{

// submit.cpp

/// Checks a request and sends its first offer, or ends it with an error.
void handle_submit(routing_state& state, routing_context& ctx,
                   submit_request submitted);

/// Cancels a request whose caller closed the connection.
void cancel_pending_request(routing_state& state, routing_context& ctx,
                            request_id id);

/// Records bytes of the answer that the caller consumed and grants the owner
/// credit for those that belong to the current attempt.
void handle_consumed_bytes(routing_state& state,
                           answer_bytes_consumed const& consumed);

/// Ends a request whose deadline and grace time have passed.
void end_expired_request(routing_state& state, routing_context& ctx,
                         request_id id);

// candidates.cpp

/// Offers the request to the owner of its next candidate. If no candidate is
/// left, schedules another round of offers or ends the request with an error.
void offer_to_next_candidate(routing_state& state, routing_context& ctx,
                             pending_request& pending);

/// Resumes an interrupted answer at the server that started it. If no owner of
/// the server is reachable, the request waits for one.
void offer_resumption(routing_state& state, pending_request& pending);

/// Offers the waiting resumptions whose server has a reachable owner again.
void offer_waiting_resumptions(routing_state& state);

/// Starts the next round of offers of a request, if it has not ended.
void start_offer_round(routing_state& state, routing_context& ctx,
                       request_id id);

/// Returns the estimated number of requests in flight at a server: the local
/// ones, and the reported remote ones reduced by the age of the report.
double estimate_in_flight(load_estimate const& load, time_point at,
                          duration decay);

/// Records the exact load that an owner stated in a reply.
void record_exact_load(routing_state& state, router_id const& owner,
                       server_load const& load, time_point at);

/// Stops counting the request's current attempt at its server and clears the
/// request's server and owner.
void detach_from_server(routing_state& state, pending_request& pending);

/// Sends a message to the owner of the request's current attempt. Returns false
/// if it could not be handed over.
bool send_to_owner(routing_state& state, pending_request const& pending,
                   owner_request request);

// answers.cpp

/// Handles an owner's reply. Replies to earlier attempts are ignored.
void handle_owner_reply(routing_state& state, routing_context& ctx,
                        owner_reply_received received);

// endings.cpp

/// Returns the request, or nullptr if no request with this id is pending.
pending_request* find_pending(routing_state& state, request_id id);

/// Returns the id of the request's current attempt.
attempt_id current_attempt(pending_request const& pending);

/// Ends the request with an error to the front end.
void end_with_error(routing_state& state, routing_context& ctx,
                    pending_request& pending, error cause, outcome known,
                    duration retry_after = {});

/// Retries, resumes or ends the request after its current attempt failed.
/// `reported` is the outcome that the owner reported.
void handle_attempt_end(routing_state& state, routing_context& ctx,
                        pending_request& pending, error cause,
                        outcome reported);

/// Ends the request after its complete answer.
void end_answered(routing_state& state, routing_context& ctx,
                  pending_request& pending);

/// Pauses offers to a router whose link was lost, and fails the attempts that
/// were in flight there.
void handle_lost_router(routing_state& state, routing_context& ctx,
                        link_lost const& lost);

/// Ends the pause in offers to a router whose link opened again, and offers the
/// resumptions that wait for it.
void handle_router_reached(routing_state& state, router_id const& router);

// fleet_view.cpp

/// Applies a configuration, unless its version is lower than the current one.
void adopt_config(routing_state& state, routing_context& ctx,
                  config_snapshot config);

/// Updates the eligible servers and their owners from the configuration and the
/// members.
void update_services(routing_state& state);

/// Applies loads that an owner reported.
void apply_reported_loads(routing_state& state, routing_context& ctx,
                          loads_changed const& changed);

/// Records demand that another router reported.
void record_reported_demand(routing_state& state, routing_context& ctx,
                            demand_changed const& changed);

/// Updates this router's shares of the team limits after a change of members
/// or configuration.
void update_team_shares(routing_state& state, routing_context& ctx);

/// Updates the average local demand and the shares of the team limits, and
/// reports the demand to the members service.
void report_local_demand(routing_state& state, routing_context& ctx,
                         duration elapsed);

// routing_status.cpp

/// Returns the status of the routing service as JSON text.
std::string status_text(routing_state const& state, time_point at);

/// Returns a pseudo-random number from 0 to 1, determined by the seed.
double random_unit(routing_state& state);

/// Returns 64 pseudo-random bits, determined by the seed.
std::uint64_t random_bits(routing_state& state);

} // namespace bramleyarch::services::routing

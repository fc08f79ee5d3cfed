/// Functions that the parts of the routing service use of each other.
#pragma once

#include "services/routing/routing_state.hpp"

#include <string>

namespace bramleyarch::services::entry
{

// submit.cpp

/// Checks a request and makes its first offer.
void take_request(routing_state& state, routing_context& ctx,
                  submit_request submitted);

/// The caller left.
void cancel_pending(routing_state& state, routing_context& ctx, request_id id);

/// The caller took bytes of the answer.
void grant_taken(routing_state& state, answer_bytes_consumed const& took);

/// The deadline and its grace have passed.
void expire_request(routing_state& state, routing_context& ctx, request_id id);

// candidates.cpp

/// Offers the request to the owner of its next candidate, or ends it.
void offer_next(routing_state& state, routing_context& ctx,
                pending_request& pending);

/// Offers the rest of a broken answer to the server that began it. Waits for
/// an owner when the server has none that can be reached.
void offer_resumption(routing_state& state, pending_request& pending);

/// Offers the resumptions whose server has an owner again.
void offer_waiting_resumptions(routing_state& state);

/// The next round of offers is due.
void begin_round(routing_state& state, routing_context& ctx, request_id id);

/// Requests in flight that this router believes a server to have.
double believed_in_flight(believed_load const& load, time_point at,
                          duration decay);

/// Takes over the exact load that an owner stated in a reply.
void note_exact_load(routing_state& state, router_id const& owner,
                     server_load const& load, time_point at);

/// The request's current attempt no longer counts at its server.
void leave_server(routing_state& state, pending_request& pending);

/// Sends to the owner of the request's current attempt.
bool send_to_owner(routing_state& state, pending_request const& pending,
                   owner_request request);

// answers.cpp

/// Takes an owner's reply; replies of earlier attempts are dropped.
void take_reply(routing_state& state, routing_context& ctx,
                owner_reply_received received);

// endings.cpp

pending_request* find_pending(routing_state& state, request_id id);
attempt_id current_attempt(pending_request const& pending);

/// Ends the request with an error to the front end.
void end_with_error(routing_state& state, routing_context& ctx,
                    pending_request& pending, error cause, outcome known,
                    duration retry_after = {});

/// The current attempt failed: retries, resumes or ends the request.
void attempt_ended(routing_state& state, routing_context& ctx,
                   pending_request& pending, error cause, outcome said);

/// Ends the request after its complete answer.
void end_answered(routing_state& state, routing_context& ctx,
                  pending_request& pending);

/// The link to a router is gone, with what was in flight on it.
void lose_router(routing_state& state, routing_context& ctx,
                 link_lost const& lost);

/// A link to a router opened: the pause after its loss ends.
void reach_router(routing_state& state, router_id const& router);

// fleet_view.cpp

/// Takes over a configuration with a higher version.
void adopt_config(routing_state& state, routing_context& ctx,
                  config_snapshot config);

/// Finds eligible servers and their owners after a change.
void update_services(routing_state& state);

/// Takes over loads that an owner reported.
void take_loads(routing_state& state, routing_context& ctx,
                loads_changed const& changed);

/// Takes over demand that another router reported.
void take_demand(routing_state& state, routing_context& ctx,
                 demand_changed const& changed);

/// Computes the shares of the team limits after a change of members.
void update_shares_now(routing_state& state, routing_context& ctx);

/// Averages the own demand, computes shares and tells the members service.
void update_demand(routing_state& state, routing_context& ctx,
                   duration elapsed);

// routing_status.cpp

std::string status_text(routing_state const& state, time_point at);

/// Number from 0 to 1 that differs from call to call; seeded.
double draw_unit(routing_state& state);

/// 64 bits that differ from call to call; seeded.
std::uint64_t draw_bits(routing_state& state);

} // namespace bramleyarch::services::entry

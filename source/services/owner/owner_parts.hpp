/// Functions that the parts of the owner service use of each other.
#pragma once

#include "services/owner/owner_state.hpp"

#include <string>

namespace bramleyarch::services::owning
{

// owned_servers.cpp

/// Gains and loses servers after a change of configuration or members.
void update_ownership(owner_state& state, owner_context& ctx);

/// Exact load of a server.
server_load load_of(owner_state const& state, owned_server const& server);

/// Most requests in flight that the owner admits now.
std::uint32_t current_limit(owner_state const& state,
                            owned_server const& server, time_point at);

/// Sends the loads of all owned servers to routing and members.
void publish_loads(owner_state& state, owner_context& ctx);

/// Publishes early when this server's load changed much.
void note_load(owner_state& state, owner_context& ctx, owned_server& server);

/// Takes over loads that other owners reported.
void take_loads(owner_state& state, owner_context& ctx,
                loads_changed const& changed);

/// Takes over what a server stated about itself.
void take_report(owner_state& state, owner_context& ctx,
                 server_load_report const& report);

/// Ends the hold after a take-over that no report has ended in time.
void expire_hold(owner_state& state, owner_context& ctx, owned_server& server);

/// A report could not be read.
void take_report_failure(owner_state& state, owner_context& ctx,
                         server_load_report_failed const& failure);

/// Treats the server as cold from now on.
void note_cold(owner_state& state, owned_server const& server);

// offers.cpp

/// Admits, queues or redirects.
void take_offer(owner_state& state, owner_context& ctx, router_id origin,
                offer asked);

/// Admits waiting requests as far as there is room.
void serve_queue(owner_state& state, owner_context& ctx, owned_server& server);

/// Answers waiting requests whose deadline has passed.
void expire_queue(owner_state& state, owner_context& ctx, owned_server& server);

/// Sends waiting requests elsewhere when the bound and not the limit keeps
/// them: other servers have room then.
void release_bounded_queue(owner_state& state, owner_context& ctx,
                           owned_server& server);

/// Sends all waiting requests elsewhere.
void redirect_queue(owner_state& state, owned_server& server, error_kind cause);

// attempts.cpp

owned_server* find_server(owner_state& state, server_id const& id);
owned_attempt* find_attempt(owner_state& state, attempt_id const& id);

/// Sends to the entry router that made the offer.
void reply_to(owner_state& state, router_id const& origin, owner_reply reply);

/// Starts an attempt that was admitted.
void begin_attempt(owner_state& state, owner_context& ctx, owned_server& server,
                   owned_attempt& attempt);

/// Hands an attempt to the backend service.
void dispatch_attempt(owner_state& state, owner_context& ctx,
                      owned_attempt& attempt);

/// Ends an admitted attempt: frees its place and serves the queue.
void end_attempt(owner_state& state, owner_context& ctx, attempt_id id);

/// Ends an admitted attempt with an error to the entry router.
void fail_attempt(owner_state& state, owner_context& ctx,
                  owned_attempt& attempt, error cause, outcome known);

/// Ends an attempt for which nothing was sent. A claim that it holds is
/// given up first, and `not_run` is said only once that is confirmed.
void give_up_unsent(owner_state& state, owner_context& ctx,
                    owned_attempt& attempt, error cause);

/// The entry router no longer wants the answer.
void cancel_owned(owner_state& state, owner_context& ctx, attempt_id id);

/// Ends everything for an entry router that is gone.
void drop_origin(owner_state& state, owner_context& ctx,
                 router_id const& origin);

/// True for a request that must run at most once.
bool needs_claim(owned_attempt const& attempt);

// backend_events.cpp

void take_sent(owner_state& state, backend_send_started const& sent);
void take_head(owner_state& state, owner_context& ctx, backend_head head);
void take_chunk(owner_state& state, owner_context& ctx, backend_chunk chunk);
void take_end(owner_state& state, owner_context& ctx, backend_end const& end);
void take_failure(owner_state& state, owner_context& ctx,
                  backend_failed failure);

/// Records what became of a request that must run at most once.
void remember_outcome(owner_state& state, owned_attempt const& attempt,
                      outcome known);

// claim_events.cpp

void take_claim(owner_state& state, owner_context& ctx,
                claim_result const& result);
void take_release(owner_state& state, owner_context& ctx,
                  release_result const& result);

// suspects.cpp

/// A connection closed with this attempt in flight.
void note_closed(owner_state& state, owner_context& ctx, owned_server& server,
                 owned_attempt const& attempt);

/// The server is known to have died: its closed bodies become suspects.
void note_death(owner_state& state, owner_context& ctx, owned_server& server);

/// A suspect body completed.
void clear_suspect(owner_state& state, std::uint64_t body);

/// Takes over what another router found out.
void take_notice(owner_state& state, owner_context& ctx,
                 quarantine_update const& notice);

// owner_status.cpp

/// State as JSON text.
std::string status_text(owner_state const& state, time_point at);

/// Number from 0 to 1 that differs from call to call; seeded.
double draw_unit(owner_state& state);

} // namespace bramleyarch::services::owning

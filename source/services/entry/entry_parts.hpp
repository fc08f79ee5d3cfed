/// Parts of the entry service; used by its own files only.
#pragma once

#include "services/entry/entry_service.hpp"

namespace bramleyarch::services
{

/// Takes over the servers of a new deployment.
void take_servers(entry_state& state, time_point at);

/// Server of a request's current attempt; null when it is not listed any more.
server_view* server_of(entry_state& state, entry_request const& r);

/// Requests of the other routers at the server, as last told.
std::uint32_t peers_at(entry_state const& state, server_view const& server);

/// Number of routers, this one included.
std::uint32_t fleet_of(entry_state const& state);

/// The server failed an attempt: leaves it out for a while. What fails while it
/// is left out belongs to the same failure.
void note_failure(entry_state& state, server_view& server, time_point at,
                  std::string_view reason);

/// The server answered.
void note_answer(server_view& server);

/// Chooses a server and sends the request there; refuses it when none can
/// serve it in time. The request may be over afterwards.
void send_attempt(entry_state& state, entry_context& ctx, entry_request& r);

/// Looks after a current attempt that has given no byte: its server may be
/// unreachable, or only busy.
void check_silence(entry_state& state, entry_context& ctx, entry_request& r);

/// Probes the servers that are left out, so that no request has to.
void probe_left_out(entry_state& state, time_point at);

/// Probes the servers of streams that have paused for long.
void check_pauses(entry_state& state, time_point at);

/// A probe's result: a server that can't be reached loses its requests, as far
/// as they may go on elsewhere.
void take_probe(entry_state& state, entry_context& ctx,
                server_probed const& probed);

/// Stops waiting for the current attempt and tells its server so.
void drop_attempt(entry_state& state, entry_context& ctx, entry_request& r);

/// Handles an event of an attempt.
void take_attempt_event(entry_state& state, entry_context& ctx,
                        attempt_event event);

/// What a request that is sent again has in common with its first sending.
std::uint64_t fingerprint_of(routed_request const& request);

/// Whether the request took down too many servers.
bool takes_servers_down(entry_state const& state, entry_request const& r,
                        time_point at);

/// The server may have gone down with the request in flight.
void suspect_request(entry_state& state, entry_request const& r,
                     server_view const& view, time_point at);

/// The request completed, so it takes no server down.
void clear_suspicion(entry_state& state, entry_request const& r);

/// Tries another server after a failed attempt, or ends the request.
void try_again(entry_state& state, entry_context& ctx, entry_request& r,
               error cause);

/// Ends the request without a complete answer. `r` is gone afterwards.
void end_request(entry_state& state, entry_context& ctx, entry_request& r,
                 error cause, duration retry_after = {});

/// Forgets a request. `r` is gone afterwards.
void forget(entry_state& state, entry_context& ctx, entry_request& r);

/// A multiple of the request's latency target, at least `floor`.
duration of_target(entry_request const& r, double targets, duration floor);

/// Whether a server that the request has not tried can be sent it now.
bool has_alternative(entry_state& state, entry_request const& r, time_point at);

/// Time between now and the caller's deadline, less the way back.
duration time_left(entry_state const& state, entry_request const& r,
                   time_point at);

/// The time for which a caller should wait before it comes again: spread, so
/// that callers refused together do not return together.
duration retry_hint(entry_state& state, duration least);

} // namespace bramleyarch::services

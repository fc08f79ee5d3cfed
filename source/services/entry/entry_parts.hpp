/// Functions shared by the source files of the entry service only.
#pragma once

#include "services/entry/entry_service.hpp"

namespace bramleyarch::services
{

/// All parts of an answer are sent to the caller under this attempt number,
/// even if several attempts contributed to it.
inline constexpr std::uint32_t answer_attempt_number = 1;

/// Returns the id under which an answer is sent to its caller.
inline attempt_id answer_id(entry_request const& request)
{
    return {request.routed.id, answer_attempt_number};
}

/// Returns whether the status of an answer says that the request succeeded.
constexpr bool is_success(int status)
{
    return status >= 200 && status < 300;
}

/// Updates the list of servers from the current deployment.
void update_servers(entry_state& state, time_point at);

/// Returns whether the server may get requests of the service, apart from what
/// changes with time.
bool is_in_use(entry_state const& state, service_id const& service,
               backend_server const& server);

/// Returns the time until the server accepts a request of this router, as far
/// as it has asked for a pause or stated a limit; std::nullopt: other routers
/// use all of its limit.
std::optional<duration> time_to_accept(entry_state const& state,
                                       backend_server const& server,
                                       time_point at);

/// Returns the server of the request's current attempt, or nullptr if the
/// deployment no longer lists it.
backend_server* find_current_server(entry_state& state,
                                    entry_request const& request);

/// Records the load that the head of an answer of the server reports. Counts
/// malformed reports by cause and logs the first one of each server.
void record_load_report(entry_state& state, backend_server& server,
                        parsed_head const& head, time_point at);

/// Records the limit on requests that the head of an answer states, or its end.
void record_stated_limit(entry_state& state, entry_request const& request,
                         parsed_head const& head, time_point at);

/// Returns the limit of the server as a field of a log line, or an empty text
/// if it states none.
std::string limit_text(entry_state const& state, backend_server const& server);

/// Records the paces of servers that a heartbeat carries.
void record_peer_paces(entry_state& state,
                       decisions::peer_heartbeat const& heartbeat,
                       time_point at);

/// Records the time since the last byte of a stream, or since its attempt
/// started, as a measure of the server's pace. Called before `last_byte_at`
/// is updated.
void record_byte_time(entry_state& state, backend_server const& server,
                      entry_request const& request, time_point at);

/// Chooses one of the candidates, by expected work and pace if a server of the
/// service has stated its pace lately. Sets the members of `candidates` that
/// this needs.
std::optional<decisions::server_choice>
choose_server(entry_state& state, entry_request& request,
              std::vector<decisions::server_candidate>& candidates, double mean,
              std::optional<decisions::shared_prefix> const& prefix,
              time_point at);

/// Returns the priority that the request states towards the server, if any.
std::optional<std::uint32_t> priority_of(entry_state const& state,
                                         entry_request const& request);

/// Returns the inputs of the choice of `server` as fields of a log line, or an
/// empty text if they did not include a pace.
std::string pace_text(entry_state const& state, entry_request const& request,
                      backend_server const& server, time_point at);

/// Returns the number of requests that the other routers last reported to have
/// in flight at the server.
std::uint32_t remote_in_flight(entry_state const& state,
                               backend_server const& server);

/// Returns the number of routers in the fleet, including this one.
std::uint32_t router_count(entry_state const& state);

/// Returns a hash that identifies one run of the server, from its start to its
/// end.
std::uint64_t run_of(backend_server const& server);

/// Ejects the server after a failed attempt or probe. Failures before the next
/// probe is due count as part of the same failure.
void record_server_failure(entry_state& state, backend_server& server,
                           time_point at, std::string_view reason);

/// Resets the failure count of a server that answered and ends its ejection.
void record_server_answer(backend_server& server);

/// Takes over orders, statuses and versions from the current deployment.
void update_rollouts(entry_state& state, time_point at);

/// Takes over the list of routers.
void update_rollout_routers(entry_state& state);

/// Adds the evidence on rollouts that a heartbeat carries.
void apply_rollout_evidence(entry_state& state,
                            decisions::peer_heartbeat const& heartbeat,
                            time_point at);

/// Adopts the status of a rollout that the store holds.
void apply_rollout_status(entry_state& state,
                          config::rollout_status const& status, time_point at);

/// Moves each rollout to its next step, sends decisions to the store service
/// and adds the evidence to the report.
void check_rollouts(entry_state& state, local_load_report& report,
                    time_point at);

/// Chooses whether the next attempt goes to the new version of a rollout.
void choose_version(entry_state& state, entry_request& request, time_point at);

/// Lets the next attempt go to the old version instead. Returns false if it was
/// to go there anyway.
bool leave_new_version(entry_request& request);

/// Returns whether the next attempt may go to the version of the server.
bool may_run_at(entry_state const& state, entry_request const& request,
                backend_server const& server);

/// Counts an attempt that is sent now.
void record_rollout_send(entry_state& state, entry_request& request,
                         backend_server const& server, time_point at);

/// Counts the time to the first byte of the current attempt's answer.
void record_rollout_first_byte(entry_state& state, entry_request& request,
                               time_point at);

/// Counts the end of the current attempt: an answer, unless it has a status of
/// a server error or `failed` is set.
void record_rollout_end(entry_state& state, entry_request& request, bool failed,
                        time_point at);

/// Counts an attempt that ends without an answer as slow if it was.
void record_rollout_silence(entry_state& state, entry_request& request,
                            time_point at);

/// Chooses a server and sends the request there. Fails the request, which
/// removes `request`, if no server can answer it in time.
void send_attempt(entry_state& state, entry_context& ctx,
                  entry_request& request);

/// Returns whether the request waits, or has failed and was removed, because
/// its service is short of room; false if it is to be sent now. Never waits
/// with `waiting_mode::off`.
bool must_wait(entry_state& state, entry_context& ctx, entry_request& request);

/// Sends the requests of a service that wait and may be sent now, and rejects
/// those that cannot be served in time.
void send_waiting(entry_state& state, entry_context& ctx,
                  service_id const& service);

/// Takes a request that is removed out of its queue.
void remove_from_waiting(entry_state& state, entry_request const& request);

/// Rejects a request that still waits at its deadline, and removes it. Returns
/// false if it does not wait.
bool reject_expired_waiting(entry_state& state, entry_context& ctx,
                            entry_request& request);

/// Rejects all requests that wait: this router stops.
void reject_all_waiting(entry_state& state, entry_context& ctx);

/// Records how long the current attempt took, and lets others go.
void record_attempt_end(entry_state& state, entry_context& ctx,
                        entry_request const& request);

/// Records the demands of another router, or of its domain.
void record_demands(entry_state& state, entry_context& ctx,
                    decisions::peer_heartbeat const& heartbeat);

/// Records the list of the other routers.
void record_fleet(entry_state& state, time_point at);

/// Adds the demands at this router and in its domain to a report.
void add_demands(entry_state& state, entry_context& ctx,
                 local_load_report& report);

/// Returns whether and how the request is sent now. A stream that goes on
/// elsewhere is sent in any case, since it would be cut off otherwise.
decisions::stop_admission admission_of(entry_state const& state,
                                       entry_request const& request,
                                       time_point at);

/// Returns whether an attempt that replaces another one is expected to end
/// before a stop does; the other one may still be answered.
bool ends_before_stop(entry_state const& state, entry_request const& request,
                      time_point at);

/// Logs what decided whether a request is sent during a stop.
void log_stop_admission(entry_state& state, entry_request const& request,
                        decisions::stop_admission admission, time_point at);

/// Handles the silence timer of an attempt that has received no byte. On the
/// first expiry the server is probed if it has sent nothing at all since the
/// attempt started, as it may be unreachable or only busy. On the second one
/// the request is retried at another server.
void handle_silence_timeout(entry_state& state, entry_context& ctx,
                            entry_request& request);

/// Probes the server, unless a probe is in flight.
void send_probe(entry_state& state, backend_server& server, time_point at);

/// Probes the ejected servers whose next probe is due, so that no request has
/// to be risked to find out whether they are reachable.
void probe_ejected_servers(entry_state& state, time_point at);

/// Probes the servers of streams that have sent nothing for longer than the
/// expected gap between events.
void probe_stalled_streams(entry_state& state, time_point at);

/// Handles the result of a probe. If the server is unreachable, its silent
/// requests that can be retried are sent to other servers.
void handle_probe_result(entry_state& state, entry_context& ctx,
                         server_probed const& probed);

/// Aborts the current attempt, if there is one, at its server.
void abort_current_attempt(entry_state& state, entry_context& ctx,
                           entry_request& request);

/// Ends the current attempt here, without aborting it at its server.
void release_attempt(entry_state& state, entry_context& ctx,
                     entry_request& request);

/// Handles an event of an attempt or the result of a probe.
void handle_attempt_event(entry_state& state, entry_context& ctx,
                          attempt_event event);

/// Discards an answer that must not be forwarded and retries the request if
/// that is allowed.
void reject_answer(entry_state& state, entry_context& ctx,
                   entry_request& request, answer_kind kind, int status);

/// Discards an answer that does not go on with the stream which the caller has
/// received a part of, and tries another server if that is allowed.
void reject_continuation(entry_state& state, entry_context& ctx,
                         entry_request& request, std::string_view reason);

/// Counts an answer that was broken off, by where that was.
void count_broken_answer(entry_state& state, backend_failed const& failed);

/// Returns a hash that is equal for a request and its repeats by the caller.
std::uint64_t request_fingerprint(routed_request const& request);

/// Returns whether the request is refused because too many servers crashed
/// while it, or requests that share a part of its prompt, were in flight.
bool is_quarantined(entry_state const& state, entry_request const& request,
                    time_point at);

/// Ends a request that is refused because servers crashed while it was in
/// flight, and removes it.
void refuse_crashing_request(entry_state& state, entry_context& ctx,
                             entry_request& request);

/// Returns whether the request may be sent although it is refused, as the one
/// that finds out whether the parts of its prompt are sound.
bool start_trial(entry_state& state, entry_request& request, time_point at);

/// Records that the server may have crashed while it answered the request, and
/// probes it to find out. `is_answered` says that the answer is whole if it has
/// not.
void record_possible_crash(entry_state& state, entry_request const& request,
                           backend_server& server, bool is_answered,
                           time_point at);

/// Records that the possible crashes of the server were crashes, reports them
/// to the other routers, and ends the requests that are refused now.
void confirm_crashes(entry_state& state, entry_context& ctx,
                     server_id const& server);

/// Discards the possible crashes of a server before the probe that has reached
/// it, and clears the requests that it has answered. Probes it again if there
/// are later ones. Returns whether any of the answers was broken.
bool discard_crashes(entry_state& state, backend_server& server, time_point at);

/// Confirms the possible crashes of servers that have started again, and
/// discards those of servers that are gone.
void confirm_crashes_of_ended_runs(entry_state& state, entry_context& ctx);

/// Clears the parts of the prompt of a request whose answer is whole or past
/// its start, and reports this to routers that may suspect them.
void clear_prompt_suspects(entry_state& state,
                           std::vector<prompt_part> const& prompt,
                           time_point at);

/// Clears the request and the parts of its prompt, whose answer is whole. If
/// only the close of the connection has ended it, the server is probed first:
/// it may have crashed.
void record_whole_answer(entry_state& state, entry_request const& request,
                         bool by_close, time_point at);

/// Ends the requests in flight that are refused because of a part of their
/// prompt, unless their answer has begun.
void end_refused_requests(entry_state& state, entry_context& ctx);

/// Retries the request at another server after a failed attempt, or fails it
/// with `cause` if it must not or cannot be retried. `request` may have been
/// removed on return.
void retry_or_fail(entry_state& state, entry_context& ctx,
                   entry_request& request, error cause);

/// Returns whether another server may go on with what the caller has received:
/// nothing, or whole events of a stream that may be resumed.
bool can_go_on_elsewhere(entry_request const& request);

/// Ends a request whose answer is complete, and removes it. `by_close` says
/// that only the close of the connection has ended the answer.
void complete_request(entry_state& state, entry_context& ctx,
                      entry_request& request, bool by_close);

/// Ends the request without a complete answer and removes it.
void fail_request(entry_state& state, entry_context& ctx,
                  entry_request& request, error cause,
                  duration retry_after = {});

/// Cancels the request's timers and removes it; `request` is invalid on return.
void remove_request(entry_state& state, entry_context& ctx,
                    entry_request& request);

/// Returns `factor` times the request's latency target, but at least `least`.
duration scaled_latency_target(entry_request const& request, double factor,
                               duration least);

/// Returns whether the request can be sent now to a server that it has not
/// tried, and be answered before a planned stop ends.
bool has_untried_server(entry_state& state, entry_request const& request,
                        time_point at);

/// Returns the time until the caller's deadline, less the margin for returning
/// the answer.
duration remaining_time(entry_state const& state, entry_request const& request,
                        time_point at);

/// Returns a random Retry-After between `least` and twice that, so that callers
/// refused together do not return together.
duration jittered_retry_after(entry_state& state, duration least);

} // namespace bramleyarch::services

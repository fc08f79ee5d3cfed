/// Routing service of fleets in which each router admits the requests that it
/// receives: it chooses a backend server, sends the request and forwards the
/// answer to the caller. It replaces the services "routing" and "owner" and is
/// registered under the name "routing".
#pragma once

#include "decisions/answer_times.hpp"
#include "decisions/crash_history.hpp"
#include "decisions/crashing_parts.hpp"
#include "decisions/event_cursor.hpp"
#include "decisions/fleet_share.hpp"
#include "decisions/hot_prompt.hpp"
#include "decisions/prompt_copy.hpp"
#include "decisions/remote_loads.hpp"
#include "decisions/request_limits.hpp"
#include "decisions/server_announcements.hpp"
#include "decisions/server_choice.hpp"
#include "decisions/server_model.hpp"
#include "decisions/stop_admission.hpp"
#include "kernel/service.hpp"
#include "services/entry/backend_dialect.hpp"
#include "services/entry/rollout_parts.hpp"
#include "services/entry/waiting.hpp"
#include "services/messages/backend.hpp"
#include "services/messages/owner.hpp"
#include "services/messages/peers.hpp"
#include "services/messages/routing.hpp"
#include "services/messages/store.hpp"
#include "services/telemetry/telemetry.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace bramleyarch::services
{

struct entry_options
{
    router_id self;
    domain_id domain;
    std::uint64_t seed = 0;
    backend_dialect dialect;
    decisions::retry_share_options retry_share;
    decisions::cold_share_options cold_share;
    decisions::server_choice_options server_choice;
    decisions::work_choice_options work_choice;
    config::server_priority_mode server_priorities =
        config::server_priority_mode::off;
    decisions::prompt_copy_options prompt_copy;
    decisions::hot_prompt_options hot_prompt;
    /// Answers that are not streams are buffered until they are complete, up to
    /// this size, so that another server can still answer if one is cut off.
    /// Also the longest event of a stream.
    std::size_t max_buffered_answer_bytes = 256U << 10;
    /// Bytes of an answer that may be in flight to its caller.
    std::uint32_t answer_credit = initial_credit_bytes;
    /// Bytes of all answers that are kept back at the same time. An answer
    /// beyond this ends as an error.
    std::size_t max_held_bytes = 16U << 20;
    decisions::stop_admission_options stop_admission;
    decisions::exposure_limits exposure;
    /// Subtracted from the caller's deadline to leave time for returning the
    /// answer.
    duration deadline_margin = std::chrono::milliseconds{20};
    /// An attempt without a first byte is retried at another server, if the
    /// request is idempotent, after this multiple of the latency target, but
    /// not before `min_first_byte_timeout`.
    double first_byte_target_factor = 2.5;
    duration min_first_byte_timeout = std::chrono::milliseconds{250};
    /// A server that has sent nothing at all since an attempt started is probed
    /// after this fraction of the latency target, but not before `min_silence`,
    /// which is well above the usual response time of a server.
    double silence_target_factor = 0.25;
    duration min_silence = std::chrono::milliseconds{120};
    /// Connect timeout of a probe; many times a round trip.
    duration probe_timeout = std::chrono::milliseconds{150};
    /// A server that failed is ejected until a probe reaches it. The first
    /// probe is sent after `base_ejection_time`; the interval doubles with each
    /// further failure, up to `max_ejection_time`.
    duration base_ejection_time = std::chrono::milliseconds{400};
    duration max_ejection_time = std::chrono::seconds{2};
    /// Lower bound of Retry-After. The value that is sent is spread at random
    /// up to twice this, so that refused callers do not all return at once.
    duration min_retry_after = std::chrono::milliseconds{250};
    /// Retry-After of a request that is refused because servers crashed while
    /// it was in flight.
    duration quarantine_retry_after = std::chrono::seconds{5};
    /// A server that closes a kept connection within this time after a request
    /// was sent on it may have closed it before the request arrived. Covers
    /// the way to the server and back, and a loop that is busy.
    duration max_stale_close_delay = std::chrono::milliseconds{50};
    /// Interval between reports of local loads to the other routers.
    duration report_interval = std::chrono::milliseconds{250};
    decisions::remote_loads_options remote_loads;
    waiting_mode waiting = waiting_mode::off;
};

/// A backend server as this router sees it.
struct backend_server
{
    config::listed_server listed; ///< Its entry in the deployment.
    std::uint64_t hash = 0;       ///< Hash of the server's id.
    /// Attempts of this router that are in flight at the server.
    std::uint32_t local_in_flight = 0;
    /// A malformed report of its load has been logged.
    bool bad_report_logged = false;
    /// A malformed limit on its requests has been logged.
    bool bad_limit_logged = false;
    time_point cold_until{};
    /// Earliest time of the next request while the server is cold.
    time_point next_cold_send_at{};
    /// The server failed and no probe or answer has succeeded since.
    bool ejected = false;
    time_point next_probe_at{}; ///< Only used while the server is ejected.
    std::uint32_t consecutive_failures = 0;
    /// Time of the last byte of any answer or of the last successful probe.
    time_point last_response_at{};
    bool probe_in_flight = false;
    time_point probe_sent_at{}; ///< Of the last probe.
    /// Another server answers at this server's address.
    bool misdirected = false;
};

enum class request_stage
{
    awaiting_answer,   ///< Nothing has been forwarded to the caller yet.
    forwarding_answer, ///< The head has been forwarded.
};

/// A request that a front end submitted.
struct entry_request
{
    routed_request routed;
    answer_sink reply;
    request_stage stage = request_stage::awaiting_answer;
    /// Number of the current attempt, starting at 1; 0: no attempt yet.
    std::uint32_t attempt_number = 0;
    /// Attempts that were sent to a server. Those that it rejected as
    /// misdirected are not counted.
    std::uint32_t sent_attempts = 0;
    /// True once a server may have executed the request.
    bool may_have_run = false;
    /// The answer is kept back until it is whole, since the end of a stop could
    /// cut it.
    bool is_held = false;
    /// It finds out whether a part of its prompt is sound.
    bool is_trial = false;
    /// Server of the current attempt; empty when no attempt is in flight.
    server_id current_server;
    /// Hash of the run of the server that the last attempt was sent to.
    std::uint64_t server_run = 0;
    std::vector<server_id> tried_servers;
    time_point attempt_started_at{};
    /// Prompt tokens that the server of the current attempt is expected to
    /// read; zero if the servers of the service state no pace.
    double tokens_to_read = 0;
    /// Time of the last byte received in the current attempt, or of its start.
    time_point last_byte_at{};
    /// Selects what the silence timer means: false, the server may have to be
    /// probed; true, the first byte is overdue.
    bool awaiting_first_byte_timeout = false;
    /// Head of the current answer while it has not been forwarded.
    std::optional<backend_head> buffered_head;
    std::string buffered_body; ///< Body bytes that follow `buffered_head`.
    decisions::event_cursor cursor;
    /// Time at which the head was forwarded or, of a stream that is kept back,
    /// its first byte arrived.
    time_point first_byte_at{};
    /// Status and media type of the head that was forwarded.
    int forwarded_status = 0;
    std::string forwarded_type;
    int attempt_status = 0;          ///< Of the current attempt's answer.
    std::uint64_t attempt_bytes = 0; ///< Of the current attempt's answer.
    decisions::answer_in_progress attempt_answer; ///< If its status is 2xx.
    std::uint64_t forwarded_chunks = 0;
    std::uint64_t forwarded_bytes = 0;
    /// The next attempt goes to the new version of a rollout.
    bool wants_new_version = false;
    /// Set while the current attempt is evidence on a rollout.
    std::optional<rollout_attempt> rollout;
    error last_failure{};
    waiting_stage waiting = waiting_stage::none;
    kernel::timer_id deadline_timer = 0;
    kernel::timer_id silence_timer = 0;
};

/// A connection that a server closed after a request was sent on it, before the
/// end of the answer or as its end. It shows a crash only if the server's run
/// has ended.
struct possible_crash
{
    server_id server;
    std::uint64_t run = 0; ///< Hash of the server's run.
    request_id request;
    std::uint64_t fingerprint = 0;
    /// Empty if the answer was past its start.
    std::vector<prompt_part> prompt;
    int status = 0;           ///< Of the answer, 0: none has begun.
    bool is_answered = false; ///< The answer is whole if the server runs on.
    time_point at{};
};

struct entry_state
{
    entry_options options;
    std::shared_ptr<config::deployment const> deployment;
    std::map<server_id, backend_server> servers;
    std::unordered_map<request_id, entry_request> requests;
    std::map<service_id, decisions::retry_share> retry_shares;
    std::map<service_id, decisions::recent_prompts> recent_prompts;
    decisions::remote_loads remote_loads;
    decisions::server_model server_model;
    decisions::crash_history crashes;
    decisions::crashing_parts crashing_parts;
    std::vector<possible_crash> possible_crashes; ///< Oldest first.
    decisions::server_announcements announcements;
    decisions::request_limits request_limits;
    service_rollouts rollouts;
    bool knows_versions = false; ///< Servers have been listed.
    std::vector<router_id> other_routers;
    kernel::address<backend_message> backend;
    kernel::address<peers_message> peers_service;
    kernel::address<store_message> store_service;
    telemetry telemetry_sink;
    std::mt19937_64 random;
    decisions::answer_times answer_times;
    waiting_state waiting;
    int ticks = 0;
    bool draining = false;
    /// Time by which a planned stop ends, while there is one.
    std::optional<time_point> end_by;
    time_point stop_began{}; ///< Only used with `end_by`.
};

using entry_context = kernel::context<routing_message>;
using entry_service = kernel::service<entry_state, routing_message>;

/// Replaces the limits that all routers of the fleet share.
void apply_shared_limits(entry_options& options,
                         config::shared_limit_settings const& limits);

entry_service make_entry_service(entry_options options);

} // namespace bramleyarch::services

/// Messages between the entry side of a request and the owner of a backend
/// server, within one process or over a fleet link.
#pragma once

#include "common/counters.hpp"
#include "common/request.hpp"
#include "services/messages/shared.hpp"

#include <cstdint>
#include <variant>

namespace bramleyarch::services
{

/// Asks the owner of `server` to run one attempt of a request there.
struct offer
{
    attempt_id attempt;
    server_id server;
    revision config_version = 0; ///< Version that the entry router ranked with.
    routed_request request;
    /// The entry router has no better candidate: wait in the queue rather
    /// than redirect when the server is busy.
    bool may_queue = false;
    /// The server holds the chat's prefix: the request may wait there for a
    /// short while even when the server is at the bound over the mean.
    bool may_wait_at_bound = false;
    /// A server closed an earlier attempt of this request: run it alone.
    bool must_run_alone = false;
};

/// The entry router no longer wants the answer.
struct cancel_attempt
{
    attempt_id attempt;
};

/// The entry router can take `bytes` more of the answer.
struct grant_credit
{
    attempt_id attempt;
    std::uint32_t bytes = 0;
};

/// What an entry router sends to an owner.
using owner_request = std::variant<offer, cancel_attempt, grant_credit>;

/// The offer was not taken and nothing was sent for it: try elsewhere.
struct redirect
{
    attempt_id attempt;
    error_kind cause = error_kind::queue_full;
    server_load load; ///< Exact load at the owner.
    duration retry_after{};
};

/// The attempt is admitted; its answer or an error will follow.
struct admitted
{
    attempt_id attempt;
    server_load load;
};

/// What an owner sends to an entry router.
using owner_reply = std::variant<redirect, admitted, answer_head, answer_chunk,
                                 answer_end, answer_error>;

/// Bytes of an answer that may be in flight before the first grant.
constexpr std::uint32_t initial_credit_bytes = 256U << 10;

/// An owner request with the router that sent it (may be this one).
struct owner_request_received
{
    router_id origin;
    owner_request request;
};

/// The connection to the backend server stands and bytes will now be sent.
struct backend_send_started
{
    attempt_id attempt;
};

/// Status line and headers of the backend server's answer.
struct backend_head
{
    attempt_id attempt;
    int status = 0;
    std::vector<header_field> headers;
};

/// Body bytes of the backend server's answer.
struct backend_chunk
{
    attempt_id attempt;
    std::string bytes;
};

/// The backend server's answer is complete.
struct backend_end
{
    attempt_id attempt;
};

/// The attempt ended without a complete answer.
struct backend_failed
{
    attempt_id attempt;
    error cause;
    bool sent = true; ///< False: no byte of the request can have left.
    /// A kept connection gave no byte of an answer: it may have been closed
    /// before the request came.
    bool kept_connection = false;
};

/// Whether a server could be connected to.
struct server_probed
{
    server_id server;
    bool reachable = false;
};

/// What happens to attempts that were dispatched, and what probes found.
using attempt_event =
    std::variant<server_probed, backend_send_started, backend_head,
                 backend_chunk, backend_end, backend_failed>;

/// Load that a backend server stated about itself.
struct server_load_report
{
    server_id server;
    std::uint64_t server_incarnation = 0; ///< 0: not stated.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool cold = false;
    std::uint32_t age_ms = 0; ///< Lag that the server states.
};

/// A load report could not be read.
struct server_load_report_failed
{
    server_id server;
    error cause;
};

enum class claim_state
{
    won,              ///< The attempt may be sent.
    already_running,  ///< Another attempt holds the key, no outcome yet.
    already_finished, ///< Another attempt recorded an outcome.
    refused,          ///< The platform is down; nothing was written.
    uncertain,        ///< Written or not: can't be told.
    expired,          ///< The key is older than the retention.
};

constexpr auto enum_names(claim_state)
{
    using c = claim_state;
    using row = enum_name<claim_state>;
    return std::array{
        row{c::won, "won"},
        row{c::already_running, "already_running"},
        row{c::already_finished, "already_finished"},
        row{c::refused, "refused"},
        row{c::uncertain, "uncertain"},
        row{c::expired, "expired"},
    };
}

/// Reply to `claim_key`.
struct claim_result
{
    attempt_id attempt;
    claim_state state = claim_state::uncertain;
    outcome recorded = outcome::unknown; ///< For `already_finished`.
};

/// Reply to `release_key`.
struct release_result
{
    attempt_id attempt;
    bool confirmed = false; ///< True: the key can be claimed again.
};

/// Delivered by the owner's own timers.
struct owner_tick
{
};

using owner_message =
    std::variant<owner_request_received, backend_send_started, backend_head,
                 backend_chunk, backend_end, backend_failed, server_load_report,
                 server_load_report_failed, claim_result, release_result,
                 config_changed, members_changed, quarantine_update, link_lost,
                 drain_started, status_query, owner_tick, idle_query,
                 loads_changed>;

} // namespace bramleyarch::services

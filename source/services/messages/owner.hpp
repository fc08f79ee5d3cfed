/// Messages between the entry router, which received a request, and the router
/// that owns a backend server. Both may be the same router; otherwise the
/// messages travel over a fleet link.
#pragma once

#include "common/answer_progress.hpp"
#include "common/counters.hpp"
#include "common/request.hpp"
#include "services/messages/shared.hpp"

#include <cstdint>
#include <variant>

namespace bramleyarch::services
{

/// Offers one attempt of a request to the owner of `server`.
struct offer
{
    attempt_id attempt;
    server_id server;
    /// Version of the configuration that the entry router ranked with.
    revision config_version = 0;
    routed_request request;
    /// The request may wait in the owner's queue when the server is busy,
    /// since the entry router has no better candidate. Otherwise the owner
    /// redirects it.
    bool may_queue = false;
    /// The request may wait for a short time when the server is at its bound
    /// over the mean load, since the server holds the chat's prefix.
    bool may_wait_at_bound = false;
    /// The request must run alone on the server: a server closed the
    /// connection of an earlier attempt, and the request may have crashed it.
    bool must_run_alone = false;
};

/// Cancels an attempt whose answer the entry router no longer needs.
struct cancel_attempt
{
    attempt_id attempt;
};

/// Allows the owner to send `bytes` more bytes of an attempt's answer.
struct grant_credit
{
    attempt_id attempt;
    std::uint32_t bytes = 0;
};

/// Any message from an entry router to an owner.
using owner_request = std::variant<offer, cancel_attempt, grant_credit>;

/// The owner did not accept the offer and sent nothing to the server. The
/// entry router may offer the request elsewhere.
struct redirect
{
    attempt_id attempt;
    error_kind cause = error_kind::queue_full;
    server_load load; ///< Exact load as the owner counts it.
    duration retry_after{};
};

/// The owner admitted the attempt. Its answer or an error follows.
struct admitted
{
    attempt_id attempt;
    server_load load;
};

/// Any message from an owner to an entry router.
using owner_reply = std::variant<redirect, admitted, answer_head, answer_chunk,
                                 answer_end, answer_error>;

/// Bytes of an answer that may be in flight before the first `grant_credit`.
constexpr std::uint32_t initial_credit_bytes = 256U << 10;

/// An owner request, with the router that sent it, which may be this one.
struct owner_request_received
{
    router_id origin;
    owner_request request;
};

/// The connection to the backend server is established, and the request is
/// about to be written.
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
    /// Only the close of the connection has ended it, so a server that crashed
    /// may have cut it.
    bool by_close = false;
};

/// The attempt ended without a complete answer.
struct backend_failed
{
    attempt_id attempt;
    error cause;
    bool sent = true; ///< False if no byte of the request can have been sent.
    /// The attempt reused an idle connection and received no byte of an
    /// answer. The server may have closed the connection before the request
    /// arrived.
    bool kept_connection = false;
    answer_progress progress = answer_progress::none;
};

/// Reply to `probe_server`: whether a connection could be established.
struct server_probed
{
    server_id server;
    bool reachable = false;
    /// False if this instance could open no connection, which says nothing of
    /// the server.
    bool attempted = true;
};

/// Progress of dispatched attempts, and results of probes.
using attempt_event =
    std::variant<server_probed, backend_send_started, backend_head,
                 backend_chunk, backend_end, backend_failed>;

/// Load that a backend server reported about itself.
struct server_load_report
{
    server_id server;
    std::uint64_t server_incarnation = 0; ///< 0 if the report has none.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool cold = false;
    std::uint32_t age_ms = 0; ///< Age of the figures, as reported.
};

/// A load report could not be read.
struct server_load_report_failed
{
    server_id server;
    error cause;
};

/// Result of an attempt to claim an idempotency key.
enum class claim_state
{
    won,              ///< The attempt may be sent.
    already_running,  ///< Another attempt holds the key, without an outcome.
    already_finished, ///< Another attempt recorded an outcome.
    refused,          ///< Nothing was written; the platform is unavailable.
    uncertain,        ///< The claim may or may not have been written.
    expired,          ///< The key is older than the retention time.
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
    outcome recorded = outcome::unknown; ///< Only for `already_finished`.
};

/// Reply to `release_key`.
struct release_result
{
    attempt_id attempt;
    bool confirmed = false; ///< True if the key can be claimed again.
};

/// Delivered by the owner service's own timers.
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

/// Error kinds shared by all packages; each message names the remedy.
#pragma once

#include "common/enum_names.hpp"

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>

namespace bramleyarch
{

enum class error_kind
{
    invalid_settings,
    invalid_config,
    invalid_request,
    unauthorized,
    not_found,
    body_too_large,
    header_too_large,
    too_many_connections,
    request_timeout,
    idempotency_key_missing,
    idempotency_key_invalid,
    idempotency_key_expired,
    already_running,
    already_finished,
    claim_uncertain,
    platform_unavailable,
    platform_timeout,
    revision_conflict,
    stale_fencing_number,
    team_limit_exceeded,
    queue_full,
    deadline_exceeded,
    no_eligible_server,
    retry_budget_exhausted,
    quarantined,
    draining,
    not_ready,
    server_connect_failed,
    server_closed,
    server_silent,
    server_protocol,
    owner_lost,
    link_protocol,
    answer_incomplete,
    caller_gone,
    io_failure,
    submit_uncertain,
};

constexpr auto enum_names(error_kind)
{
    using k = error_kind;
    using row = enum_name<error_kind>;
    return std::array{
        row{k::invalid_settings, "invalid_settings"},
        row{k::invalid_config, "invalid_config"},
        row{k::invalid_request, "invalid_request"},
        row{k::unauthorized, "unauthorized"},
        row{k::not_found, "not_found"},
        row{k::body_too_large, "body_too_large"},
        row{k::header_too_large, "header_too_large"},
        row{k::too_many_connections, "too_many_connections"},
        row{k::request_timeout, "request_timeout"},
        row{k::idempotency_key_missing, "idempotency_key_missing"},
        row{k::idempotency_key_invalid, "idempotency_key_invalid"},
        row{k::idempotency_key_expired, "idempotency_key_expired"},
        row{k::already_running, "already_running"},
        row{k::already_finished, "already_finished"},
        row{k::claim_uncertain, "claim_uncertain"},
        row{k::platform_unavailable, "platform_unavailable"},
        row{k::platform_timeout, "platform_timeout"},
        row{k::revision_conflict, "revision_conflict"},
        row{k::stale_fencing_number, "stale_fencing_number"},
        row{k::team_limit_exceeded, "team_limit_exceeded"},
        row{k::queue_full, "queue_full"},
        row{k::deadline_exceeded, "deadline_exceeded"},
        row{k::no_eligible_server, "no_eligible_server"},
        row{k::retry_budget_exhausted, "retry_budget_exhausted"},
        row{k::quarantined, "quarantined"},
        row{k::draining, "draining"},
        row{k::not_ready, "not_ready"},
        row{k::server_connect_failed, "server_connect_failed"},
        row{k::server_closed, "server_closed"},
        row{k::server_silent, "server_silent"},
        row{k::server_protocol, "server_protocol"},
        row{k::owner_lost, "owner_lost"},
        row{k::link_protocol, "link_protocol"},
        row{k::answer_incomplete, "answer_incomplete"},
        row{k::caller_gone, "caller_gone"},
        row{k::io_failure, "io_failure"},
        row{k::submit_uncertain, "submit_uncertain"},
    };
}

/// HTTP status and remedy of an error kind.
struct error_traits
{
    error_kind kind;
    int http_status;
    std::string_view remedy; ///< What the receiver can do about it.
};

/// Row of the error table for `kind`.
error_traits const& traits_of(error_kind kind);

/// An error with the detail of this occurrence.
struct error
{
    error_kind kind = error_kind::io_failure;
    std::string detail;
};

/// One line: kind, detail and remedy.
std::string describe(error const& e);

/// Value or error. Access without a check terminates the process.
template <class T>
using result =
    boost::outcome_v2::basic_result<T, error,
                                    boost::outcome_v2::policy::terminate>;

/// Makes the failure side of a `result`.
inline auto fail(error_kind kind, std::string detail)
{
    return boost::outcome_v2::failure(error{kind, std::move(detail)});
}

} // namespace bramleyarch

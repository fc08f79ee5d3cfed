#include "common/error.hpp"

#include <fmt/format.h>

namespace bramleyarch
{

namespace
{

using k = error_kind;

constexpr std::array<error_traits, enum_size<error_kind>()> error_table{{
    {k::invalid_settings, 500, "correct the named key and start again"},
    {k::invalid_config, 400, "correct the named field and submit again"},
    {k::invalid_request, 400, "correct the request; do not resend it as is"},
    {k::unauthorized, 401, "send the API key of a configured team"},
    {k::not_found, 404, "use a path of a configured service"},
    {k::body_too_large, 413, "send a smaller body"},
    {k::header_too_large, 431, "send fewer or shorter headers"},
    {k::too_many_connections, 503, "reuse connections or retry later"},
    {k::request_timeout, 408, "send the request without long pauses"},
    {k::idempotency_key_missing, 400,
     "send an Idempotency-Key header that is a UUIDv7"},
    {k::idempotency_key_invalid, 400, "use a fresh UUIDv7 as Idempotency-Key"},
    {k::idempotency_key_expired, 409,
     "look the action up before you send it with a new key"},
    {k::already_running, 409,
     "wait, then ask again with the same key for its outcome"},
    {k::already_finished, 409,
     "look the action up at the service; this key is never sent again"},
    {k::claim_uncertain, 504,
     "ask again with the same key; it can't run twice"},
    {k::platform_unavailable, 503, "retry when the platform has recovered"},
    {k::platform_timeout, 504, "retry when the platform answers in time"},
    {k::revision_conflict, 409,
     "fetch the current revision, merge, submit again"},
    {k::stale_fencing_number, 409, "obtain a new fencing number"},
    {k::team_limit_exceeded, 429, "retry after the stated time"},
    {k::queue_full, 503, "retry after the stated time"},
    {k::deadline_exceeded, 504, "retry with a longer deadline"},
    {k::no_eligible_server, 503,
     "retry later; operators: add or return a backend server"},
    {k::retry_budget_exhausted, 503, "retry after the stated time"},
    {k::quarantined, 422,
     "change the request; it, or a part of its prompt, was in flight on "
     "servers that died"},
    {k::draining, 503, "retry; another instance will serve it"},
    {k::not_ready, 503, "retry; the instance has no configuration yet"},
    {k::server_connect_failed, 502, "retry"},
    {k::server_closed, 502, "retry if the request is idempotent"},
    {k::server_silent, 504, "retry if the request is idempotent"},
    {k::server_protocol, 502, "operators: check the backend server's answers"},
    {k::owner_lost, 502, "retry if the request is idempotent"},
    {k::link_protocol, 502, "operators: run one release on all routers"},
    {k::answer_incomplete, 502, "retry if the request is idempotent"},
    {k::caller_gone, 499, "none; the caller closed the connection"},
    {k::io_failure, 500, "see the detail"},
    {k::submit_uncertain, 504,
     "compare the stored document with yours: bramleyctl diff"},
}};

} // namespace

error_traits const& traits_of(error_kind kind)
{
    for (auto const& row : error_table)
    {
        if (row.kind == kind)
            return row;
    }
    return error_table.back();
}

std::string describe(error const& e)
{
    return fmt::format("{}: {} (remedy: {})", to_name(e.kind), e.detail,
                       traits_of(e.kind).remedy);
}

} // namespace bramleyarch

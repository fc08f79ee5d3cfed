/// Messages of the claims service. It sends its results to the owner service.
#pragma once

#include "common/idempotency_key.hpp"
#include "common/outcome.hpp"
#include "services/messages/platform.hpp"
#include "services/messages/shared.hpp"

#include <cstdint>
#include <variant>

namespace bramleyarch::services
{

/// Claims an idempotency key for an attempt. The reply is `claim_result`.
struct claim_key
{
    attempt_id attempt;
    team_id team;
    idempotency_key key;
    time_point deadline{};
};

/// Releases the claim of an attempt that was never sent. The reply is
/// `release_result`.
struct release_key
{
    attempt_id attempt;
    team_id team;
    idempotency_key key;
};

/// Records the outcome of an attempt that holds its claim. There is no reply.
struct record_outcome
{
    attempt_id attempt;
    team_id team;
    idempotency_key key;
    outcome known = outcome::unknown;
};

/// Delivered by the claims service's own timers.
struct claims_tick
{
};

/// Delivered by a timer when the rate limit allows the next transaction.
struct claims_flush_due
{
};

/// Reply of the platform service to transaction number `batch`.
struct claims_platform_reply
{
    std::uint64_t batch = 0;
    result<kv_transaction_reply> reply = fail(error_kind::platform_timeout, "");
};

/// Reply of the platform service to the request for a lease.
struct claims_lease_reply
{
    result<std::int64_t> lease = fail(error_kind::platform_timeout, "");
};

using claims_message =
    std::variant<claim_key, release_key, record_outcome, claims_platform_reply,
                 claims_lease_reply, config_changed, members_changed,
                 drain_started, status_query, claims_tick, claims_flush_due,
                 idle_query>;

} // namespace bramleyarch::services

/// Claims service: claims idempotency keys in the platform's key-value
/// service before non-idempotent requests are sent, several keys in one
/// transaction, within this router's share of the service's rate.
#pragma once

#include "common/counters.hpp"
#include "decisions/claims.hpp"
#include "kernel/service.hpp"
#include "services/claims/claim_batch.hpp"
#include "services/messages/claims.hpp"
#include "services/messages/owner.hpp"
#include "services/messages/timeline.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace bramleyarch::services
{

struct claims_options
{
    /// Transactions per second that all routers together may use.
    std::uint32_t fleet_rate = 240;
    std::uint32_t burst = 8;    ///< Transactions at once.
    std::size_t max_batch = 48; ///< Claims in one transaction.
    duration call_timeout = std::chrono::seconds{1};
    duration release_limit = std::chrono::seconds{2};
    /// How long an unconfirmed release is tried in the background.
    duration background_limit = std::chrono::seconds{30};
    duration probe_interval = std::chrono::milliseconds{500};
    duration lease_rotation = std::chrono::hours{1};
    std::uint32_t outcome_tries = 5;
    decisions::key_age_options age;
    /// Keys created before this are refused; for a key-value service that
    /// forgets.
    std::optional<wall_time> earliest_key;
};

/// One attempt that claims, holds or releases its key.
struct held_claim
{
    decisions::claim_attempt t;
    std::string key;
    time_point deadline{};
    bool queued = false;
    bool in_flight = false;
    bool reported = false; ///< The owner has the result of this stage.
};

struct claims_state
{
    claims_options options;
    std::unordered_map<attempt_id, held_claim> held;
    std::unordered_map<std::string, attempt_id> holder_of; ///< By key.
    std::deque<attempt_id> queue;
    std::deque<outcome_write> outcomes;
    std::optional<claim_batch> in_flight;
    std::uint64_t last_batch = 0;
    std::int64_t lease = 0;
    time_point lease_expires{};
    bool lease_wanted = false;
    bool platform_down = false;
    time_point probe_at{};
    double tokens = 0;
    time_point tokens_at{};
    bool flush_scheduled = false;
    std::uint32_t live_routers = 1;
    counter_set counted;
    kernel::address<owner_message> owner;
    kernel::address<platform_message> platform;
    kernel::address<timeline_message> timeline;
    kernel::address<metrics_message> metrics;
};

kernel::service<claims_state, claims_message>
make_claims_service(claims_options options);

} // namespace bramleyarch::services

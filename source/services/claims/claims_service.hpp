/// The claims service: claims idempotency keys in the platform's key-value
/// service before non-idempotent requests are sent. It batches the writes of
/// several claims into one transaction and keeps to this router's share of the
/// transaction rate.
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
    /// Maximum number of transactions per second of all routers together.
    std::uint32_t fleet_rate = 240;
    /// Number of transactions that may exceed the rate in a burst.
    std::uint32_t burst = 8;
    /// Maximum number of claim writes in one transaction; also the maximum
    /// number of outcomes.
    std::size_t max_batch = 48;
    duration call_timeout = std::chrono::seconds{1}; ///< Of one platform call.
    /// Time after which a release without a reply is reported as unconfirmed.
    duration release_timeout = std::chrono::seconds{2};
    /// Time for which a claim is kept after its deadline although its result
    /// has been reported: a release is retried meanwhile.
    duration background_retry_time = std::chrono::seconds{30};
    /// Interval between probes of an unavailable platform.
    duration probe_interval = std::chrono::milliseconds{500};
    /// Age at which a lease is replaced by a new one. If that fails, the old
    /// lease is used for another interval.
    duration lease_rotation_interval = std::chrono::hours{1};
    /// Number of times that the failed write of an outcome is retried.
    std::uint32_t max_outcome_retries = 5;
    decisions::key_age_options key_age;
    /// Keys created earlier are refused as expired. To be set if the key-value
    /// service loses its records on a restart, since earlier claims can't be
    /// found any more.
    std::optional<wall_time> earliest_key;
};

/// An attempt that claims, holds or releases its key.
struct active_claim
{
    decisions::claim_attempt progress;
    std::string key; ///< Key in the key-value service.
    /// When the owner receives a result even if the platform has not replied.
    time_point deadline{};
    bool queued = false;    ///< The next write is in the write queue.
    bool in_flight = false; ///< A write is in the transaction in flight.
    /// The result of the claim, or of the release once that has begun, was sent
    /// to the owner.
    bool reported = false;
};

struct claims_state
{
    claims_options options;
    std::unordered_map<attempt_id, active_claim> claims;
    /// The attempt in `claims` that uses a key of the key-value service.
    std::unordered_map<std::string, attempt_id> attempt_by_key;
    std::deque<attempt_id> write_queue; ///< Attempts with a write to send.
    std::deque<outcome_write> pending_outcomes; ///< Outcomes to write.
    std::optional<claim_batch> batch_in_flight;
    std::uint64_t last_batch_id = 0;
    std::int64_t lease_id = 0; ///< 0 until a lease has been created.
    time_point lease_rotation_due{};
    bool lease_requested = false; ///< A request for a lease is in flight.
    bool platform_unavailable = false;
    time_point next_probe{}; ///< While the platform is unavailable.
    double tokens = 0;       ///< Transactions that may be sent now.
    time_point tokens_updated_at{};
    bool flush_scheduled = false;   ///< A timer for the next flush is set.
    std::uint32_t live_routers = 1; ///< Share the transaction rate.
    counter_set counters;           ///< Not yet sent to the metrics service.
    kernel::address<owner_message> owner;
    kernel::address<platform_message> platform;
    kernel::address<timeline_message> timeline;
    kernel::address<metrics_message> metrics;
};

kernel::service<claims_state, claims_message>
make_claims_service(claims_options options);

} // namespace bramleyarch::services

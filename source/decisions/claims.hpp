/// Protocol of at-most-once claims of one idempotency key.
///
/// A claim is one record in the platform's key-value service, changed only by
/// compare-and-swap. An attempt may be sent only after its write of a
/// `claimed` record is known to be applied. Routers never delete a record, and
/// every write has its own serial number, so no value occurs twice: a delayed
/// write whose expected record was replaced can't be applied any more.
#pragma once

#include "common/enum_names.hpp"
#include "common/idempotency_key.hpp"
#include "common/ids.hpp"
#include "common/outcome.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <optional>

namespace bramleyarch::decisions
{

enum class claim_phase : std::uint8_t
{
    claimed,  ///< The holder may send its attempt, or has sent it.
    released, ///< The holder never sent its attempt; the key may be claimed.
    finished, ///< The holder recorded its outcome.
};

constexpr auto enum_names(claim_phase)
{
    using p = claim_phase;
    using row = enum_name<claim_phase>;
    return std::array{
        row{p::claimed, "claimed"},
        row{p::released, "released"},
        row{p::finished, "finished"},
    };
}

/// Value stored under an idempotency key.
struct claim_record
{
    claim_phase phase = claim_phase::claimed;
    attempt_id holder;
    std::uint32_t serial = 0; ///< Number of the write within the attempt.
    outcome recorded = outcome::unknown; ///< Only in `finished`.

    auto operator<=>(claim_record const&) const = default;
};

/// One compare-and-swap. An empty `expected` means that no record exists.
struct claim_write
{
    std::optional<claim_record> expected;
    claim_record desired;

    auto operator<=>(claim_write const&) const = default;
};

enum class claim_write_result : std::uint8_t
{
    applied,
    rejected, ///< The record is not the expected one.
    lost,     ///< No reply: it may be applied now or later.
    not_sent, ///< The write is not applied and never will be.
};

/// Result of a `claim_write`.
struct claim_write_reply
{
    claim_write_result result = claim_write_result::lost;
    std::optional<claim_record> found; ///< Existing record, if rejected.
};

enum class claim_stage : std::uint8_t
{
    claiming,  ///< Its `claimed` record is not known to be applied.
    won,       ///< The attempt may be sent.
    lost,      ///< Another attempt has claimed the key.
    releasing, ///< Its `released` record is not known to be applied.
    released,  ///< The attempt holds no claim and can't be sent any more.
};

/// State of one attempt's claim of its key.
struct claim_attempt
{
    attempt_id attempt;
    claim_stage stage = claim_stage::claiming;
    /// Record that the next write expects.
    std::optional<claim_record> expected;
    std::uint32_t serial = 0; ///< Serial number of the last write sent.
    /// Number of `claimed` writes sent whose result is not known.
    std::uint32_t unresolved = 0;
    /// Record of the other attempt that claimed the key; only in `lost`.
    std::optional<claim_record> conflicting_record;

    auto operator<=>(claim_attempt const&) const = default;
};

/// Starts to claim a key for `attempt`.
claim_attempt begin_claim(attempt_id attempt);

/// Returns the write to send next, or std::nullopt if the stage is neither
/// `claiming` nor `releasing`.
std::optional<claim_write> next_write(claim_attempt const& claim);

/// Records that `write` is about to be sent. To be called before each send.
void record_sent_write(claim_attempt& claim, claim_write const& write);

/// Applies the reply to a write that was recorded as sent.
void apply_reply(claim_attempt& claim, claim_write const& write,
                 claim_write_reply const& reply);

/// Starts to release a claim; it is released at once if no write can have been
/// applied. The caller guarantees that the attempt was not sent and will not
/// be sent.
void begin_release(claim_attempt& claim);

/// Returns the record to write unconditionally when an attempt that holds its
/// claim has ended.
claim_record finished_record(attempt_id attempt, outcome known);

struct key_age_options
{
    duration retention = std::chrono::hours{24}; ///< Oldest key accepted.
    /// Greatest difference between the clocks of callers and routers.
    duration max_clock_skew = std::chrono::minutes{1};
};

enum class key_age
{
    acceptable,
    /// The claim record may have expired, so that an earlier run of the
    /// request can't be excluded.
    too_old,
    /// The claim record could expire before the key becomes too old.
    in_future,
};

/// Classifies a key by the creation time that it contains.
key_age classify_key_age(idempotency_key const& key, wall_time at,
                         key_age_options const& options);

/// Minimum time for which a claim record must be kept after it was written.
duration record_lifetime(key_age_options const& options);

} // namespace bramleyarch::decisions

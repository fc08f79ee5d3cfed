/// At-most-once claims: the protocol for one idempotency key.
///
/// A claim is one record in the platform's key-value service, changed only by
/// compare-and-swap. An attempt may be sent only after its write of a
/// `claimed` record is known to have been applied. Routers never delete a
/// record, and every write has a serial number of its own, so no value ever
/// returns: a delayed write whose expectation was passed can't be applied.
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
    claimed,  ///< The holder may send, or has sent.
    released, ///< The holder never sent and never will; may be claimed.
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
    outcome recorded = outcome::unknown; ///< Only for `finished`.

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
    rejected, ///< Another record was found, or none.
    lost,     ///< Applied or not: the reply did not come.
    not_sent, ///< Certainly not applied, now or later.
};

/// What the key-value service answered to a `claim_write`.
struct claim_write_reply
{
    claim_write_result result = claim_write_result::lost;
    std::optional<claim_record> found; ///< For `rejected`.
};

enum class claim_stage : std::uint8_t
{
    claiming,  ///< Wants its `claimed` record applied.
    won,       ///< May be sent.
    lost,      ///< Another attempt holds the key; `other` says how.
    releasing, ///< Wants a `released` record of its own applied.
    released,  ///< Can never be sent and holds nothing.
};

/// Progress of one attempt with its key.
struct claim_attempt
{
    attempt_id attempt;
    claim_stage stage = claim_stage::claiming;
    /// Record that the next write expects.
    std::optional<claim_record> expected;
    std::uint32_t serial = 0; ///< Writes sent.
    /// Writes of a `claimed` record sent whose fate is not known.
    std::uint32_t unresolved = 0;
    std::optional<claim_record>
        conflicting_record; ///< Holder found, for `lost`.

    auto operator<=>(claim_attempt const&) const = default;
};

/// Starts to claim a key for `attempt`.
claim_attempt begin_claim(attempt_id attempt);

/// The write to send next; none when the stage is settled.
std::optional<claim_write> next_write(claim_attempt const& t);

/// Notes that `write` is about to be sent; to be called before each send.
void record_sent_write(claim_attempt& t, claim_write const& write);

/// Takes the reply to a write that was noted as sent.
void apply_reply(claim_attempt& t, claim_write const& write,
                 claim_write_reply const& reply);

/// Gives up a claim. The caller guarantees that the attempt has not been and
/// will not be sent. Settles at once when nothing can have been written.
void begin_release(claim_attempt& t);

/// Record to store, without condition, when an attempt that holds its claim
/// has ended.
claim_record finished_record(attempt_id attempt, outcome known);

struct key_age_options
{
    duration retention = std::chrono::hours{24}; ///< Oldest key accepted.
    /// Greatest difference of clocks between callers and routers.
    duration max_clock_skew = std::chrono::minutes{1};
};

enum class key_age
{
    acceptable,
    too_old,   ///< Its record may be gone: nothing proves it has not run.
    in_future, ///< Its record might go before the key becomes too old.
};

/// Judges the creation time inside `key`.
key_age classify_key_age(idempotency_key const& key, wall_time at,
                         key_age_options const& options);

/// Least time that a claim record must be kept after it was written.
duration record_lifetime(key_age_options const& options);

} // namespace bramleyarch::decisions

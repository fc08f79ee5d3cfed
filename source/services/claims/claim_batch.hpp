/// Batches of claim writes, each one transaction of the key-value service.
#pragma once

#include "decisions/claims.hpp"
#include "services/messages/platform.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bramleyarch::services
{

/// A compare-and-swap in a batch.
struct batch_write
{
    attempt_id attempt;
    std::string key; ///< Key in the key-value service.
    decisions::claim_write write;
};

/// An unconditional write of an attempt's outcome.
struct outcome_write
{
    std::string key; ///< Key in the key-value service.
    decisions::claim_record record;
    /// Number of further attempts if the transaction fails.
    std::uint32_t retries_left = 0;
};

/// The writes of one transaction.
struct claim_batch
{
    std::uint64_t id = 0;
    std::vector<batch_write> writes;
    std::vector<outcome_write> outcomes;
};

/// A write of a batch together with its reply.
struct batch_write_reply
{
    batch_write write;
    decisions::claim_write_reply reply;
};

/// Returns the key under which the key-value service stores the claim record of
/// an idempotency key.
std::string claim_key_name(team_id const& team, idempotency_key const& key);

/// Returns the transaction that executes a batch. It applies either all claim
/// writes or, if the condition of one does not hold, none, and then reads the
/// keys of all of them. It writes the outcomes in both cases. The records that
/// it writes expire with `lease_id`.
kv_transaction to_transaction(claim_batch const& batch, std::int64_t lease_id);

/// Translates the transaction's reply into a reply for each claim write. A
/// write whose own condition held, but not that of another write in the batch,
/// is `not_sent`.
std::vector<batch_write_reply>
to_write_replies(claim_batch const& batch,
                 result<kv_transaction_reply> const& reply);

} // namespace bramleyarch::services

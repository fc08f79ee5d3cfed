/// Steps of the claims service: batches of writes, replies of the platform and
/// results for the owner service.
#pragma once

#include "services/claims/claims_service.hpp"

namespace bramleyarch::services
{

using claims_context = kernel::context<claims_message>;

/// Queues the next write of `attempt` unless a write of it is already queued or
/// in flight.
void enqueue_write(claims_state& state, attempt_id attempt);

/// Removes the claim of `attempt`, so that its key is free in this router.
void remove_claim(claims_state& state, attempt_id attempt);

/// Requests a new lease for claim records if the current one is due to be
/// replaced, no request for one is in flight and the platform is available.
void request_lease(claims_state& state, claims_context& ctx);

/// Sends the next transaction if there is anything to write, no transaction is
/// in flight and the platform, the lease and the rate limit allow it. If only
/// the rate limit forbids it, schedules another flush.
void flush(claims_state& state, claims_context& ctx);

/// Handles the reply to the transaction in flight.
void handle_batch_reply(claims_state& state, claims_context& ctx,
                        result<kv_transaction_reply> const& reply);

/// Moves the claim of `attempt` on according to its stage: sends a result to
/// the owner once the stage is final or the deadline has passed, removes claims
/// that need no more writes and queues the next write of the others. Does
/// nothing while a write of `attempt` is in flight.
void advance_claim(claims_state& state, claims_context& ctx,
                   attempt_id attempt);

/// Calls `advance_claim` for every attempt that has not won its key.
void advance_all_claims(claims_state& state, claims_context& ctx);

/// Records whether the platform replied, and an event whenever it becomes
/// unavailable or available again.
void record_platform_state(claims_state& state, claims_context& ctx,
                           bool available);

/// Sends a transaction to an unavailable platform once per probe interval, to
/// find out whether it is available again.
void probe_platform(claims_state& state, claims_context& ctx);

} // namespace bramleyarch::services

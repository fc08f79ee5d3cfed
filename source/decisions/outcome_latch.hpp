/// Tracks whether a request without a complete answer may have run.
///
/// The latch only moves in one direction: once a byte may have been sent to a
/// backend server, or an owner may have accepted an offer, the request is only
/// `not_run` if the router that held the attempt states so.
#pragma once

#include "common/enum_names.hpp"
#include "common/outcome.hpp"

namespace bramleyarch::decisions
{

/// Progress of the current attempt of a request.
enum class attempt_stage
{
    none,      ///< No offer is outstanding.
    offered,   ///< An owner may have accepted the offer.
    admitted,  ///< An owner accepted it; the request may have been sent.
    answering, ///< The backend server has started to answer.
};

constexpr auto enum_names(attempt_stage)
{
    using s = attempt_stage;
    using row = enum_name<attempt_stage>;
    return std::array{
        row{s::none, "none"},
        row{s::offered, "offered"},
        row{s::admitted, "admitted"},
        row{s::answering, "answering"},
    };
}

struct outcome_latch
{
    attempt_stage stage = attempt_stage::none;
    /// Whether an attempt that has ended may have run.
    bool may_have_run = false;
};

/// Records that an offer was sent to an owner.
void record_offer(outcome_latch& latch);

/// Records that the owner returned the offer, stating that it sent nothing.
void record_redirect(outcome_latch& latch);

/// Records that the owner accepted the offer.
void record_admission(outcome_latch& latch);

/// Records that the first byte of an answer was received.
void record_answer_start(outcome_latch& latch);

/// Records that the attempt ended with the outcome that its owner states.
void record_attempt_end(outcome_latch& latch, outcome stated);

/// Records that the owner of the attempt, or the link to it, was lost.
void record_owner_lost(outcome_latch& latch);

/// Returns the outcome to report if the request ends now.
outcome known_outcome(outcome_latch const& latch);

/// Returns whether the request may be offered again. A non-idempotent request
/// may only be offered again if no earlier attempt may have run.
bool may_offer_again(outcome_latch const& latch, bool idempotent);

} // namespace bramleyarch::decisions

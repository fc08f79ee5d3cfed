/// What may be said of a request that got no complete answer.
///
/// The latch moves in one direction: once a byte may have left for a backend
/// server, or an offer may have been taken, nothing makes the request
/// `not_run` again but the statement of the one who held it.
#pragma once

#include "common/enum_names.hpp"
#include "common/outcome.hpp"

namespace bramleyarch::decisions
{

/// Where the current attempt of a request stands.
enum class attempt_stage
{
    none,      ///< No offer is outstanding.
    offered,   ///< An owner may have taken it.
    admitted,  ///< An owner took it; it may have been sent.
    answering, ///< The backend server began to answer.
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
    bool may_have_run = false; ///< An attempt that ended may have run.
};

/// An offer was handed over.
void record_offer(outcome_latch& latch);

/// The offer came back with the statement that nothing was sent.
void record_redirect(outcome_latch& latch);

/// The owner took the offer.
void record_admission(outcome_latch& latch);

/// The first byte of an answer came.
void record_answer_start(outcome_latch& latch);

/// The attempt ended with what its owner said of it.
void record_attempt_end(outcome_latch& latch, outcome said);

/// The attempt's owner, or the link to it, was lost.
void record_owner_lost(outcome_latch& latch);

/// What may be said if the request ends now.
outcome known_outcome(outcome_latch const& latch);

/// Whether a further offer may be made. A non-idempotent request may be
/// offered again only while no offer is in doubt.
bool may_offer_again(outcome_latch const& latch, bool idempotent);

} // namespace bramleyarch::decisions

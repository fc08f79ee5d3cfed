#include "decisions/outcome_latch.hpp"

namespace bramleyarch::decisions
{

void record_offer(outcome_latch& latch)
{
    latch.stage = attempt_stage::offered;
}

void record_redirect(outcome_latch& latch)
{
    // A redirect after `admitted` contradicts it: the request may have run.
    if (latch.stage != attempt_stage::offered)
        latch.may_have_run = true;
    latch.stage = attempt_stage::none;
}

void record_admission(outcome_latch& latch)
{
    latch.stage = attempt_stage::admitted;
}

void record_answer_start(outcome_latch& latch)
{
    latch.stage = attempt_stage::answering;
}

void record_attempt_end(outcome_latch& latch, outcome stated)
{
    if (stated != outcome::not_run || latch.stage == attempt_stage::answering)
        latch.may_have_run = true;
    latch.stage = attempt_stage::none;
}

void record_owner_lost(outcome_latch& latch)
{
    if (latch.stage != attempt_stage::none)
        latch.may_have_run = true;
    latch.stage = attempt_stage::none;
}

outcome known_outcome(outcome_latch const& latch)
{
    if (latch.may_have_run || latch.stage != attempt_stage::none)
        return outcome::unknown;
    return outcome::not_run;
}

bool may_offer_again(outcome_latch const& latch, bool idempotent)
{
    if (latch.stage != attempt_stage::none)
        return false;
    return idempotent || !latch.may_have_run;
}

} // namespace bramleyarch::decisions

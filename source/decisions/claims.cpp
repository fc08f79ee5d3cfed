#include "decisions/claims.hpp"

namespace bramleyarch::decisions
{

namespace
{

claim_record next_record(claim_attempt const& claim, claim_phase phase)
{
    return {
        .phase = phase, .holder = claim.attempt, .serial = claim.serial + 1};
}

bool is_own(claim_attempt const& claim,
            std::optional<claim_record> const& found, claim_phase phase)
{
    return found && found->phase == phase && found->holder == claim.attempt;
}

bool can_be_claimed(std::optional<claim_record> const& found)
{
    return !found || found->phase == claim_phase::released;
}

void apply_rejected_claim(claim_attempt& claim,
                          std::optional<claim_record> const& found)
{
    if (is_own(claim, found, claim_phase::claimed))
    {
        claim.stage = claim_stage::won;
        claim.expected = found;
        return;
    }
    if (can_be_claimed(found))
    {
        claim.expected = found;
        return;
    }
    claim.stage = claim_stage::lost;
    claim.conflicting_record = found;
}

void apply_rejected_release(claim_attempt& claim,
                            std::optional<claim_record> const& found)
{
    bool const own_claim = is_own(claim, found, claim_phase::claimed);
    bool const own_release = is_own(claim, found, claim_phase::released);
    if (own_release || (!own_claim && !can_be_claimed(found)))
    {
        claim.stage = claim_stage::released;
        return;
    }
    claim.expected = found;
}

} // namespace

claim_attempt begin_claim(attempt_id attempt)
{
    return {.attempt = attempt};
}

std::optional<claim_write> next_write(claim_attempt const& claim)
{
    if (claim.stage == claim_stage::claiming)
        return claim_write{claim.expected,
                           next_record(claim, claim_phase::claimed)};
    if (claim.stage == claim_stage::releasing)
        return claim_write{claim.expected,
                           next_record(claim, claim_phase::released)};
    return std::nullopt;
}

void record_sent_write(claim_attempt& claim, claim_write const& write)
{
    claim.serial = write.desired.serial;
    if (write.desired.phase == claim_phase::claimed)
        ++claim.unresolved;
}

void apply_reply(claim_attempt& claim, claim_write const& write,
                 claim_write_reply const& reply)
{
    bool const releasing = write.desired.phase == claim_phase::released;
    auto const current =
        releasing ? claim_stage::releasing : claim_stage::claiming;
    if (!releasing && reply.result != claim_write_result::lost)
        --claim.unresolved;
    if (claim.stage != current)
        return;
    switch (reply.result)
    {
    case claim_write_result::applied:
        claim.stage = releasing ? claim_stage::released : claim_stage::won;
        claim.expected = write.desired;
        return;
    case claim_write_result::rejected:
        if (releasing)
            apply_rejected_release(claim, reply.found);
        else
            apply_rejected_claim(claim, reply.found);
        return;
    case claim_write_result::lost:
    case claim_write_result::not_sent:
        return;
    }
}

void begin_release(claim_attempt& claim)
{
    if (claim.stage == claim_stage::won)
    {
        claim.stage = claim_stage::releasing;
        return;
    }
    if (claim.stage != claim_stage::claiming)
        return;
    bool const may_be_applied = claim.unresolved > 0;
    claim.stage =
        may_be_applied ? claim_stage::releasing : claim_stage::released;
}

claim_record finished_record(attempt_id attempt, outcome known)
{
    return {
        .phase = claim_phase::finished, .holder = attempt, .recorded = known};
}

key_age classify_key_age(idempotency_key const& key, wall_time at,
                         key_age_options const& options)
{
    auto const created = created_at(key);
    if (created + options.retention < at)
        return key_age::too_old;
    if (created > at + options.max_clock_skew)
        return key_age::in_future;
    return key_age::acceptable;
}

duration record_lifetime(key_age_options const& options)
{
    // The key may be created one skew ahead of the claiming router's clock.
    // That clock and the clock of a later router may each be off by one skew.
    return options.retention + 3 * options.max_clock_skew;
}

} // namespace bramleyarch::decisions

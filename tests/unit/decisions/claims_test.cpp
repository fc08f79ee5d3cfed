/// Tests of single cases of the claim protocol.
#include "decisions/claims.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

attempt_id const first{{1, 1}, 1};
attempt_id const second{{2, 1}, 1};

/// Applies a write to a record as the key-value service does.
claim_write_reply apply_write(std::optional<claim_record>& record,
                              claim_write const& write)
{
    if (record != write.expected)
        return {claim_write_result::rejected, record};
    record = write.desired;
    return {claim_write_result::applied, std::nullopt};
}

/// Sends the next write and applies its reply, which is lost if `lose_reply`.
void exchange(claim_attempt& claim, std::optional<claim_record>& record,
              bool lose_reply = false)
{
    auto const write = next_write(claim);
    BOOST_REQUIRE(write.has_value());
    record_sent_write(claim, *write);
    auto reply = apply_write(record, *write);
    if (lose_reply)
        reply = {claim_write_result::lost, std::nullopt};
    apply_reply(claim, *write, reply);
}

} // namespace

BOOST_AUTO_TEST_SUITE(claims)

BOOST_AUTO_TEST_CASE(second_attempt_loses_the_claim)
{
    std::optional<claim_record> record;
    auto claim = begin_claim(first);
    auto repeat = begin_claim(second);
    exchange(claim, record);
    exchange(repeat, record);
    BOOST_TEST((claim.stage == claim_stage::won));
    BOOST_TEST((repeat.stage == claim_stage::lost));
    BOOST_TEST((repeat.conflicting_record->holder == first));
}

BOOST_AUTO_TEST_CASE(lost_reply_is_resolved_by_another_write)
{
    std::optional<claim_record> record;
    auto claim = begin_claim(first);
    exchange(claim, record, true);
    BOOST_TEST((claim.stage == claim_stage::claiming));
    exchange(claim, record);
    BOOST_TEST((claim.stage == claim_stage::won));
}

BOOST_AUTO_TEST_CASE(released_key_can_be_claimed_once_more)
{
    std::optional<claim_record> record;
    auto claim = begin_claim(first);
    exchange(claim, record);
    begin_release(claim);
    exchange(claim, record);
    BOOST_TEST((claim.stage == claim_stage::released));
    auto repeat = begin_claim(second);
    exchange(repeat, record);
    exchange(repeat, record);
    BOOST_TEST((repeat.stage == claim_stage::won));
}

BOOST_AUTO_TEST_CASE(release_blocks_a_delayed_claim)
{
    std::optional<claim_record> record;
    auto claim = begin_claim(first);
    auto const delayed = next_write(claim);
    record_sent_write(claim, *delayed);
    apply_reply(claim, *delayed, {claim_write_result::lost, std::nullopt});
    begin_release(claim);
    exchange(claim, record);
    BOOST_TEST((claim.stage == claim_stage::released));
    BOOST_TEST(
        (apply_write(record, *delayed).result == claim_write_result::rejected));
}

BOOST_AUTO_TEST_CASE(claim_without_a_sent_write_is_released_at_once)
{
    auto claim = begin_claim(first);
    auto const write = next_write(claim);
    record_sent_write(claim, *write);
    apply_reply(claim, *write, {claim_write_result::not_sent, std::nullopt});
    begin_release(claim);
    BOOST_TEST((claim.stage == claim_stage::released));
}

BOOST_AUTO_TEST_CASE(repeated_attempt_finds_the_recorded_outcome)
{
    std::optional<claim_record> record =
        finished_record(first, outcome::answered);
    auto repeat = begin_claim(second);
    exchange(repeat, record);
    BOOST_TEST((repeat.stage == claim_stage::lost));
    BOOST_TEST((repeat.conflicting_record->recorded == outcome::answered));
}

BOOST_AUTO_TEST_CASE(keys_are_classified_by_their_age)
{
    key_age_options const options;
    wall_time const at{1000h};
    auto const classify = [&](duration age) {
        return classify_key_age(make_idempotency_key(at - age, 0, 0), at,
                                options);
    };
    BOOST_TEST((classify(1h) == key_age::acceptable));
    BOOST_TEST((classify(24h) == key_age::acceptable));
    BOOST_TEST((classify(24h + 1ms) == key_age::too_old));
    BOOST_TEST((classify(-1min) == key_age::acceptable));
    BOOST_TEST((classify(-1min - 1ms) == key_age::in_future));
    BOOST_TEST((record_lifetime(options) >=
                options.retention + 2 * options.max_clock_skew));
}

BOOST_AUTO_TEST_SUITE_END()

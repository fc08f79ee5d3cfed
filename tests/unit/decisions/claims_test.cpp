/// Tests of the claim protocol, case by case.
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
claim_write_reply store(std::optional<claim_record>& record,
                        claim_write const& write)
{
    if (record != write.expected)
        return {claim_write_result::rejected, record};
    record = write.desired;
    return {claim_write_result::applied, std::nullopt};
}

/// Sends the next write; the reply arrives unless `lose_reply`.
void exchange(claim_attempt& t, std::optional<claim_record>& record,
              bool lose_reply = false)
{
    auto const write = next_write(t);
    BOOST_REQUIRE(write.has_value());
    record_sent_write(t, *write);
    auto reply = store(record, *write);
    if (lose_reply)
        reply = {claim_write_result::lost, std::nullopt};
    apply_reply(t, *write, reply);
}

} // namespace

BOOST_AUTO_TEST_SUITE(claims)

BOOST_AUTO_TEST_CASE(second_attempt_loses)
{
    std::optional<claim_record> record;
    auto a = begin_claim(first);
    auto b = begin_claim(second);
    exchange(a, record);
    exchange(b, record);
    BOOST_TEST((a.stage == claim_stage::won));
    BOOST_TEST((b.stage == claim_stage::lost));
    BOOST_TEST((b.conflicting_record->holder == first));
}

BOOST_AUTO_TEST_CASE(lost_reply_is_settled_by_writing_again)
{
    std::optional<claim_record> record;
    auto a = begin_claim(first);
    exchange(a, record, true);
    BOOST_TEST((a.stage == claim_stage::claiming));
    exchange(a, record);
    BOOST_TEST((a.stage == claim_stage::won));
}

BOOST_AUTO_TEST_CASE(released_key_can_be_claimed_once_more)
{
    std::optional<claim_record> record;
    auto a = begin_claim(first);
    exchange(a, record);
    begin_release(a);
    exchange(a, record);
    BOOST_TEST((a.stage == claim_stage::released));
    auto b = begin_claim(second);
    exchange(b, record);
    exchange(b, record);
    BOOST_TEST((b.stage == claim_stage::won));
}

BOOST_AUTO_TEST_CASE(release_blocks_a_delayed_claim)
{
    std::optional<claim_record> record;
    auto a = begin_claim(first);
    auto const delayed = next_write(a);
    record_sent_write(a, *delayed);
    apply_reply(a, *delayed, {claim_write_result::lost, std::nullopt});
    begin_release(a);
    exchange(a, record);
    BOOST_TEST((a.stage == claim_stage::released));
    BOOST_TEST(
        (store(record, *delayed).result == claim_write_result::rejected));
}

BOOST_AUTO_TEST_CASE(nothing_sent_releases_at_once)
{
    auto a = begin_claim(first);
    auto const write = next_write(a);
    record_sent_write(a, *write);
    apply_reply(a, *write, {claim_write_result::not_sent, std::nullopt});
    begin_release(a);
    BOOST_TEST((a.stage == claim_stage::released));
}

BOOST_AUTO_TEST_CASE(finished_outcome_reaches_a_repeat)
{
    std::optional<claim_record> record =
        finished_record(first, outcome::answered);
    auto b = begin_claim(second);
    exchange(b, record);
    BOOST_TEST((b.stage == claim_stage::lost));
    BOOST_TEST((b.conflicting_record->recorded == outcome::answered));
}

BOOST_AUTO_TEST_CASE(keys_outside_the_retention_are_told_apart)
{
    key_age_options const options;
    wall_time const at{1000h};
    auto const judge = [&](duration age) {
        return classify_key_age(make_idempotency_key(at - age, 0, 0), at,
                                options);
    };
    BOOST_TEST((judge(1h) == key_age::acceptable));
    BOOST_TEST((judge(24h) == key_age::acceptable));
    BOOST_TEST((judge(24h + 1ms) == key_age::too_old));
    BOOST_TEST((judge(-1min) == key_age::acceptable));
    BOOST_TEST((judge(-1min - 1ms) == key_age::in_future));
    BOOST_TEST((record_lifetime(options) >=
                options.retention + 2 * options.max_clock_skew));
}

BOOST_AUTO_TEST_SUITE_END()

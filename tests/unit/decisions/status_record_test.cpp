/// Tests of a rollout's stored status: writes of several routers, lost
/// responses and replaced orders.
#include "decisions/status_record.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;
using config::rollout_state;

namespace
{

time_point const begin{1000s};

config::rollout_status status(revision of_order, rollout_state state,
                              revision changed)
{
    return {.service = {"llm"},
            .to_version = "v2",
            .state = state,
            .order = of_order,
            .changed = changed};
}

stored_status stored(revision of_order, rollout_state state, revision changed)
{
    return {.changed = changed, .status = status(of_order, state, changed)};
}

struct fixture
{
    status_record record{
        .order = {.service = {"llm"}, .to_version = "v2", .changed = 10}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(status_records, fixture)

BOOST_AUTO_TEST_CASE(what_is_stored_is_read_before_anything_is_written)
{
    record_decision(record, rollout_state::running);
    BOOST_CHECK(next_call(record, begin) == status_call::read);
    begin_call(record, status_call::read);
    BOOST_CHECK(next_call(record, begin) == status_call::none);
    record_stored(record, {});
    BOOST_CHECK(next_call(record, begin) == status_call::write);
    begin_call(record, status_call::write);
    record_written(record, 12);
    BOOST_CHECK(next_call(record, begin) == status_call::none);
    BOOST_TEST((status_of(record) == status(10, rollout_state::running, 12)));
}

// Guards against a rollout that ends twice: old servers stop when the first
// final state is stored.
BOOST_AUTO_TEST_CASE(a_final_state_is_never_overwritten)
{
    for (auto const first :
         {rollout_state::succeeded, rollout_state::rolled_back})
    {
        record_stored(record, stored(10, first, 12));
        for (auto const& row : enum_names(rollout_state{}))
        {
            record_decision(record, row.value);
            BOOST_TEST(!needs_write(record));
        }
    }
}

BOOST_AUTO_TEST_CASE(another_routers_running_state_is_followed_by_a_final_one)
{
    record_stored(record, stored(10, rollout_state::running, 12));
    record_decision(record, rollout_state::running);
    BOOST_TEST(!needs_write(record));
    record_decision(record, rollout_state::rolled_back);
    BOOST_TEST(needs_write(record));
    record_decision(record, rollout_state::running);
    BOOST_CHECK(*record.wanted == rollout_state::rolled_back);
}

BOOST_AUTO_TEST_CASE(only_statuses_of_older_orders_are_overwritten)
{
    record_decision(record, rollout_state::running);
    record_stored(record, stored(9, rollout_state::succeeded, 9));
    BOOST_TEST(needs_write(record));
    BOOST_TEST(status_of(record).changed == 0U);
    record_stored(record, stored(11, rollout_state::running, 12));
    BOOST_TEST(!needs_write(record));
    record_stored(record, {.changed = 12}); // Can't be read.
    BOOST_TEST(needs_write(record));
}

BOOST_AUTO_TEST_CASE(a_status_without_order_belongs_to_the_order_before_it)
{
    BOOST_TEST(belongs_to(status(0, rollout_state::running, 11), record.order));
    BOOST_TEST(!belongs_to(status(0, rollout_state::running, 9), record.order));
    record_stored(record, stored(0, rollout_state::succeeded, 11));
    BOOST_TEST(status_of(record).order == 10U);
}

BOOST_AUTO_TEST_CASE(a_lost_write_is_read_back_and_a_refused_one_repeated)
{
    record_decision(record, rollout_state::running);
    record_stored(record, {});
    begin_call(record, status_call::write);
    record_failure(record, status_failure::refused, begin + 1s);
    BOOST_CHECK(next_call(record, begin) == status_call::none);
    BOOST_CHECK(next_call(record, begin + 1s) == status_call::write);
    begin_call(record, status_call::write);
    record_failure(record, status_failure::lost, begin + 2s);
    BOOST_CHECK(next_call(record, begin + 2s) == status_call::read);
    BOOST_TEST(record.failures == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

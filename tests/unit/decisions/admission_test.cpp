/// Tests of admission, slow start and the circuit breaker.
#include "decisions/admission.hpp"
#include "decisions/breaker.hpp"
#include "decisions/slow_start.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

time_point at(duration since_start)
{
    return time_point{} + since_start;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admissions)

BOOST_AUTO_TEST_CASE(limit_bound_and_breaker_each_refuse)
{
    auto const mean = mean_utilisation({.in_flight = 16, .limit = 32});
    server_occupancy const below_bound{.in_flight = 5, .limit = 8};
    BOOST_TEST((decide_admission(below_bound, mean, {}) == admission::admit));
    auto above_bound = below_bound;
    above_bound.in_flight = 6; // The bound is 1.25 * 0.5 * 8 = 5.
    BOOST_TEST(
        (decide_admission(above_bound, mean, {}) == admission::at_load_bound));
    BOOST_TEST((decide_admission(above_bound, mean, {.bound_enabled = false}) ==
                admission::admit));
    auto full = below_bound;
    full.remote_in_flight = 3;
    BOOST_TEST((decide_admission(full, mean, {}) == admission::at_limit));
    auto unusable = below_bound;
    unusable.usable = false;
    BOOST_TEST(
        (decide_admission(unusable, mean, {}) == admission::breaker_open));
}

BOOST_AUTO_TEST_CASE(an_idle_fleet_admits_one_request_a_server)
{
    BOOST_TEST((decide_admission({.limit = 8}, 0.0, {}) == admission::admit));
    auto const mean = mean_utilisation({.in_flight = 1, .limit = 168});
    BOOST_TEST((decide_admission({.in_flight = 1, .limit = 8}, mean, {}) ==
                admission::at_load_bound));
}

BOOST_AUTO_TEST_CASE(two_owners_share_the_capacity)
{
    BOOST_TEST(shared_ownership_limit(8, 8, 1) == 4U);
    BOOST_TEST(shared_ownership_limit(2, 8, 1) == 2U);
    BOOST_TEST(shared_ownership_limit(1, 1, 1) == 1U);
}

BOOST_AUTO_TEST_CASE(expired_reports_do_not_count_towards_the_mean)
{
    remote_owner_loads loads;
    record_remote_owner_load(loads, server_id{"a"}, {4, 8, at(0s)});
    record_remote_owner_load(loads, server_id{"b"}, {2, 8, at(4s)});
    auto const both = sum_remote_owner_loads(loads, {}, at(4s));
    BOOST_TEST(both.in_flight == 6);
    BOOST_TEST(both.limit == 16);
    auto const newer = sum_remote_owner_loads(loads, {}, at(6s));
    BOOST_TEST(newer.in_flight == 2);
}

BOOST_AUTO_TEST_CASE(late_reports_of_local_requests_do_not_count_as_remote)
{
    in_flight_history history;
    record_in_flight(history, 0, at(0s));
    record_in_flight(history, 8, at(1s));
    record_in_flight(history, 3, at(1200ms));
    // The report for 1.1 s includes the 8 requests that were counted then.
    BOOST_TEST(estimate_remote_in_flight(history, 8, at(1100ms)) == 0U);
    BOOST_TEST(estimate_remote_in_flight(history, 11, at(1100ms)) == 3U);
    // A report for a later time includes only 3 local requests.
    record_in_flight(history, 3, at(3s));
    BOOST_TEST(estimate_remote_in_flight(history, 8, at(2900ms)) == 5U);
}

BOOST_AUTO_TEST_CASE(slow_start_grows_with_answers_only)
{
    auto state = make_slow_start(8, 1);
    BOOST_TEST(effective_limit(state, {}) == 1U);
    BOOST_TEST(effective_limit(state, {.enabled = false}) == 8U);
    int answers = 0;
    bool warm = false;
    while (!warm)
    {
        warm = record_answer(state);
        ++answers;
        BOOST_REQUIRE(answers < 100);
    }
    BOOST_TEST(answers == 1 + 2 + 3 + 4 + 5 + 6 + 7);
    BOOST_TEST(effective_limit(state, {}) == 8U);
}

BOOST_AUTO_TEST_CASE(restart_report_and_slow_first_byte_reset_a_server_to_cold)
{
    auto state = make_slow_start(8, 2);
    start_warm(state, 8);
    BOOST_TEST(!apply_load_report(state, 7, false));
    BOOST_TEST(apply_load_report(state, 8, false));
    BOOST_TEST((state.cause == cold_cause::server_restarted));
    BOOST_TEST(effective_limit(state, {}) == 2U);

    start_warm(state, 8);
    BOOST_TEST(apply_load_report(state, 8, true));
    start_warm(state, 8);
    // The limit stays low while the server reports that it is cold.
    BOOST_TEST(effective_limit(state, {}) == 2U);
    apply_load_report(state, 8, false);

    start_warm(state, 8);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(!record_first_byte(state, {}, 100ms));
    BOOST_TEST(!record_first_byte(state, {}, 900ms));
    // A normal first byte ends a run of spikes.
    BOOST_TEST(!record_first_byte(state, {}, 100ms));
    BOOST_TEST(!record_first_byte(state, {}, 900ms));
    BOOST_TEST(record_first_byte(state, {}, 900ms));
    BOOST_TEST((state.cause == cold_cause::slow_first_byte));
}

BOOST_AUTO_TEST_CASE(breaker_opens_probes_and_closes)
{
    breaker tested;
    breaker_options const options;
    BOOST_TEST(!record_failure(tested, options, at(0s), 0));
    BOOST_TEST(!record_failure(tested, options, at(0s), 0));
    BOOST_TEST(record_failure(tested, options, at(0s), 0));
    BOOST_TEST(!may_send(tested, at(999ms)));
    BOOST_TEST(may_send(tested, at(1s)));
    record_sent(tested);
    BOOST_TEST(!may_send(tested, at(1s))); // One probe at a time.
    BOOST_TEST(record_failure(tested, options, at(1s), 0));
    BOOST_TEST(!may_send(tested, at(2900ms))); // The open time doubled.
    BOOST_TEST(may_send(tested, at(3s)));
    record_sent(tested);
    record_success(tested, at(3s));
    BOOST_TEST(may_send(tested, at(3s)));
    BOOST_TEST((tested.state == breaker_state::closed));
}

BOOST_AUTO_TEST_CASE(a_timeout_while_others_are_answered_is_no_failure)
{
    breaker tested;
    breaker_options const options{.failures_to_open = 1};
    record_success(tested, at(5s));
    BOOST_TEST(!record_timeout(tested, options, at(4s), at(34s), 0));
    BOOST_TEST((tested.state == breaker_state::closed));
    BOOST_TEST(record_timeout(tested, options, at(6s), at(36s), 0));
}

BOOST_AUTO_TEST_SUITE_END()

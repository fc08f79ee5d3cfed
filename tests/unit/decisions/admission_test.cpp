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
    auto const totals = mean_utilisation({.in_flight = 16, .limit = 32});
    server_occupancy const base{.in_flight = 5, .limit = 8};
    BOOST_TEST((decide_admission(base, totals, {}) == admission::admit));
    auto over = base;
    over.in_flight = 6; // The bound is 1.25 * 0.5 * 8 = 5.
    BOOST_TEST(
        (decide_admission(over, totals, {}) == admission::at_load_bound));
    BOOST_TEST((decide_admission(over, totals, {.bound_enabled = false}) ==
                admission::admit));
    auto full = base;
    full.remote_in_flight = 3;
    BOOST_TEST((decide_admission(full, totals, {}) == admission::at_limit));
    auto broken = base;
    broken.usable = false;
    BOOST_TEST(
        (decide_admission(broken, totals, {}) == admission::breaker_open));
}

BOOST_AUTO_TEST_CASE(an_idle_fleet_admits_one_request_a_server)
{
    BOOST_TEST((decide_admission({.limit = 8}, 0.0, {}) == admission::admit));
    auto const one = mean_utilisation({.in_flight = 1, .limit = 168});
    BOOST_TEST((decide_admission({.in_flight = 1, .limit = 8}, one, {}) ==
                admission::at_load_bound));
}

BOOST_AUTO_TEST_CASE(two_owners_share_the_capacity)
{
    BOOST_TEST(shared_ownership_limit(8, 8, 1) == 4U);
    BOOST_TEST(shared_ownership_limit(2, 8, 1) == 2U);
    BOOST_TEST(shared_ownership_limit(1, 1, 1) == 1U);
}

BOOST_AUTO_TEST_CASE(old_reports_leave_the_mean)
{
    remote_owner_loads loads;
    record_remote_owner_load(loads, server_id{"a"}, {4, 8, at(0s)});
    record_remote_owner_load(loads, server_id{"b"}, {2, 8, at(4s)});
    auto const fresh = sum_remote_owner_loads(loads, {}, at(4s));
    BOOST_TEST(fresh.in_flight == 6);
    BOOST_TEST(fresh.limit == 16);
    auto const later = sum_remote_owner_loads(loads, {}, at(6s));
    BOOST_TEST(later.in_flight == 2);
}

BOOST_AUTO_TEST_CASE(late_reports_of_own_work_are_not_held_by_others)
{
    in_flight_history history;
    record_in_flight(history, 0, at(0s));
    record_in_flight(history, 8, at(1s));
    record_in_flight(history, 3, at(1200ms));
    // The report of 1.1 s shows the 8 that were counted then.
    BOOST_TEST(estimate_remote_in_flight(history, 8, at(1100ms)) == 0U);
    BOOST_TEST(estimate_remote_in_flight(history, 11, at(1100ms)) == 3U);
    // Long after, only 3 are explained by the own count.
    record_in_flight(history, 3, at(3s));
    BOOST_TEST(estimate_remote_in_flight(history, 8, at(2900ms)) == 5U);
}

BOOST_AUTO_TEST_CASE(slow_start_grows_with_answers_only)
{
    auto s = make_slow_start(8, 1);
    BOOST_TEST(effective_limit(s, {}) == 1U);
    BOOST_TEST(effective_limit(s, {.enabled = false}) == 8U);
    int answers = 0;
    bool warm = false;
    while (!warm)
    {
        warm = record_answer(s);
        ++answers;
        BOOST_REQUIRE(answers < 100);
    }
    BOOST_TEST(answers == 1 + 2 + 3 + 4 + 5 + 6 + 7);
    BOOST_TEST(effective_limit(s, {}) == 8U);
}

BOOST_AUTO_TEST_CASE(restart_report_and_slow_first_byte_turn_a_server_cold)
{
    auto s = make_slow_start(8, 2);
    start_warm(s, 8);
    BOOST_TEST(!apply_load_report(s, 7, false));
    BOOST_TEST(apply_load_report(s, 8, false));
    BOOST_TEST((s.cause == cold_cause::server_restarted));
    BOOST_TEST(effective_limit(s, {}) == 2U);

    start_warm(s, 8);
    BOOST_TEST(apply_load_report(s, 8, true));
    start_warm(s, 8);
    BOOST_TEST(effective_limit(s, {}) == 2U); // While it says that it is cold.
    apply_load_report(s, 8, false);

    start_warm(s, 8);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(!record_first_byte(s, {}, 100ms));
    BOOST_TEST(!record_first_byte(s, {}, 900ms));
    BOOST_TEST(!record_first_byte(s, {}, 100ms)); // One alone is no jump.
    BOOST_TEST(!record_first_byte(s, {}, 900ms));
    BOOST_TEST(record_first_byte(s, {}, 900ms));
    BOOST_TEST((s.cause == cold_cause::slow_first_byte));
}

BOOST_AUTO_TEST_CASE(breaker_opens_probes_and_closes)
{
    breaker b;
    breaker_options const options;
    BOOST_TEST(!record_failure(b, options, at(0s), 0));
    BOOST_TEST(!record_failure(b, options, at(0s), 0));
    BOOST_TEST(record_failure(b, options, at(0s), 0));
    BOOST_TEST(!may_send(b, at(999ms)));
    BOOST_TEST(may_send(b, at(1s)));
    record_sent(b);
    BOOST_TEST(!may_send(b, at(1s))); // One probe at a time.
    BOOST_TEST(record_failure(b, options, at(1s), 0));
    BOOST_TEST(!may_send(b, at(2900ms))); // The pause doubled.
    BOOST_TEST(may_send(b, at(3s)));
    record_sent(b);
    record_success(b, at(3s));
    BOOST_TEST(may_send(b, at(3s)));
    BOOST_TEST((b.state == breaker_state::closed));
}

BOOST_AUTO_TEST_CASE(silence_of_one_attempt_while_others_answer_is_no_failure)
{
    breaker b;
    breaker_options const options{.failures_to_open = 1};
    record_success(b, at(5s));
    BOOST_TEST(!record_timeout(b, options, at(4s), at(34s), 0));
    BOOST_TEST((b.state == breaker_state::closed));
    BOOST_TEST(record_timeout(b, options, at(6s), at(36s), 0));
}

BOOST_AUTO_TEST_SUITE_END()

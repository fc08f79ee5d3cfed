/// Tests of the refusal of requests that crash servers.
#include "decisions/crash_history.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

time_point const begin{1000s};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_histories)

BOOST_AUTO_TEST_CASE(a_request_is_refused_after_three_crashes)
{
    crash_history history;
    for (std::uint64_t server = 1; server <= 3; ++server)
    {
        BOOST_TEST(!should_refuse(history, 7, begin));
        BOOST_TEST(record_crash(history, {7, server, begin}));
    }
    BOOST_TEST(should_refuse(history, 7, begin));
    BOOST_TEST(!should_refuse(history, 8, begin));
}

BOOST_AUTO_TEST_CASE(one_crash_reported_by_many_routers_counts_once)
{
    crash_history history;
    BOOST_TEST(record_crash(history, {7, 1, begin}));
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(!record_crash(history, {7, 1, begin}));
    BOOST_TEST(!should_refuse(history, 7, begin));
}

BOOST_AUTO_TEST_CASE(a_request_that_completes_is_cleared)
{
    crash_history history;
    record_crash(history, {7, 1, begin});
    record_crash(history, {7, 2, begin});
    BOOST_TEST(record_answer(history, {7, begin + 1s}));
    BOOST_TEST(!record_answer(history, {7, begin + 1s}));
    record_crash(history, {7, 3, begin + 2s});
    BOOST_TEST(!should_refuse(history, 7, begin));
}

// Guards against a request that is refused again because crashes from before
// its answer are reported late, or repeated.
BOOST_AUTO_TEST_CASE(crashes_before_an_answer_do_not_count)
{
    crash_history history;
    record_crash(history, {7, 1, begin});
    record_answer(history, {7, begin + 1s});
    request_crash const late{7, 2, begin + 500ms};
    BOOST_TEST(is_answered_since(history, late));
    BOOST_TEST(!record_crash(history, late));
    BOOST_TEST(record_crash(history, {7, 2, begin + 2s}));
    remove_expired_crashes(history, begin + 5min);
    BOOST_TEST(history.answered_at.empty());
}

BOOST_AUTO_TEST_CASE(crashes_that_are_repeated_expire)
{
    crash_history history;
    for (std::uint64_t server = 1; server <= 3; ++server)
        record_crash(history, {7, server, begin});
    for (auto age = 1s; age < 119s; age += 1s)
    {
        for (auto const& crash : crashes_to_repeat(history, begin + age))
            BOOST_TEST(!record_crash(history, crash));
    }
    BOOST_TEST(should_refuse(history, 7, begin + 119s));
    BOOST_TEST(!should_refuse(history, 7, begin + 2min));
    BOOST_TEST(crashes_to_repeat(history, begin + 2min).empty());
}

BOOST_AUTO_TEST_CASE(refused_requests_are_repeated_in_turn)
{
    crash_history history{.options = {.max_repeated = 4}};
    for (std::uint64_t request = 1; request <= 10; ++request)
    {
        for (std::uint64_t server = 1; server <= 3; ++server)
            record_crash(history, {request, server, begin});
        record_crash(history, {100 + request, 1, begin}); // Not refused.
    }
    std::set<std::uint64_t> repeated;
    for (int turn = 0; turn < 3; ++turn)
    {
        auto const crashes = crashes_to_repeat(history, begin);
        BOOST_TEST(crashes.size() == 12U);
        for (auto const& crash : crashes)
            repeated.insert(crash.request);
    }
    BOOST_TEST(repeated.size() == 10U);
    BOOST_TEST(*repeated.rbegin() == 10U);
}

BOOST_AUTO_TEST_CASE(crashes_expire)
{
    crash_history history;
    for (std::uint64_t server = 1; server <= 3; ++server)
        record_crash(history, {7, server, begin});
    auto const expiry = begin + history.options.retention;
    BOOST_TEST(!should_refuse(history, 7, expiry));
    remove_expired_crashes(history, expiry);
    BOOST_TEST(history.requests.empty());
}

BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    crash_history history{.options = {.max_requests = 10}};
    for (std::uint64_t request = 0; request < 100; ++request)
        record_crash(history, {request, 1, begin + request * 1ms});
    BOOST_TEST(history.requests.size() == 10U);
    BOOST_TEST(history.requests.contains(99));
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of the refusal of requests that crash servers.
#include "decisions/crash_history.hpp"

#include <boost/test/unit_test.hpp>

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
        BOOST_TEST(record_crash(history, 7, server, begin));
    }
    BOOST_TEST(should_refuse(history, 7, begin));
    BOOST_TEST(!should_refuse(history, 8, begin));
}

BOOST_AUTO_TEST_CASE(one_crash_reported_by_many_routers_counts_once)
{
    crash_history history;
    BOOST_TEST(record_crash(history, 7, 1, begin));
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(!record_crash(history, 7, 1, begin));
    BOOST_TEST(!should_refuse(history, 7, begin));
}

BOOST_AUTO_TEST_CASE(a_request_that_completes_is_cleared)
{
    crash_history history;
    record_crash(history, 7, 1, begin);
    record_crash(history, 7, 2, begin);
    clear_crashes(history, 7);
    record_crash(history, 7, 3, begin);
    BOOST_TEST(!should_refuse(history, 7, begin));
}

BOOST_AUTO_TEST_CASE(crashes_expire)
{
    crash_history history;
    for (std::uint64_t server = 1; server <= 3; ++server)
        record_crash(history, 7, server, begin);
    auto const expiry = begin + history.options.retention;
    BOOST_TEST(!should_refuse(history, 7, expiry));
    remove_expired_crashes(history, expiry);
    BOOST_TEST(history.requests.empty());
}

BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    crash_history history{.options = {.max_requests = 10}};
    for (std::uint64_t request = 0; request < 100; ++request)
        record_crash(history, request, 1, begin + request * 1ms);
    BOOST_TEST(history.requests.size() == 10U);
    BOOST_TEST(history.requests.contains(99));
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of the refusal of requests that take servers down.
#include "decisions/crash_history.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

time_point const begin{1000s};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_ledgers)

BOOST_AUTO_TEST_CASE(a_request_is_refused_after_three_servers)
{
    crash_history ledger;
    for (std::uint64_t server = 1; server <= 3; ++server)
    {
        BOOST_TEST(!should_refuse(ledger, 7, begin));
        BOOST_TEST(record_crash(ledger, 7, server, begin));
    }
    BOOST_TEST(should_refuse(ledger, 7, begin));
    BOOST_TEST(!should_refuse(ledger, 8, begin));
}

BOOST_AUTO_TEST_CASE(one_crash_seen_by_many_counts_once)
{
    crash_history ledger;
    BOOST_TEST(record_crash(ledger, 7, 1, begin));
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(!record_crash(ledger, 7, 1, begin));
    BOOST_TEST(!should_refuse(ledger, 7, begin));
}

BOOST_AUTO_TEST_CASE(a_request_that_completes_is_cleared)
{
    crash_history ledger;
    record_crash(ledger, 7, 1, begin);
    record_crash(ledger, 7, 2, begin);
    clear_crashes(ledger, 7);
    record_crash(ledger, 7, 3, begin);
    BOOST_TEST(!should_refuse(ledger, 7, begin));
}

BOOST_AUTO_TEST_CASE(suspicions_are_forgotten)
{
    crash_history ledger;
    for (std::uint64_t server = 1; server <= 3; ++server)
        record_crash(ledger, 7, server, begin);
    auto const later = begin + ledger.options.memory;
    BOOST_TEST(!should_refuse(ledger, 7, later));
    remove_expired_crashes(ledger, later);
    BOOST_TEST(ledger.requests.empty());
}

BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    crash_history ledger{.options = {.max_requests = 10}};
    for (std::uint64_t request = 0; request < 100; ++request)
        record_crash(ledger, request, 1, begin + request * 1ms);
    BOOST_TEST(ledger.requests.size() == 10U);
    BOOST_TEST(ledger.requests.contains(99));
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of what backend servers announce about themselves.
#include "decisions/server_announcements.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

time_point const begin{1000s};

} // namespace

BOOST_AUTO_TEST_SUITE(announcements)

BOOST_AUTO_TEST_CASE(leaving_holds_for_one_run_of_a_server)
{
    server_announcements state;
    BOOST_TEST(!is_leaving(state, 1));
    BOOST_TEST(record_leaving(state, 1, begin));
    BOOST_TEST(!record_leaving(state, 1, begin + 1s));
    BOOST_TEST(is_leaving(state, 1));
    BOOST_TEST(!is_leaving(state, 2));
}

BOOST_AUTO_TEST_CASE(pause_ends_with_its_time)
{
    server_announcements state;
    record_pause(state, 1, 3s, begin);
    record_pause(state, 1, 1s, begin + 1s);
    BOOST_TEST((remaining_pause(state, 1, begin + 1s) == 2s));
    BOOST_TEST((remaining_pause(state, 1, begin + 3s) == 0s));
    BOOST_TEST((remaining_pause(state, 2, begin) == 0s));
    BOOST_TEST(!is_leaving(state, 1));
}

BOOST_AUTO_TEST_CASE(announcements_expire_but_not_within_a_pause)
{
    server_announcements state;
    record_leaving(state, 1, begin);
    record_pause(state, 2, 30min, begin);
    remove_expired(state, begin + state.retention - 1s);
    BOOST_TEST(is_leaving(state, 1));
    remove_expired(state, begin + state.retention);
    BOOST_TEST(!is_leaving(state, 1));
    BOOST_TEST((remaining_pause(state, 2, begin) == 30min));
    remove_expired(state, begin + 30min);
    BOOST_TEST(state.by_run.empty());
}

BOOST_AUTO_TEST_SUITE_END()

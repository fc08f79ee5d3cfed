/// Test of slow start by a load that overloads a cold server.
#include "fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(router_slow_start)

// Guards against a server that turns cold without a restart and without saying
// so, and falls over by the load that it bore when it was warm.
BOOST_AUTO_TEST_CASE(a_server_that_turns_cold_is_not_overloaded_by_another_load)
{
    auto fleet = make_fleet({});
    load_options load{.rate = 200, .end_rate = 200, .router_first = true};
    load.length = 3s;
    run_load(*fleet, load);
    server_id const victim{"engine-4"};
    fleet->servers[victim].reports_cold = false;
    turn_cold(*fleet, victim);
    load.length = 10s;
    run_load(*fleet, load);
    finish_requests(*fleet);
    BOOST_TEST(fleet->servers[victim].crashes == 0U);
    BOOST_TEST(!fleet->servers[victim].cold);
    BOOST_TEST(count_events(*fleet, event_kind::server_cold) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

/// Rollouts of services with so few requests that a bad version is hard to tell
/// from a good one before the deadline. Fails today: see KNOWN-RED.txt.
#include "rollout_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>
#include <string>
#include <vector>

using namespace bramleyarch;
using namespace bramleyarch::test;

namespace
{

constexpr double requests_per_second = 20;

/// Plays the scenario in fleets of three sizes with two seeds each, and checks
/// that the version is rolled back within its exposure.
void check_rolled_back(std::string const& name, scenario s, duration length)
{
    s.rate = requests_per_second;
    s.length = length;
    for (std::size_t const routers : {8, 80, 300})
    {
        s.routers = routers;
        for (s.seed = 1; s.seed <= 2; ++s.seed)
        {
            auto const r = fleet{s}.play();
            BOOST_TEST_MESSAGE(fmt::format(
                "{}: {} routers, seed {}: {}, {} at the new "
                "version of {}",
                name, s.routers, s.seed, r.state ? to_name(*r.state) : "none",
                r.at_new, r.all));
            BOOST_TEST((r.state == rollout_state::rolled_back), name);
            BOOST_TEST(r.at_new <= 0.1 * r.all + 50);
            BOOST_TEST(r.late == 0U);
        }
    }
}

version_behaviour constant(behaviour b)
{
    return [b](moment const&) { return b; };
}

} // namespace

BOOST_AUTO_TEST_SUITE(rollouts_with_few_requests)

// Guards against judging a version by its good answers of earlier.
BOOST_AUTO_TEST_CASE(version_that_turns_bad_late_is_rolled_back)
{
    check_rolled_back(
        "late",
        {.new_version = [](moment const& m)
         { return behaviour{.failed = m.since_s > 6 ? 0.3 : 0}; }},
        12s);
}

// Guards against adding up routes, which hides a bad one that is rare.
BOOST_AUTO_TEST_CASE(version_that_is_bad_on_one_route_is_rolled_back)
{
    scenario const s{.new_version = [](moment const& m)
                     { return behaviour{.failed = m.route == 2 ? 0.5 : 0}; }};
    check_rolled_back("one route", s, 12s);
    check_rolled_back("one route", s, 40s);
}

// Guards against an error-prone service whose new version is worse.
BOOST_AUTO_TEST_CASE(worse_version_of_error_prone_service_is_rolled_back)
{
    check_rolled_back("worse",
                      {.old_version = constant({.failed = 0.14}),
                       .new_version = constant({.failed = 0.5})},
                      12s);
}

BOOST_AUTO_TEST_SUITE_END()

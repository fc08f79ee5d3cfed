/// Tests of fleet-wide team limits, with the error measured where the routers
/// can't know each other's demand.
#include "decisions/team_limit.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

team_id const team{"crews"};
constexpr double rate = 100; // Requests per second over the fleet.
constexpr double burst = 20;

struct limited_fleet
{
    std::vector<team_limits> routers;
    std::vector<int> partition; ///< Routers of one number hear each other.
    std::vector<int> allowed;
    std::vector<double> credit; ///< Fractions of requests to be sent.
    time_point at{};
};

limited_fleet make_fleet(std::size_t count)
{
    limited_fleet fleet;
    fleet.routers.resize(count);
    fleet.partition.assign(count, 0);
    fleet.allowed.assign(count, 0);
    fleet.credit.assign(count, 0);
    for (auto& router : fleet.routers)
        set_team_rate(router, team, rate, burst, fleet.at);
    return fleet;
}

void exchange(limited_fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.routers.size(); ++i)
    {
        std::size_t reachable = 0;
        for (std::size_t j = 0; j < fleet.routers.size(); ++j)
        {
            if (fleet.partition[i] != fleet.partition[j])
                continue;
            ++reachable;
            if (i != j)
                record_remote_demand(
                    fleet.routers[i], team, router_id{std::to_string(j)},
                    fleet.routers[j].teams[team].local_demand, fleet.at);
        }
        update_shares(fleet.routers[i], reachable, 1s, fleet.at);
    }
}

/// Sends `demand[i]` requests a second to router i for `seconds`; returns the
/// allowed requests per second.
double run(limited_fleet& fleet, std::vector<double> const& demand, int seconds)
{
    int total = 0;
    constexpr int steps = 100;
    for (int s = 0; s < seconds * steps; ++s)
    {
        fleet.at += 10ms;
        for (std::size_t i = 0; i < fleet.routers.size(); ++i)
        {
            fleet.credit[i] += demand[i] / steps;
            for (; fleet.credit[i] >= 1; fleet.credit[i] -= 1)
                total += acquire_token(fleet.routers[i], team, fleet.at).allowed
                             ? 1
                             : 0;
        }
        if (s % steps == steps - 1)
            exchange(fleet);
    }
    return static_cast<double>(total) / seconds;
}

} // namespace

BOOST_AUTO_TEST_SUITE(team_limiting)

BOOST_AUTO_TEST_CASE(steady_demand_above_the_rate_gets_the_rate)
{
    auto fleet = make_fleet(8);
    std::vector<double> const uneven{120, 60, 10, 5, 5, 0, 0, 0};
    run(fleet, uneven, 10);
    auto const allowed = run(fleet, uneven, 20);
    BOOST_TEST_MESSAGE("steady: " << allowed << " of " << rate << " per s");
    // The floor holds shares for routers without demand.
    BOOST_TEST(allowed <= rate * 1.05);
    BOOST_TEST(allowed >= rate * 0.75);
}

BOOST_AUTO_TEST_CASE(demand_below_the_rate_is_not_limited_for_long)
{
    auto fleet = make_fleet(8);
    std::vector<double> const one{50, 0, 0, 0, 0, 0, 0, 0};
    run(fleet, one, 10);
    BOOST_TEST(run(fleet, one, 10) >= 49);
}

BOOST_AUTO_TEST_CASE(demand_below_the_rate_may_move_between_routers)
{
    auto fleet = make_fleet(8);
    run(fleet, {16, 16, 16, 0, 0, 0, 0, 0}, 10);
    // As when a domain that was cut off rejoins.
    std::vector<double> const spread(8, 6.0);
    BOOST_TEST(run(fleet, spread, 10) >= 47.9);
}

BOOST_AUTO_TEST_CASE(error_at_a_surge_is_bounded)
{
    auto fleet = make_fleet(8);
    run(fleet, std::vector<double>(8, 1.0), 10);
    std::vector<double> surge(8, 0.0);
    surge[2] = 400;
    surge[5] = 400;
    auto const first = run(fleet, surge, 2);
    auto const later = run(fleet, surge, 10);
    BOOST_TEST_MESSAGE("surge, first 2 s: " << first << ", after: " << later
                                            << " of " << rate << " per s");
    BOOST_TEST(first <= rate * 1.1 + burst);
    BOOST_TEST(later <= rate * 1.05 + burst / 10);
    BOOST_TEST(later >= rate * 0.75);
}

BOOST_AUTO_TEST_CASE(error_after_a_restart_is_bounded)
{
    auto fleet = make_fleet(8);
    std::vector<double> const demand(8, 30.0);
    run(fleet, demand, 10);
    fleet.routers[3] = {};
    set_team_rate(fleet.routers[3], team, rate, burst, fleet.at);
    auto const first = run(fleet, demand, 3);
    auto const later = run(fleet, demand, 10);
    BOOST_TEST_MESSAGE("restart, first 3 s: " << first << ", after: " << later
                                              << " of " << rate << " per s");
    // Before its first exchange a router uses the whole rate: one second.
    BOOST_TEST(first <= rate * 1.5 + burst);
    BOOST_TEST(later <= rate * 1.05 + burst / 10);
}

BOOST_AUTO_TEST_CASE(error_in_a_cut_off_domain_is_one_rate_per_part)
{
    auto fleet = make_fleet(9);
    std::vector<double> const demand(9, 30.0);
    run(fleet, demand, 10);
    for (std::size_t i = 6; i < 9; ++i)
        fleet.partition[i] = 1;
    run(fleet, demand, 10);
    auto const cut = run(fleet, demand, 10);
    std::fill(fleet.partition.begin(), fleet.partition.end(), 0);
    run(fleet, demand, 3);
    auto const healed = run(fleet, demand, 10);
    BOOST_TEST_MESSAGE("cut off: " << cut << ", healed: " << healed << " of "
                                   << rate << " per s");
    BOOST_TEST(cut <= 2 * rate * 1.05);
    BOOST_TEST(healed <= rate * 1.05 + burst / 10);
}

BOOST_AUTO_TEST_CASE(switched_off_nothing_is_limited)
{
    auto fleet = make_fleet(2);
    for (auto& router : fleet.routers)
        router.options.enabled = false;
    BOOST_TEST(run(fleet, {400, 400}, 2) >= 799);
}

BOOST_AUTO_TEST_SUITE_END()

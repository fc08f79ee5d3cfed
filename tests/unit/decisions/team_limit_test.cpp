/// Tests of the fleet-wide rate limits of teams. They measure by how much the
/// limit is exceeded where routers can't know each other's demand.
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
constexpr double rate = 100; // Requests per second, fleet-wide.
constexpr double burst = 20;

struct limited_fleet
{
    std::vector<team_limits> routers;
    /// Network partition of each router. Routers only receive reports from
    /// routers in the same partition.
    std::vector<int> partition;
    std::vector<int> allowed;
    /// Fractions of requests that each router has still to receive.
    std::vector<double> credit;
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

/// Exchanges demand reports within each partition and updates all shares.
void exchange_demand(limited_fleet& fleet)
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

/// Sends `demand[i]` requests per second to router i for `seconds`. Returns the
/// number of allowed requests per second.
double run(limited_fleet& fleet, std::vector<double> const& demand, int seconds)
{
    int allowed = 0;
    constexpr int steps_per_s = 100;
    for (int step = 0; step < seconds * steps_per_s; ++step)
    {
        fleet.at += 10ms;
        for (std::size_t i = 0; i < fleet.routers.size(); ++i)
        {
            fleet.credit[i] += demand[i] / steps_per_s;
            for (; fleet.credit[i] >= 1; fleet.credit[i] -= 1)
                allowed +=
                    acquire_token(fleet.routers[i], team, fleet.at).allowed ? 1
                                                                            : 0;
        }
        if (step % steps_per_s == steps_per_s - 1)
            exchange_demand(fleet);
    }
    return static_cast<double>(allowed) / seconds;
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
    // The floor reserves a share for routers without demand.
    BOOST_TEST(allowed <= rate * 1.05);
    BOOST_TEST(allowed >= rate * 0.75);
}

BOOST_AUTO_TEST_CASE(demand_below_the_rate_is_not_limited_for_long)
{
    auto fleet = make_fleet(8);
    std::vector<double> const at_one_router{50, 0, 0, 0, 0, 0, 0, 0};
    run(fleet, at_one_router, 10);
    BOOST_TEST(run(fleet, at_one_router, 10) >= 49);
}

BOOST_AUTO_TEST_CASE(demand_below_the_rate_may_move_between_routers)
{
    auto fleet = make_fleet(8);
    run(fleet, {16, 16, 16, 0, 0, 0, 0, 0}, 10);
    // Demand moves in this way when a partitioned domain rejoins.
    std::vector<double> const even(8, 6.0);
    BOOST_TEST(run(fleet, even, 10) >= 47.9);
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
    // Until its first exchange, one second later, a router uses the whole rate.
    BOOST_TEST(first <= rate * 1.5 + burst);
    BOOST_TEST(later <= rate * 1.05 + burst / 10);
}

BOOST_AUTO_TEST_CASE(error_in_a_partitioned_fleet_is_one_rate_per_partition)
{
    auto fleet = make_fleet(9);
    std::vector<double> const demand(9, 30.0);
    run(fleet, demand, 10);
    for (std::size_t i = 6; i < 9; ++i)
        fleet.partition[i] = 1;
    run(fleet, demand, 10);
    auto const partitioned = run(fleet, demand, 10);
    std::fill(fleet.partition.begin(), fleet.partition.end(), 0);
    run(fleet, demand, 3);
    auto const healed = run(fleet, demand, 10);
    BOOST_TEST_MESSAGE("partitioned: " << partitioned << ", healed: " << healed
                                       << " of " << rate << " per s");
    BOOST_TEST(partitioned <= 2 * rate * 1.05);
    BOOST_TEST(healed <= rate * 1.05 + burst / 10);
}

BOOST_AUTO_TEST_CASE(disabled_limits_allow_all_requests)
{
    auto fleet = make_fleet(2);
    for (auto& router : fleet.routers)
        router.options.enabled = false;
    BOOST_TEST(run(fleet, {400, 400}, 2) >= 799);
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of the maximum time for which a server has two owners, or none, while
/// routers have different views of the fleet.
#include "protocol_fleet.hpp"

#include "decisions/ownership.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace bramleyarch::test;

namespace
{

/// Number of rounds for which a server had two owners or none: the current
/// count per server, and the longest over all servers.
struct ownership_watch
{
    std::vector<int> double_rounds;
    std::vector<int> unowned_rounds;
    int longest_double = 0;
    int longest_unowned = 0;
};

std::shared_ptr<config::document const> make_config(std::size_t servers)
{
    auto made = std::make_shared<config::document>();
    made->version = 5;
    config::service_config service{.id = {"chat"}};
    for (std::size_t d = 0; d < 3; ++d)
        made->domains.push_back({.id = {"domain-" + std::to_string(d)}});
    for (std::size_t s = 0; s < servers; ++s)
        service.servers.push_back(
            {.id = {"server-" + std::to_string(s)},
             .domain = {"domain-" + std::to_string(s % 3)}});
    made->services.push_back(service);
    return made;
}

protocol_fleet configured_fleet(std::size_t size)
{
    auto fleet = make_fleet(size);
    auto const config = make_config(21);
    for (std::size_t n = 0; n < size; ++n)
        deliver(fleet, n,
                adopt_config(fleet.nodes[n].state, config, fleet.now));
    rounds_until(fleet, [&] { return all_live(fleet); });
    run_for(fleet, 10s);
    return fleet;
}

/// Returns the number of running routers that own `server` in their own view.
int owners_of(protocol_fleet const& fleet,
              std::vector<decisions::ownership> const& assigned,
              server_id const& server)
{
    int owners = 0;
    for (std::size_t n = 0; n < fleet.nodes.size(); ++n)
    {
        bool const running = fleet.nodes[n].running;
        if (running &&
            decisions::owner_of(assigned[n], server) == router_name(n))
            ++owners;
    }
    return owners;
}

void record_owners(protocol_fleet const& fleet, ownership_watch& watched)
{
    auto const& config = fleet.nodes[0].state.config;
    std::vector<decisions::ownership> assigned;
    for (auto const& node : fleet.nodes)
        assigned.push_back(decisions::assign_owners(*config, *node.state.view));
    auto const& servers = config->services[0].servers;
    watched.double_rounds.resize(servers.size());
    watched.unowned_rounds.resize(servers.size());
    for (std::size_t s = 0; s < servers.size(); ++s)
    {
        int const owners = owners_of(fleet, assigned, servers[s].id);
        watched.double_rounds[s] =
            owners > 1 ? watched.double_rounds[s] + 1 : 0;
        watched.unowned_rounds[s] =
            owners == 0 ? watched.unowned_rounds[s] + 1 : 0;
        watched.longest_double =
            std::max(watched.longest_double, watched.double_rounds[s]);
        watched.longest_unowned =
            std::max(watched.longest_unowned, watched.unowned_rounds[s]);
    }
}

void watch_for(protocol_fleet& fleet, ownership_watch& watched, duration time)
{
    record_owners(fleet, watched);
    for (auto const end = fleet.now + time; fleet.now < end;)
    {
        run_round(fleet);
        record_owners(fleet, watched);
    }
}

void report(char const* what, ownership_watch const& watched)
{
    BOOST_TEST_MESSAGE(what << ": two owners for ms "
                            << watched.longest_double * 250 << ", none for ms "
                            << watched.longest_unowned * 250);
}

/// A server has two owners for at most 2 s if routers can reach each other.
constexpr int max_double_rounds = 8;

/// At a planned restart, the former owner receives the update before the new
/// owner becomes live, if the settings name all peers.
constexpr int max_restart_double_rounds = 1;

/// A server has no owner for at most 4.5 s after its owner stopped.
constexpr int max_unowned_rounds = 18;

} // namespace

BOOST_AUTO_TEST_SUITE(two_owners)

BOOST_AUTO_TEST_CASE(leaving_transfers_ownership_at_once)
{
    for (bool const names_all_peers : {true, false})
    {
        auto fleet = configured_fleet(8);
        ownership_watch watched;
        for (std::size_t n = 0; n < 8; ++n)
        {
            deliver(fleet, n, start_leaving(fleet.nodes[n].state, fleet.now));
            watch_for(fleet, watched, 3s);
            auto& state = fleet.nodes[n].state =
                make_node(n, 3, fleet.now, 2 + n);
            for (std::size_t peer = 0; peer < 8 && names_all_peers; ++peer)
                state.options.seeds.push_back(endpoint_of(peer));
            deliver(fleet, n, adopt_config(state, make_config(21), fleet.now));
            watch_for(fleet, watched, 10s);
        }
        report("rolling restart", watched);
        BOOST_TEST(
            watched.longest_double <=
            (names_all_peers ? max_restart_double_rounds : max_double_rounds));
        BOOST_TEST(watched.longest_unowned <= 1);
    }
}

BOOST_AUTO_TEST_CASE(a_dead_owner_is_replaced)
{
    for (std::size_t dead = 0; dead < 8; ++dead)
    {
        auto fleet = configured_fleet(8);
        ownership_watch watched;
        fleet.nodes[dead].running = false;
        watch_for(fleet, watched, 15s);
        report("stopped owner", watched);
        BOOST_TEST(watched.longest_double <= max_double_rounds);
        BOOST_TEST(watched.longest_unowned <= max_unowned_rounds);
    }
}

BOOST_AUTO_TEST_CASE(double_ownership_after_a_pause_is_bounded)
{
    for (std::size_t paused = 0; paused < 8; ++paused)
    {
        auto fleet = configured_fleet(8);
        fleet.nodes[paused].running = false;
        run_for(fleet, 20s);
        fleet.nodes[paused].running = true;
        ownership_watch watched;
        watch_for(fleet, watched, 15s);
        report("resumed owner", watched);
        BOOST_TEST(watched.longest_double <= max_double_rounds);
    }
}

BOOST_AUTO_TEST_CASE(a_lossy_network_keeps_to_the_bound)
{
    auto fleet = configured_fleet(8);
    std::uint64_t state = 7;
    fleet.arrives = [&](std::size_t, std::size_t)
    {
        state = mix(state, 1);
        return state % 10 != 0;
    };
    ownership_watch watched;
    for (std::size_t n = 0; n < 8; ++n)
    {
        fleet.nodes[n].running = false;
        watch_for(fleet, watched, 10s);
        fleet.nodes[n].running = true;
        watch_for(fleet, watched, 10s);
    }
    report("one datagram of ten lost", watched);
    BOOST_TEST(watched.longest_double <= max_double_rounds);
}

BOOST_AUTO_TEST_CASE(a_healed_partition_ends_double_ownership)
{
    auto fleet = configured_fleet(8);
    auto const is_cut = [](std::size_t n) { return n % 3 == 1; };
    fleet.arrives = [&](std::size_t a, std::size_t b)
    { return is_cut(a) == is_cut(b); };
    ownership_watch cut;
    watch_for(fleet, cut, 30s);
    report("partition for 30 s", cut);
    // Both sides serve the domain, the remote side after 7 s at the earliest.
    BOOST_TEST(cut.longest_double > 0);
    BOOST_TEST(cut.longest_double <= (30 - 7) * 4);
    fleet.arrives = [](std::size_t, std::size_t) { return true; };
    ownership_watch healed;
    watch_for(fleet, healed, 15s);
    report("healed", healed);
    BOOST_TEST(healed.longest_double <= max_double_rounds);
}

BOOST_AUTO_TEST_SUITE_END()

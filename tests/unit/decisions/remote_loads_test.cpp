/// Tests of what routers know of each other's loads.
#include "decisions/remote_loads.hpp"

#include "common/digest.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

time_point const start{100s};
domain_id const own_domain{"a"};

/// A router of a fleet that exchanges heartbeats.
struct node
{
    router_id id;
    domain_id domain;
    std::uint32_t in_flight = 0; ///< At `server`.
    remote_loads known;
    heartbeat_rotation rotation;
};

/// The only server, by the hash of its id.
constexpr std::uint64_t server = 7;

/// Returns the number of requests at the server that a router knows of.
std::uint32_t known_load(node const& router)
{
    auto const remote = remote_load_at(router.known, server);
    return router.in_flight + remote.own_domain + remote.other_domains;
}

std::map<router_id, node> make_fleet(int domains, int routers,
                                     bool staggered = true)
{
    std::map<router_id, node> fleet;
    for (int i = 0; i < routers; ++i)
    {
        router_id const id{"r" + std::to_string(i)};
        fleet[id] = {.id = id, .domain = {"d" + std::to_string(i % domains)}};
    }
    for (auto& [id, router] : fleet)
    {
        for (auto const& [other, peer] : fleet)
        {
            if (other == id)
                continue;
            auto& targets = peer.domain == router.domain
                                ? router.rotation.own_domain
                                : router.rotation.other_domains;
            targets.push_back(other);
        }
        if (staggered)
            stagger(router.rotation, name_hash(id.value));
    }
    return fleet;
}

/// Runs one heartbeat round of all routers, in which every tenth heartbeat is
/// lost.
void run_heartbeat_round(std::map<router_id, node>& fleet, time_point at)
{
    int sent = 0;
    auto const send =
        [&](node const& from, router_id const& to, std::uint32_t load)
    {
        if (++sent % 10 == 0)
            return;
        apply_heartbeat(
            fleet.at(to).known, fleet.at(to).domain,
            {.from = from.id, .domain = from.domain, .loads = {{server, load}}},
            at);
    };
    for (auto& [id, router] : fleet)
    {
        auto const targets = next_heartbeat_targets(router.rotation, {});
        for (auto const& to : targets.own_domain)
            send(router, to, router.in_flight);
        auto const domain_load =
            router.in_flight + remote_load_at(router.known, server).own_domain;
        for (auto const& to : targets.other_domains)
            send(router, to, domain_load);
        remove_expired_loads(router.known, at);
    }
}

/// Gives every router two requests for the server at once, and then runs rounds
/// until all earlier loads have expired.
void load_at_once(std::map<router_id, node>& fleet)
{
    auto at = start;
    for (int round = 0; round < 8; ++round)
        run_heartbeat_round(fleet, at += 250ms);
    for (auto& [id, router] : fleet)
        router.in_flight = 2;
    auto const end = at + remote_loads_options{}.max_age;
    while (at < end)
        run_heartbeat_round(fleet, at += 250ms);
}

} // namespace

BOOST_AUTO_TEST_SUITE(remote_load_knowledge)

BOOST_AUTO_TEST_CASE(peers_count_individually_and_other_domains_as_a_sum)
{
    remote_loads loads;
    apply_heartbeat(loads, own_domain,
                    {.from = {"r1"}, .domain = own_domain, .loads = {{7, 2}}},
                    start);
    apply_heartbeat(loads, own_domain,
                    {.from = {"r2"}, .domain = own_domain, .loads = {{7, 3}}},
                    start);
    apply_heartbeat(loads, own_domain,
                    {.from = {"r8"}, .domain = {"b"}, .loads = {{7, 9}}},
                    start);
    // A later sum of a domain replaces the one from another of its routers.
    apply_heartbeat(loads, own_domain,
                    {.from = {"r9"}, .domain = {"b"}, .loads = {{7, 4}}},
                    start);
    apply_heartbeat(loads, own_domain,
                    {.from = {"r1"}, .domain = own_domain, .loads = {}}, start);
    BOOST_TEST(remote_load_at(loads, 7).own_domain == 3U);
    BOOST_TEST(remote_load_at(loads, 7).other_domains == 4U);
    BOOST_TEST(remote_load_at(loads, 8).other_domains == 0U);
}

BOOST_AUTO_TEST_CASE(expired_loads_do_not_count)
{
    remote_loads loads;
    apply_heartbeat(loads, own_domain,
                    {.from = {"r1"}, .domain = own_domain, .loads = {{7, 2}}},
                    start);
    remove_expired_loads(loads, start + 1s);
    BOOST_TEST(remote_load_at(loads, 7).own_domain == 2U);
    remove_expired_loads(loads, start + 2s);
    BOOST_TEST(remote_load_at(loads, 7).own_domain == 0U);
    BOOST_TEST(loads.by_server.empty());
}

BOOST_AUTO_TEST_CASE(heartbeats_that_repeat_a_server_keep_the_sums_correct)
{
    remote_loads loads;
    for (int i = 0; i < 3; ++i)
        apply_heartbeat(loads, own_domain,
                        {.from = {"r1"},
                         .domain = own_domain,
                         .loads = {{7, 0}, {7, 0}, {7, 2}, {7, 2}}},
                        start);
    BOOST_TEST(remote_load_at(loads, 7).own_domain == 4U);
    apply_heartbeat(loads, own_domain, {.from = {"r1"}, .domain = own_domain},
                    start);
    BOOST_TEST(loads.by_server.empty());
}

// A subject becomes hot, and each of 80 routers sends a few of its requests.
// All have to learn that its server is full before the earlier loads expire.
// They may miss a fifth of the load, since that much of the limit is reserved
// (`server_choice_options::usable_fraction`).
BOOST_AUTO_TEST_CASE(a_large_fleet_learns_a_sudden_load_before_loads_expire)
{
    auto fleet = make_fleet(5, 80);
    load_at_once(fleet);
    for (auto const& [id, router] : fleet)
        BOOST_TEST(known_load(router) >= 128U,
                   id.value << " knows of " << known_load(router));
    // No router counts a request twice.
    for (auto const& [id, router] : fleet)
        BOOST_TEST(known_load(router) <= 160U,
                   id.value << " knows of " << known_load(router));
}

// All routers start at once, as after a power failure, and send to their peers
// in the same order. Without staggered rotations, each learns the loads of few
// others.
BOOST_AUTO_TEST_CASE(routers_without_stagger_learn_few_loads)
{
    auto fleet = make_fleet(5, 80, false);
    load_at_once(fleet);
    auto const well_informed = std::count_if(
        fleet.begin(), fleet.end(),
        [](auto const& entry) { return known_load(entry.second) >= 120; });
    BOOST_TEST(well_informed < 40);
}

BOOST_AUTO_TEST_CASE(few_heartbeats_go_to_other_domains)
{
    auto fleet = make_fleet(3, 80);
    auto& router = fleet.begin()->second;
    auto const first = next_heartbeat_targets(router.rotation, {});
    BOOST_TEST(first.own_domain.size() == 12U);
    BOOST_TEST(first.other_domains.size() == 4U);
    auto const second = next_heartbeat_targets(router.rotation, {});
    BOOST_CHECK(second.other_domains != first.other_domains);
}

BOOST_AUTO_TEST_SUITE_END()

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
domain_id const near{"a"};

/// A router of a fleet that sends rounds of beats.
struct node
{
    router_id id;
    domain_id domain;
    std::uint32_t in_flight = 0; ///< At the one server.
    remote_loads known;
    heartbeat_rotation order;
};

constexpr std::uint64_t server = 7;

std::uint32_t sum_of(node const& n)
{
    auto const sums = remote_load_at(n.known, server);
    return n.in_flight + sums.own_domain + sums.other_domains;
}

std::map<router_id, node> fleet_of(int domains, int routers,
                                   bool staggered = true)
{
    std::map<router_id, node> fleet;
    for (int i = 0; i < routers; ++i)
    {
        router_id const id{"r" + std::to_string(i)};
        fleet[id] = {.id = id, .domain = {"d" + std::to_string(i % domains)}};
    }
    for (auto& [id, n] : fleet)
    {
        for (auto const& [other, peer] : fleet)
        {
            if (other == id)
                continue;
            auto& turn = peer.domain == n.domain ? n.order.own_domain
                                                 : n.order.other_domains;
            turn.push_back(other);
        }
        if (staggered)
            stagger(n.order, name_hash(id.value));
    }
    return fleet;
}

/// One round of beats of all routers; every tenth beat is lost.
void tell_round(std::map<router_id, node>& fleet, time_point at)
{
    int sent = 0;
    auto const tell =
        [&](node const& from, router_id const& to, std::uint32_t load)
    {
        if (++sent % 10 == 0)
            return;
        apply_heartbeat(
            fleet.at(to).known, fleet.at(to).domain,
            {.from = from.id, .domain = from.domain, .loads = {{server, load}}},
            at);
    };
    for (auto& [id, n] : fleet)
    {
        auto const round = next_heartbeat_targets(n.order, {});
        for (auto const& to : round.own_domain)
            tell(n, to, n.in_flight);
        auto const of_domain =
            n.in_flight + remote_load_at(n.known, server).own_domain;
        for (auto const& to : round.other_domains)
            tell(n, to, of_domain);
        remove_expired_loads(n.known, at);
    }
}

/// All routers get two requests for the server at once; enough rounds follow
/// for what was told before to count no more.
void load_at_once(std::map<router_id, node>& fleet)
{
    auto at = start;
    for (int round = 0; round < 8; ++round)
        tell_round(fleet, at += 250ms);
    for (auto& [id, n] : fleet)
        n.in_flight = 2;
    auto const limit = at + remote_loads_options{}.limit;
    while (at < limit)
        tell_round(fleet, at += 250ms);
}

} // namespace

BOOST_AUTO_TEST_SUITE(shared_load_knowledge)

BOOST_AUTO_TEST_CASE(peers_count_by_themselves_and_other_domains_in_sum)
{
    remote_loads s;
    apply_heartbeat(s, near,
                    {.from = {"r1"}, .domain = near, .loads = {{7, 2}}}, start);
    apply_heartbeat(s, near,
                    {.from = {"r2"}, .domain = near, .loads = {{7, 3}}}, start);
    apply_heartbeat(
        s, near, {.from = {"r8"}, .domain = {"b"}, .loads = {{7, 9}}}, start);
    // The later sum of a domain replaces the one that another router told.
    apply_heartbeat(
        s, near, {.from = {"r9"}, .domain = {"b"}, .loads = {{7, 4}}}, start);
    apply_heartbeat(s, near, {.from = {"r1"}, .domain = near, .loads = {}},
                    start);
    BOOST_TEST(remote_load_at(s, 7).own_domain == 3U);
    BOOST_TEST(remote_load_at(s, 7).other_domains == 4U);
    BOOST_TEST(remote_load_at(s, 8).other_domains == 0U);
}

BOOST_AUTO_TEST_CASE(what_is_old_counts_no_more)
{
    remote_loads s;
    apply_heartbeat(s, near,
                    {.from = {"r1"}, .domain = near, .loads = {{7, 2}}}, start);
    remove_expired_loads(s, start + 1s);
    BOOST_TEST(remote_load_at(s, 7).own_domain == 2U);
    remove_expired_loads(s, start + 2s);
    BOOST_TEST(remote_load_at(s, 7).own_domain == 0U);
    BOOST_TEST(s.sums.empty());
}

BOOST_AUTO_TEST_CASE(beats_that_repeat_a_server_do_no_harm)
{
    remote_loads s;
    for (int i = 0; i < 3; ++i)
        apply_heartbeat(s, near,
                        {.from = {"r1"},
                         .domain = near,
                         .loads = {{7, 0}, {7, 0}, {7, 2}, {7, 2}}},
                        start);
    BOOST_TEST(remote_load_at(s, 7).own_domain == 4U);
    apply_heartbeat(s, near, {.from = {"r1"}, .domain = near}, start);
    BOOST_TEST(s.sums.empty());
}

// Load pattern: one subject becomes hot, and 80 routers that each see a sliver
// of it have to agree that its server is full, within the time for which what
// was told counts. A fifth of it may be missing: so much of the limit is kept
// back (`server_choice_options::usable_fraction`).
BOOST_AUTO_TEST_CASE(a_large_fleet_knows_a_sudden_load_within_the_limit)
{
    auto fleet = fleet_of(5, 80);
    load_at_once(fleet);
    for (auto const& [id, n] : fleet)
        BOOST_TEST(sum_of(n) >= 128U, id.value << " knows of " << sum_of(n));
    // No router counts a request twice.
    for (auto const& [id, n] : fleet)
        BOOST_TEST(sum_of(n) <= 160U, id.value << " knows of " << sum_of(n));
}

// Load pattern: all routers start at once, after a loss of power, and go
// through the list of their peers in step.
BOOST_AUTO_TEST_CASE(routers_in_step_know_little_of_each_other)
{
    auto fleet = fleet_of(5, 80, false);
    load_at_once(fleet);
    auto const knowing = std::count_if(fleet.begin(), fleet.end(),
                                       [](auto const& entry)
                                       { return sum_of(entry.second) >= 120; });
    BOOST_TEST(knowing < 40);
}

BOOST_AUTO_TEST_CASE(few_beats_cross_domains)
{
    auto fleet = fleet_of(3, 80);
    auto& n = fleet.begin()->second;
    auto const round = next_heartbeat_targets(n.order, {});
    BOOST_TEST(round.own_domain.size() == 12U);
    BOOST_TEST(round.other_domains.size() == 4U);
    auto const next = next_heartbeat_targets(n.order, {});
    BOOST_CHECK(next.other_domains != round.other_domains);
}

BOOST_AUTO_TEST_SUITE_END()

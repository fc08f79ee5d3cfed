/// Tests of the assignment of backend servers to routers.
#include "decisions/ownership.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

using namespace bramleyarch;
using decisions::assign_owners;
using decisions::owner_of;
using decisions::ownership;

namespace
{

struct fleet
{
    config::document config;
    member_view view;
};

/// Three domains form a region; servers and routers alternate over the domains.
fleet make_fleet(int domains, int routers, int servers)
{
    fleet made;
    config::service_config service{.id = {"chat"}};
    for (int i = 0; i < domains; ++i)
        made.config.domains.push_back(
            {.id = {"d" + std::to_string(i)},
             .region = {"r" + std::to_string(i / 3)}});
    for (int i = 0; i < servers; ++i)
        service.servers.push_back(
            {.id = {"server-" + std::to_string(i)},
             .domain = {"d" + std::to_string(i % domains)}});
    made.config.services.push_back(service);
    for (int i = 0; i < routers; ++i)
        made.view.members.push_back(
            {.id = {"router-" + std::to_string(i)},
             .domain = {"d" + std::to_string(i % domains)}});
    std::ranges::sort(made.view.members, {}, &member::id);
    return made;
}

/// Returns the number of servers whose owner changed.
int count_moved(ownership const& before, ownership const& after)
{
    int count = 0;
    for (auto const& [server, owner] : before.owners)
        count += owner_of(after, server) != owner ? 1 : 0;
    return count;
}

std::map<router_id, int> owned_counts(ownership const& assigned)
{
    std::map<router_id, int> counts;
    for (auto const& [server, owner] : assigned.owners)
        ++counts[owner];
    return counts;
}

domain_id domain_of(fleet const& sample, router_id const& id)
{
    return std::ranges::find(sample.view.members, id, &member::id)->domain;
}

} // namespace

BOOST_AUTO_TEST_SUITE(owners)

BOOST_AUTO_TEST_CASE(every_server_is_owned_in_its_domain_and_under_the_cap)
{
    auto const sample = make_fleet(9, 320, 680);
    auto const assigned = assign_owners(sample.config, sample.view);
    BOOST_TEST(assigned.owners.size() == 680U);
    for (auto const& server : sample.config.services[0].servers)
        BOOST_TEST(domain_of(sample, *owner_of(assigned, server.id)).value ==
                   server.domain.value);
    for (auto const& [router, count] : owned_counts(assigned))
        BOOST_TEST(count <= 3, router.value);
}

BOOST_AUTO_TEST_CASE(owners_do_not_depend_on_the_order_of_the_configuration)
{
    auto sample = make_fleet(3, 8, 21);
    auto const before = assign_owners(sample.config, sample.view);
    std::ranges::reverse(sample.config.services[0].servers);
    BOOST_TEST(count_moved(before, assign_owners(sample.config, sample.view)) ==
               0);
}

BOOST_AUTO_TEST_CASE(
    suspect_routers_keep_and_leaving_routers_lose_their_servers)
{
    auto sample = make_fleet(3, 8, 21);
    auto const before = assign_owners(sample.config, sample.view);
    sample.view.members[0].state = member_state::suspect;
    BOOST_TEST(count_moved(before, assign_owners(sample.config, sample.view)) ==
               0);
    sample.view.members[0].state = member_state::leaving;
    auto const counts = owned_counts(assign_owners(sample.config, sample.view));
    BOOST_TEST(counts.count(sample.view.members[0].id) == 0U);
}

BOOST_AUTO_TEST_CASE(few_servers_move_when_a_router_is_gone)
{
    auto const sample = make_fleet(9, 320, 680);
    auto const before = assign_owners(sample.config, sample.view);
    int total = 0;
    for (std::size_t i = 0; i < sample.view.members.size(); ++i)
    {
        auto changed = sample;
        changed.view.members[i].state = member_state::gone;
        auto const after = assign_owners(changed.config, changed.view);
        total += count_moved(before, after);
        for (auto const& [server, owner] : before.owners)
        {
            bool const other_domain = domain_of(sample, owner).value !=
                                      sample.view.members[i].domain.value;
            if (other_domain)
                BOOST_TEST((owner_of(after, server) == owner));
        }
    }
    // Each of the 680 servers must move once. The cap may cause as many again.
    BOOST_TEST_MESSAGE("servers moved, each router gone in turn: " << total);
    BOOST_TEST(total >= 680);
    BOOST_TEST(total <= 2 * 680);
}

BOOST_AUTO_TEST_CASE(servers_of_an_abandoned_domain_are_owned_by_other_domains)
{
    auto sample = make_fleet(6, 12, 24);
    for (auto& router : sample.view.members)
    {
        if (router.domain.value == "d1")
            router.state = member_state::gone;
    }
    BOOST_TEST(
        !owner_of(assign_owners(sample.config, sample.view), {"server-1"}));
    sample.view.abandoned = {{"d1"}};
    auto const owner =
        owner_of(assign_owners(sample.config, sample.view), {"server-1"});
    BOOST_REQUIRE(owner);
    auto const domain = domain_of(sample, *owner).value;
    BOOST_TEST((domain == "d0" || domain == "d2"));
}

BOOST_AUTO_TEST_CASE(time_of_an_assignment_is_reported)
{
    auto const sample = make_fleet(9, 320, 680);
    auto const begin = std::chrono::steady_clock::now();
    constexpr int rounds = 20;
    for (int i = 0; i < rounds; ++i)
        BOOST_TEST(assign_owners(sample.config, sample.view).owners.size() ==
                   680U);
    std::chrono::duration<double, std::milli> const spent =
        std::chrono::steady_clock::now() - begin;
    BOOST_TEST_MESSAGE("time of an assignment, ms: " << spent.count() / rounds);
}

BOOST_AUTO_TEST_SUITE_END()

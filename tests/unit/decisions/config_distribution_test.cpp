/// Tests of the distribution of configurations.
#include "decisions/config_distribution.hpp"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

member_view make_view(std::string self, int routers, int domains)
{
    member_view view{.self = {std::move(self)}};
    for (int i = 0; i < routers; ++i)
        view.members.push_back({.id = {"r" + std::to_string(i)},
                                .domain = {std::to_string(i % domains)}});
    for (auto const& router : view.members)
    {
        if (router.id == view.self)
            view.self_domain = router.domain;
    }
    return view;
}

constexpr time_point start{};

} // namespace

BOOST_AUTO_TEST_SUITE(config_distribution)

BOOST_AUTO_TEST_CASE(only_higher_versions_are_adopted_in_any_order_of_delivery)
{
    std::mt19937_64 random{11};
    std::optional<config_identity> in_force;
    revision highest = 0;
    for (int i = 0; i < 1000; ++i)
    {
        config_identity const offered{random() % 100, "x"};
        auto const decision = decide_adoption(in_force, offered);
        bool const first = !in_force;
        BOOST_TEST((decision == adoption::adopt) ==
                   (first || offered.version > highest));
        if (decision == adoption::adopt)
            in_force = offered;
        highest = std::max(highest, offered.version);
        BOOST_TEST(in_force->version == highest);
    }
}

BOOST_AUTO_TEST_CASE(documents_of_one_version_are_compared_by_digest)
{
    config_identity const in_force{4, "x"};
    BOOST_TEST((decide_adoption(in_force, {4, "x"}) == adoption::ignore_same));
    BOOST_TEST(
        (decide_adoption(in_force, {4, "y"}) == adoption::ignore_conflict));
    BOOST_TEST((decide_adoption(in_force, {3, "x"}) == adoption::ignore_older));
}

BOOST_AUTO_TEST_CASE(two_routers_of_each_domain_watch)
{
    std::map<domain_id, int> watchers;
    for (int i = 0; i < 320; ++i)
    {
        auto const view = make_view("r" + std::to_string(i), 320, 9);
        watchers[view.self_domain] += is_watcher(view) ? 1 : 0;
    }
    BOOST_TEST(watchers.size() == 9U);
    for (auto const& [domain, count] : watchers)
        BOOST_TEST(count == 2, domain.value);
}

BOOST_AUTO_TEST_CASE(next_ranked_router_replaces_a_watcher_that_is_gone)
{
    std::set<std::string> watching;
    for (int i = 0; i < 10; ++i)
    {
        auto const view = make_view("r" + std::to_string(i), 10, 1);
        if (is_watcher(view))
            watching.insert(view.self.value);
    }
    int replaced = 0;
    for (int i = 0; i < 10; ++i)
    {
        auto view = make_view("r" + std::to_string(i), 10, 1);
        for (auto& router : view.members)
        {
            if (router.id.value == *watching.begin())
                router.state = member_state::gone;
        }
        bool const watched = watching.contains(view.self.value);
        if (!watched && is_watcher(view))
            ++replaced;
    }
    BOOST_TEST(replaced == 1);
}

BOOST_AUTO_TEST_CASE(leaving_router_does_not_watch)
{
    auto view = make_view("r0", 1, 1);
    BOOST_TEST(is_watcher(view));
    view.members[0].state = member_state::leaving;
    BOOST_TEST(!is_watcher(view));
}

BOOST_AUTO_TEST_CASE(one_request_is_open_at_a_time_and_peers_are_asked_in_turn)
{
    config_fetch_state fetch{.self = {"r0"}};
    record_peer_version(fetch, {"r1"}, 5);
    record_peer_version(fetch, {"r2"}, 5);
    record_peer_version(fetch, {"r3"}, 4);
    record_peer_version(fetch, {"r0"}, 9);
    auto const first = select_peer(fetch, 4, start);
    BOOST_TEST_REQUIRE(first.has_value());
    BOOST_TEST(!select_peer(fetch, 4, start + 999ms).has_value());
    auto const second = select_peer(fetch, 4, start + 1s);
    BOOST_TEST_REQUIRE(second.has_value());
    BOOST_TEST(first->value != second->value);
    auto const third = select_peer(fetch, 4, start + 2s);
    BOOST_TEST((third == first));
    finish_request(fetch);
    BOOST_TEST(!select_peer(fetch, 5, start + 2s).has_value());
}

BOOST_AUTO_TEST_CASE(first_requests_are_distributed_over_the_peers)
{
    std::map<router_id, int> asked;
    for (int i = 0; i < 300; ++i)
    {
        config_fetch_state fetch{.self = {"r" + std::to_string(i)}};
        for (int peer = 1000; peer < 1010; ++peer)
            record_peer_version(fetch, {"r" + std::to_string(peer)}, 1);
        ++asked[select_peer(fetch, 0, start).value()];
    }
    BOOST_TEST(asked.size() == 10U);
    for (auto const& [peer, count] : asked)
        BOOST_TEST(count < 60, peer.value);
}

BOOST_AUTO_TEST_CASE(lower_versions_are_ignored_and_gone_peers_are_removed)
{
    config_fetch_state fetch{.self = {"r0"}};
    record_peer_version(fetch, {"r1"}, 5);
    record_peer_version(fetch, {"r1"}, 3);
    BOOST_TEST(fetch.peers[{"r1"}].version == 5U);
    auto view = make_view("r0", 2, 1);
    view.members[1].config = 4;
    update_peers(fetch, view);
    BOOST_TEST(fetch.peers[{"r1"}].version == 5U);
    view.members[1].state = member_state::gone;
    update_peers(fetch, view);
    BOOST_TEST(fetch.peers.empty());
    BOOST_TEST(!select_peer(fetch, 0, start).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of rollouts in the entry service: which servers get requests, what is
/// reported to the other routers, and which decisions are written.
#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::test;
using config::rollout_state;

namespace
{

/// An entry service with a server of version 1 and one of version 2.
struct rollout_fixture : entry_fixture
{
    rollout_fixture()
    {
        distinct_targets = true;
        // Entries are newer than the rules.
        last_change = 10;
        add_versioned_server("old", "1");
        publish_deployment();
    }

    void add_versioned_server(std::string const& id, std::string const& version)
    {
        add_server(id);
        deployment.servers[{id}].version = version;
    }

    void order_rollout(duration length = 12s)
    {
        deployment.rollouts[{"desk"}] = {.service = {"desk"},
                                         .to_version = "2",
                                         .length = length,
                                         .changed = ++last_change};
        add_versioned_server("new", "2");
        publish_deployment();
    }

    revision order() const
    {
        return deployment.rollouts.at({"desk"}).changed;
    }

    void store_status(rollout_state stored)
    {
        send(entry, rollout_status_known{{.service = {"desk"},
                                          .to_version = "2",
                                          .state = stored,
                                          .order = order(),
                                          .changed = ++last_change}});
        test_kernel.run_until_idle();
    }

    /// Sends requests for a time; returns how many went to the new server.
    /// `status_of_new` is the status of its answers.
    int send_requests(duration time, int status_of_new = 200)
    {
        int at_new = 0;
        for (duration passed{}; passed < time; passed += 10ms)
        {
            submit(idempotent, 1);
            bool const is_new = backend->sent.back().server.value == "new";
            at_new += is_new ? 1 : 0;
            answer_last_attempt(is_new ? status_of_new : 200, "ok");
            test_kernel.advance(10ms);
        }
        return at_new;
    }

    std::vector<rollout_state> decisions() const
    {
        std::vector<rollout_state> states;
        for (auto const& decision : received<rollout_decision>(*store))
            states.push_back(decision.state);
        return states;
    }

    bool has_decided(rollout_state state) const
    {
        return std::ranges::count(decisions(), state) > 0;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_rollouts, rollout_fixture)

// Guards against a good version that is not used by the deadline, and against
// more requests to it than a bad one may get.
BOOST_AUTO_TEST_CASE(good_version_gets_all_requests_before_success_is_decided)
{
    order_rollout();
    int const at_new = send_requests(9s);
    BOOST_TEST(at_new > 5);
    BOOST_TEST(at_new <= 0.1 * 900 + 50);
    BOOST_TEST(!has_decided(rollout_state::succeeded));
    send_requests(2500ms);
    BOOST_TEST(has_decided(rollout_state::running));
    BOOST_TEST(has_decided(rollout_state::succeeded));
    BOOST_TEST(!has_decided(rollout_state::rolled_back));
    BOOST_TEST(send_requests(500ms) == 50);
    store_status(rollout_state::succeeded);
    BOOST_TEST(send_requests(500ms) == 50);
}

// Guards against waiting for the store before a bad version is left.
BOOST_AUTO_TEST_CASE(bad_version_gets_no_request_once_it_is_found_bad)
{
    order_rollout();
    int const at_new = send_requests(8s, 500);
    BOOST_TEST(at_new <= 50);
    BOOST_TEST(has_decided(rollout_state::rolled_back));
    BOOST_TEST(send_requests(3s, 500) == 0);
    store_status(rollout_state::rolled_back);
    BOOST_TEST(send_requests(3s) == 0);
    BOOST_TEST(!has_decided(rollout_state::succeeded));
}

// Guards against using servers of an order that is not in force any more.
BOOST_AUTO_TEST_CASE(withdrawn_order_leaves_new_servers_without_requests)
{
    order_rollout();
    BOOST_TEST(send_requests(3s) > 0);
    deployment.rollouts.clear();
    publish_deployment();
    BOOST_TEST(send_requests(3s) == 0);
}

// Guards against a request at a version whose order arrives a little later.
BOOST_AUTO_TEST_CASE(unfamiliar_version_is_held_until_its_order_can_be_known)
{
    add_versioned_server("new", "2");
    publish_deployment();
    BOOST_TEST(send_requests(1500ms) == 0);
    // Without an order the version is in use after the bounded time.
    test_kernel.advance(1s);
    BOOST_TEST(send_requests(1s) > 0);
}

// Guards against a router that is late with its news and goes on by itself.
BOOST_AUTO_TEST_CASE(router_without_news_does_not_use_the_new_version)
{
    send(entry, fleet_changed{{{"r2"}, {"r3"}}});
    test_kernel.run_until_idle();
    order_rollout(60s);
    test_kernel.advance(2500ms);
    BOOST_TEST(send_requests(5s) == 0);
    send(entry, peer_heartbeat_received{{.from = {"r2"}, .domain = {"a"}}});
    test_kernel.run_until_idle();
    BOOST_TEST(send_requests(1900ms) > 0);
}

// Guards against evidence and final states that stay with one router.
BOOST_AUTO_TEST_CASE(evidence_travels_in_heartbeats)
{
    order_rollout();
    send_requests(2s);
    auto const report = received<local_load_report>(*peers).back();
    BOOST_REQUIRE(report.local_rollouts.size() == 1U);
    BOOST_REQUIRE(report.domain_rollouts.size() == 1U);
    auto const& evidence = report.domain_rollouts.front();
    BOOST_TEST(evidence.order == order());
    BOOST_TEST(evidence.age_ms >= 1500U);
    BOOST_TEST(!evidence.counts.empty());
    // A peer counts 60 failures of 60 at the new version.
    auto counts = evidence.counts;
    counts.push_back({.new_version = true, .sent = 60, .failed = 60});
    decisions::peer_heartbeat heartbeat{.from = {"r2"}, .domain = {"a"}};
    heartbeat.rollouts = {
        {.service = name_hash("desk"), .order = order(), .counts = counts}};
    send(entry, peer_heartbeat_received{heartbeat});
    test_kernel.run_until_idle();
    test_kernel.advance(300ms);
    BOOST_TEST(has_decided(rollout_state::rolled_back));
    BOOST_TEST(send_requests(1s) == 0);
}

// Guards against a second opinion on an order whose status is stored.
BOOST_AUTO_TEST_CASE(stored_state_replaces_the_own_decision)
{
    order_rollout();
    send_requests(8s, 500);
    BOOST_TEST(has_decided(rollout_state::rolled_back));
    store_status(rollout_state::succeeded);
    BOOST_TEST(send_requests(1s) == 100);
    store_status(rollout_state::rolled_back);
    BOOST_TEST(send_requests(1s) == 100);
}

// Guards against moving requests, or an open rollout, without new servers.
BOOST_AUTO_TEST_CASE(rollout_without_new_servers_is_rolled_back)
{
    order_rollout();
    deployment.servers.erase({"new"});
    publish_deployment();
    BOOST_TEST(send_requests(9s) == 0);
    BOOST_TEST(decisions().empty());
    send_requests(3s);
    BOOST_TEST(has_decided(rollout_state::rolled_back));
}

// Guards against an order that names no service of the rules.
BOOST_AUTO_TEST_CASE(order_of_an_unknown_service_changes_nothing)
{
    deployment.rollouts[{"other"}] = {.service = {"other"},
                                      .to_version = "2",
                                      .length = 12s,
                                      .changed = ++last_change};
    publish_deployment();
    send_requests(13s);
    BOOST_TEST(decisions().empty());
}

BOOST_AUTO_TEST_SUITE_END()

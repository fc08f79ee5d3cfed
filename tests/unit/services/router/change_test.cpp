/// Tests of changes of owners, configuration and routers under load.
#include "fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bramleyarch;
using namespace bramleyarch::test;
using namespace std::chrono_literals;

namespace
{

bool is_idle(test_fleet& fleet, std::size_t router)
{
    bool idle = false;
    send_to<services::routing_message>(
        fleet.routers[router], services::service_name::routing,
        services::idle_query{[&idle](bool value) { idle = value; }});
    deliver_due(fleet);
    bool owner_idle = false;
    send_to<services::owner_message>(
        fleet.routers[router], services::service_name::owner,
        services::idle_query{[&owner_idle](bool value)
                             { owner_idle = value; }});
    deliver_due(fleet);
    return idle && owner_idle;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_change)

BOOST_AUTO_TEST_CASE(a_domain_that_is_taken_out_gets_no_new_requests)
{
    auto fleet = make_fleet();
    run_load(*fleet, {.rate = 150, .end_rate = 150, .length = 2s});
    fleet->config.domains[1].state = config::domain_state::taken_out;
    apply_config(*fleet);
    std::map<server_id, std::size_t> received_before;
    for (auto const& [id, server] : fleet->servers)
        received_before[id] = server.received.size();
    run_load(*fleet, {.rate = 150, .end_rate = 150, .length = 3s});
    finish_requests(*fleet);
    for (auto const& server : fleet->config.services[0].servers)
    {
        bool const is_taken_out = server.domain == fleet->config.domains[1].id;
        auto const new_requests = fleet->servers[server.id].received.size() -
                                  received_before[server.id];
        BOOST_TEST((new_requests == 0) == is_taken_out,
                   server.id.value << " received " << new_requests);
    }
    BOOST_TEST(answered_share(*fleet, {"crews"}) >= 0.999);
    BOOST_TEST(count_events(*fleet, event_kind::domain_taken_out) > 0U);
}

BOOST_AUTO_TEST_CASE(an_owner_with_a_newer_config_redirects_outdated_offers)
{
    auto fleet = make_fleet();
    auto const server = server_owned_elsewhere(*fleet, 0);
    auto const owner = owner_index(*fleet, server);
    auto changed = fleet->config;
    for (auto& s : changed.services[0].servers)
    {
        if (s.id == server)
            s.state = config::server_state::leaving;
    }
    send_to<services::owner_message>(
        fleet->routers[owner], services::service_name::owner,
        services::config_changed{
            std::make_shared<config::document const>(changed)});
    auto const id =
        submit(*fleet, 0, {.chat = chat_preferring(*fleet, server)});
    finish_requests(*fleet);
    BOOST_TEST(fleet->servers[server].received.empty());
    BOOST_TEST(fleet->answers[id].answered);
    BOOST_TEST(has_event(*fleet, id, event_kind::offer_redirected,
                         "no_eligible_server"));
}

BOOST_AUTO_TEST_CASE(a_leaving_server_finishes_requests_and_redirects_its_queue)
{
    fleet_options options{
        .routers = 2, .domains = 1, .servers = 2, .capacity = 1};
    auto fleet = make_fleet(options);
    std::vector<request_id> ids;
    for (int i = 0; i < 6; ++i)
        ids.push_back(
            submit(*fleet, 0, {.chat = static_cast<std::uint64_t>(i)}));
    advance_time(*fleet, 50ms);
    BOOST_TEST(fleet->open_attempts.size() == 2U);
    fleet->config.services[0].servers[0].state = config::server_state::leaving;
    auto const first = fleet->config.services[0].servers[0].id;
    auto const before = fleet->servers[first].received.size();
    apply_config(*fleet);
    finish_requests(*fleet);
    BOOST_TEST(fleet->servers[first].received.size() == before);
    for (auto const& id : ids)
        BOOST_TEST(fleet->answers[id].answered);
}

BOOST_AUTO_TEST_CASE(
    two_simultaneous_owners_exceed_capacity_by_at_most_cold_capacity)
{
    // For 2 s, two routers both consider themselves the owner of one server.
    // The new owner waits for a load report and starts at the cold capacity;
    // the reports include the load that the other owner has sent.
    for (bool const slow_start : {true, false})
    {
        fleet_options options{.routers = 2, .domains = 1, .servers = 1};
        options.owner.slow_start.enabled = slow_start;
        if (!slow_start)
            options.owner.takeover_hold = duration::zero();
        auto fleet = make_fleet(options);
        server_id const server{"engine-0"};
        auto const owner = owner_index(*fleet, server);
        load_options const load{
            .rate = 40, .end_rate = 40, .length = 2s, .deadline = 2s};
        run_load(*fleet, load);
        fleet->servers[server].max_running = 0;
        std::vector<bool> only_other(2, true);
        only_other[owner] = false;
        send_members_to(*fleet, 1 - owner, only_other);
        run_load(*fleet, load);
        BOOST_TEST_MESSAGE("two owners, slow start "
                           << slow_start << ": "
                           << fleet->servers[server].max_running
                           << " in flight of " << options.capacity);
        if (slow_start)
            BOOST_TEST(fleet->servers[server].max_running <=
                       options.capacity + options.cold_capacity);
        else
            BOOST_TEST(fleet->servers[server].max_running >
                       options.capacity + options.cold_capacity);
    }
}

BOOST_AUTO_TEST_CASE(a_cold_server_that_changes_owner_is_not_overloaded)
{
    for (auto const hold : {duration{1s}, duration::zero()})
    {
        fleet_options options{.routers = 2, .domains = 1, .servers = 1};
        options.owner.takeover_hold = hold;
        auto fleet = make_fleet(options);
        server_id const server{"engine-0"};
        fleet->servers[server].cold = true;
        advance_time(*fleet, 1s);
        auto const former = owner_index(*fleet, server);
        auto const first = submit(*fleet, former);
        advance_time(*fleet, 50ms);
        std::vector<bool> live(2, true);
        live[former] = false;
        send_members(*fleet, live);
        auto const second = submit(*fleet, 1 - former);
        finish_requests(*fleet);
        if (hold == duration::zero())
        {
            BOOST_TEST(fleet->servers[server].crashes > 0U);
            continue;
        }
        BOOST_TEST(fleet->servers[server].crashes == 0U);
        BOOST_TEST(fleet->answers[first].answered);
        BOOST_TEST(fleet->answers[second].answered);
        BOOST_TEST(count_events(*fleet, event_kind::takeover_settled) > 0U);
    }
}

BOOST_AUTO_TEST_CASE(ownership_moves_under_load_without_overload_or_loss)
{
    auto fleet = make_fleet();
    run_load(*fleet, {.rate = 120, .end_rate = 120, .length = 2s});
    std::vector<bool> live(fleet->routers.size(), true);
    live[3] = false;
    // The routers receive the new view one after the other.
    for (std::size_t i = 0; i < fleet->routers.size(); ++i)
    {
        send_members_to(*fleet, i, live);
        run_load(*fleet, {.rate = 120, .end_rate = 120, .length = 250ms});
    }
    run_load(*fleet, {.rate = 120, .end_rate = 120, .length = 2s});
    finish_requests(*fleet);
    for (auto const& [id, server] : fleet->servers)
        BOOST_TEST(server.max_running <= server.capacity + 1);
    BOOST_TEST(answered_share(*fleet, {"crews"}) >= 0.999);
    BOOST_TEST(count_events(*fleet, event_kind::ownership_lost) > 0U);
}

BOOST_AUTO_TEST_CASE(
    a_draining_router_refuses_new_requests_and_finishes_accepted_ones)
{
    auto fleet = make_fleet();
    std::vector<request_id> ids;
    for (std::uint64_t i = 0; i < 6; ++i)
        ids.push_back(submit(*fleet, 0, {.chat = i + 1}));
    advance_time(*fleet, 20ms);
    BOOST_TEST(!is_idle(*fleet, 0));
    for (auto const name :
         {services::service_name::routing, services::service_name::owner})
    {
        if (name == services::service_name::routing)
            send_to<services::routing_message>(fleet->routers[0], name,
                                               services::drain_started{});
        else
            send_to<services::owner_message>(fleet->routers[0], name,
                                             services::drain_started{});
    }
    deliver_due(*fleet);
    auto const refused = submit(*fleet, 0);
    // Other routers do not know yet that this router drains. It redirects
    // their offers, and they send the requests elsewhere.
    std::vector<request_id> others;
    for (std::uint64_t i = 0; i < 30; ++i)
        others.push_back(submit(*fleet, 1, {.chat = i + 1}));
    finish_requests(*fleet);
    BOOST_TEST((fleet->answers[refused].known_outcome == outcome::not_run));
    BOOST_TEST((fleet->answers[refused].error == error_kind::draining));
    for (auto const& id : ids)
        BOOST_TEST(fleet->answers[id].answered);
    for (auto const& id : others)
        BOOST_TEST(fleet->answers[id].answered);
    BOOST_TEST(is_idle(*fleet, 0));
}

BOOST_AUTO_TEST_SUITE_END()

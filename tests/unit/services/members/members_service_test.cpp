/// Tests of the members service with three kernels on the loopback interface.
#include "../inbox.hpp"

#include "services/members/members_service.hpp"
#include "services/messages/configuration.hpp"
#include "services/messages/owner.hpp"
#include "services/messages/routing.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <algorithm>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace bramleyarch::test;

namespace
{

struct members_node
{
    kernel::kernel k{kernel::run_mode::threaded};
    std::shared_ptr<std::atomic<std::uint16_t>> port;
    std::shared_ptr<inbox<routing_message>> routing;
    std::shared_ptr<inbox<owner_message>> owner;
    std::shared_ptr<inbox<configuration_message>> configuration;
    kernel::address<members_message> members;
};

std::unique_ptr<members_node> start_node(std::string const& id,
                                         std::vector<endpoint> seeds)
{
    auto node = std::make_unique<members_node>();
    node->routing = add_inbox<routing_message>(node->k, service_name::routing);
    node->owner = add_inbox<owner_message>(node->k, service_name::owner);
    node->configuration =
        add_inbox<configuration_message>(node->k, service_name::configuration);
    members_options options{
        .self = {.id = {id}, .domain = {"east"}, .started = 7},
        .listen = {.address = "127.0.0.1"},
        .protocol = {.seeds = std::move(seeds)}};
    node->port = options.bound_port;
    node->members = node->k.add(make_members_service(options));
    node->k.start();
    BOOST_REQUIRE(*node->port != 0);
    return node;
}

config_snapshot make_config(revision version)
{
    auto made = std::make_shared<config::document>();
    made->version = version;
    made->domains = {{.id = {"east"}}};
    made->teams = {{.id = {"wash"}}};
    made->services = {{.id = {"chat"},
                       .servers = {{.id = {"s1"}, .domain = {"east"}},
                                   {.id = {"s2"}, .domain = {"east"}}}}};
    return made;
}

/// Waits for a view in which `count` routers are in `state`, and returns it.
std::shared_ptr<member_view const>
await_view(members_node& node, std::size_t count, member_state state)
{
    std::shared_ptr<member_view const> found;
    std::unique_lock lock{node.routing->mutex};
    bool const arrived = node.routing->arrived.wait_for(
        lock, message_timeout,
        [&]
        {
            for (auto const& message : node.routing->messages)
            {
                auto const* changed = std::get_if<members_changed>(&message);
                if (changed && std::ranges::count(changed->view->members, state,
                                                  &member::state) ==
                                   static_cast<std::ptrdiff_t>(count))
                    found = changed->view;
            }
            return found != nullptr;
        });
    BOOST_REQUIRE(arrived);
    return found;
}

struct three_nodes
{
    std::unique_ptr<members_node> a = start_node("a", {});
    endpoint seed{.address = "127.0.0.1", .port = *a->port};
    std::unique_ptr<members_node> b = start_node("b", {seed});
    std::unique_ptr<members_node> c = start_node("c", {seed});

    three_nodes()
    {
        for (auto* node : {a.get(), b.get(), c.get()})
            await_view(*node, 3, member_state::live);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(members_service)

BOOST_AUTO_TEST_CASE(loads_demand_quarantine_and_versions_reach_the_others)
{
    three_nodes nodes;
    for (auto* node : {nodes.a.get(), nodes.b.get(), nodes.c.get()})
        send(node->members, config_changed{make_config(9)});
    BOOST_TEST(
        await<peer_version_advertised>(*nodes.c->configuration)[0].version ==
        9U);

    std::vector<server_load> loads{
        {.server = {"s1"}, .in_flight = 3, .queued = 1, .limit = 8},
        {.server = {"s2"}, .in_flight = 4, .limit = 9, .cold = true}};
    for (auto* node : {nodes.a.get(), nodes.b.get(), nodes.c.get()})
        send(node->members, loads_changed{.loads = loads});
    send(nodes.b->members, local_demand_report{{{{"wash"}, 1500}}});
    send(nodes.b->members, quarantine_update{.body_fingerprint = 77,
                                             .server = {"s1"},
                                             .quarantined = true,
                                             .ttl_ms = 60'000});

    auto const demand = await<demand_changed>(*nodes.a->routing);
    BOOST_TEST(demand[0].router.value == "b");
    BOOST_TEST(demand[0].demand[0].rate_milli == 1500U);
    auto const quarantine = await<quarantine_update>(*nodes.c->owner);
    BOOST_TEST(quarantine[0].body_fingerprint == 77U);
    BOOST_TEST(quarantine[0].server.value == "s1");
    // The owner of a server sends its load to the two other routers.
    auto const received = await<loads_changed>(*nodes.c->routing);
    auto const& load = received[0].loads.at(0);
    BOOST_TEST((load.in_flight == (load.server.value == "s1" ? 3U : 4U)));
    BOOST_TEST(received[0].owner.value != "c");
}

BOOST_AUTO_TEST_CASE(a_draining_router_is_leaving_and_then_gone)
{
    three_nodes nodes;
    send(nodes.b->members, drain_started{});
    await_view(*nodes.a, 1, member_state::leaving);
    await_view(*nodes.c, 1, member_state::leaving);
    nodes.b->k.stop();
    await_view(*nodes.a, 1, member_state::gone);
}

BOOST_AUTO_TEST_CASE(malformed_datagrams_are_ignored)
{
    auto const a = start_node("a", {});
    boost::asio::io_context io;
    boost::asio::ip::udp::socket sender{io, boost::asio::ip::udp::v4()};
    for (std::string const& bytes :
         {std::string{}, std::string{"hello"}, std::string(1500, 'x'),
          std::string{"BH\x01"}, std::string{"BH\x01\x01\x02\xff\xff"}})
        sender.send_to(boost::asio::buffer(bytes),
                       {boost::asio::ip::make_address("127.0.0.1"), *a->port});
    auto const b =
        start_node("b", {{.address = "127.0.0.1", .port = *a->port}});
    await_view(*a, 2, member_state::live);
}

BOOST_AUTO_TEST_SUITE_END()

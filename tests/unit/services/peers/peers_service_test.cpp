/// Tests of what routers tell each other, over sockets on loopback.
#include "../recorder.hpp"
#include "../run_until.hpp"

#include "kernel/kernel.hpp"
#include "net/loop.hpp"
#include "services/messages/names.hpp"
#include "services/peers/peers_service.hpp"
#include "wire/peer_heartbeats.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace bramleyarch::test;
using namespace std::chrono_literals;

namespace
{

/// A peers service and a socket of another router.
struct peers_bench
{
    net::loop_ptr loop = net::make_loop().value();
    kernel::kernel k{kernel::run_mode::one_loop,
                     {.wait = [this](duration limit)
                      { net::wait(*loop, std::min<duration>(limit, 2ms)); }}};
    std::shared_ptr<std::vector<routing_message>> routing =
        add_recorder<routing_message>(k, service_name::routing);
    std::shared_ptr<std::vector<store_message>> store =
        add_recorder<store_message>(k, service_name::store);
    std::vector<decisions::peer_heartbeat> heard;
    net::datagram_socket* other = nullptr;
    endpoint at{"127.0.0.1", 0};
    kernel::address<peers_message> peers;

    peers_bench()
    {
        auto const socket = net::open_datagrams(
            *loop, {"127.0.0.1", 0},
            [this](endpoint const&, std::string_view bytes)
            {
                if (auto beat = wire::decode_peer_heartbeat(bytes))
                    heard.push_back(std::move(beat).value());
            });
        other = socket.value();
        // A port that was free a moment ago.
        auto* const probe =
            net::open_datagrams(*loop, at,
                                [](endpoint const&, std::string_view) {})
                .value();
        at.port = net::port_of(*probe);
        net::close(*probe);
        net::wait(*loop, 1ms); // It is closed at the end of a turn.
        peers = k.add(make_peers_service({.loop = loop,
                                          .self = {"r1"},
                                          .domain = {"a"},
                                          .started = 1,
                                          .listen = at}));
        k.start();
    }

    ~peers_bench()
    {
        k.stop();
        net::close(*other);
    }

    void tell(decisions::peer_heartbeat const& beat)
    {
        net::send(*other, at, wire::encode_peer_heartbeat(beat));
    }

    template <class Condition>
    void run_until(Condition done)
    {
        test::run_until(k, done);
    }

    std::size_t fleet() const
    {
        auto const told = received<fleet_changed>(*routing);
        return told.empty() ? 1 : told.back().others.size() + 1;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peers_service, peers_bench)

BOOST_AUTO_TEST_CASE(a_router_that_no_list_names_yet_is_known_by_its_beat)
{
    tell({.from = {"r2"}, .started = 5, .sequence = 1, .loads = {{11, 3}}});
    run_until([this] { return fleet() == 2; });
    // It is told in turn, at the address that its beat came from.
    send(peers, local_load_report{.local = {{12, 1}}, .domain = {{12, 5}}});
    run_until([this] { return !heard.empty(); });
    BOOST_TEST(heard.front().from.value == "r1");
}

BOOST_AUTO_TEST_CASE(other_domains_are_told_of_the_whole_domain)
{
    for (std::string const domain : {"a", "b"})
    {
        heard.clear();
        tell({.from = {"r-" + domain},
              .domain = {domain},
              .started = 5,
              .sequence = 1});
        auto const before = fleet();
        run_until([&] { return fleet() == before + 1; });
        send(peers, local_load_report{.local = {{12, 1}}, .domain = {{12, 5}}});
        // Both routers of this test have one address.
        auto const peers_known = before;
        run_until([&] { return heard.size() == peers_known; });
        BOOST_REQUIRE(heard.back().loads.size() == 1U);
        BOOST_TEST(heard.back().loads.front().in_flight ==
                   (domain == "a" ? 1U : 5U));
    }
}

BOOST_AUTO_TEST_CASE(own_beats_that_come_back_are_ignored)
{
    tell({.from = {"r1"}, .started = 5, .sequence = 1});
    tell({.from = {"r3"}, .started = 5, .sequence = 1});
    run_until([this] { return fleet() > 1; });
    BOOST_TEST(fleet() == 2U);
}

// Load pattern: all routers start at once, after a loss of power. In step they
// would tell the same few peers of other domains in each round.
BOOST_AUTO_TEST_CASE(routers_that_start_together_tell_different_peers_first)
{
    constexpr int peers_elsewhere = 9;
    std::set<std::set<std::uint16_t>> first_rounds;
    for (std::string const name : {"n1", "n2", "n3", "n4", "n5", "n6"})
    {
        auto const own_loop = net::make_loop().value();
        kernel::kernel own{
            kernel::run_mode::one_loop, {.wait = [&](duration limit) {
                net::wait(*own_loop, std::min<duration>(limit, 2ms));
            }}};
        std::set<std::uint16_t> told;
        std::vector<net::datagram_socket*> others;
        routers_listed listed;
        for (int i = 0; i < peers_elsewhere; ++i)
        {
            auto* const socket =
                net::open_datagrams(
                    *own_loop, {"127.0.0.1", 0},
                    [&told, i](endpoint const&, std::string_view)
                    { told.insert(static_cast<std::uint16_t>(i)); })
                    .value();
            others.push_back(socket);
            listed.routers.push_back({{"p" + std::to_string(i)},
                                      {"127.0.0.1", net::port_of(*socket)},
                                      {"b"}});
        }
        auto const to = own.add(make_peers_service({.loop = own_loop,
                                                    .self = {name},
                                                    .domain = {"a"},
                                                    .started = 1,
                                                    .listen = {"127.0.0.1", 0},
                                                    .seed = 1}));
        own.start();
        send(to, listed);
        send(to, local_load_report{.domain = {{12, 5}}});
        auto const expected =
            decisions::heartbeat_rotation_options{}.other_domains;
        test::run_until(own, [&] { return told.size() == expected; });
        first_rounds.insert(told);
        own.stop();
        for (auto* const socket : others)
            net::close(*socket);
    }
    BOOST_TEST(first_rounds.size() >= 3U);
}

BOOST_AUTO_TEST_CASE(beats_with_made_up_names_fill_no_memory)
{
    constexpr int names = 1'200;
    for (int i = 0; i < names; ++i)
    {
        tell({.from = {"x" + std::to_string(i)}, .started = 5, .sequence = 1});
        net::wait(*loop, 0ms);
    }
    run_until([this] { return fleet() >= 1'000; });
    tell({.from = {"x0"}, .started = 5, .sequence = 2, .servers_revision = 3});
    run_until([this]
              { return !received<peer_revisions_received>(*store).empty(); });
    BOOST_TEST(fleet() == 1'001U);
}

BOOST_AUTO_TEST_CASE(changes_that_peers_know_reach_the_store_service_once)
{
    tell({.from = {"r2"}, .started = 5, .sequence = 1, .servers_revision = 9});
    tell({.from = {"r3"}, .started = 5, .sequence = 1, .servers_revision = 9});
    tell({.from = {"r3"}, .started = 5, .sequence = 2, .servers_revision = 11});
    auto const told = [this]
    {
        std::vector<revision> revisions;
        for (auto const& changes : received<peer_revisions_received>(*store))
            revisions.push_back(changes.revisions.servers);
        return revisions;
    };
    run_until([&] { return !told().empty() && told().back() == 11; });
    BOOST_CHECK(told() == (std::vector<revision>{9, 11}));
}

BOOST_AUTO_TEST_CASE(own_changes_travel_in_the_next_beat)
{
    tell({.from = {"r2"}, .started = 5, .sequence = 1});
    run_until([this] { return fleet() == 2; });
    send(peers, known_revisions{.rules = 21, .servers = 22});
    send(peers, local_load_report{});
    run_until([this] { return !heard.empty(); });
    BOOST_TEST(heard.front().rules_revision == 21U);
    BOOST_TEST(heard.front().servers_revision == 22U);
}

BOOST_AUTO_TEST_SUITE_END()

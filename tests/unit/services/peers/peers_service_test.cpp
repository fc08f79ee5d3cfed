/// Tests of the peers service with UDP sockets on loopback.
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

/// A peers service of router r1 in domain a, with a socket that stands for its
/// peers.
struct peers_fixture
{
    net::loop_ptr loop = net::make_loop().value();
    kernel::kernel test_kernel{
        kernel::run_mode::one_loop, {.wait = [this](duration limit) {
            net::wait(*loop, std::min<duration>(limit, 2ms));
        }}};
    std::shared_ptr<std::vector<routing_message>> routing =
        add_recorder<routing_message>(test_kernel, service_name::routing);
    std::shared_ptr<std::vector<store_message>> store =
        add_recorder<store_message>(test_kernel, service_name::store);
    std::vector<decisions::peer_heartbeat> received_heartbeats;
    net::datagram_socket* peer_socket = nullptr;
    endpoint service_address{"127.0.0.1", 0};
    kernel::address<peers_message> peers;

    peers_fixture()
    {
        auto const socket = net::open_datagrams(
            *loop, {"127.0.0.1", 0},
            [this](endpoint const&, std::string_view bytes)
            {
                if (auto heartbeat = wire::decode_peer_heartbeat(bytes))
                    received_heartbeats.push_back(std::move(heartbeat).value());
            });
        peer_socket = socket.value();
        // Finds a free port: binds one and closes it again.
        auto* const probe =
            net::open_datagrams(*loop, service_address,
                                [](endpoint const&, std::string_view) {})
                .value();
        service_address.port = net::port_of(*probe);
        net::close(*probe);
        net::wait(*loop, 1ms); // The loop closes the socket.
        peers =
            test_kernel.add(make_peers_service({.loop = loop,
                                                .self = {"r1"},
                                                .domain = {"a"},
                                                .started = 1,
                                                .listen = service_address}));
        test_kernel.start();
    }

    ~peers_fixture()
    {
        test_kernel.stop();
        net::close(*peer_socket);
    }

    void send_heartbeat(decisions::peer_heartbeat const& heartbeat)
    {
        net::send(*peer_socket, service_address,
                  wire::encode_peer_heartbeat(heartbeat));
    }

    template <class Condition>
    void run_until(Condition done)
    {
        test::run_until(test_kernel, done);
    }

    /// Routers of the fleet as last reported to the routing service, r1
    /// included.
    std::size_t fleet_size() const
    {
        auto const reports = received<fleet_changed>(*routing);
        return reports.empty() ? 1 : reports.back().others.size() + 1;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peers_service, peers_fixture)

BOOST_AUTO_TEST_CASE(a_router_that_is_not_listed_yet_is_added_by_its_heartbeat)
{
    send_heartbeat(
        {.from = {"r2"}, .started = 5, .sequence = 1, .loads = {{11, 3}}});
    run_until([this] { return fleet_size() == 2; });
    // The next round goes to r2, at the address that its heartbeat came from.
    send(peers, local_load_report{.local = {{12, 1}}, .domain = {{12, 5}}});
    run_until([this] { return !received_heartbeats.empty(); });
    BOOST_TEST(received_heartbeats.front().from.value == "r1");
}

BOOST_AUTO_TEST_CASE(other_domains_receive_the_loads_of_the_whole_domain)
{
    for (std::string const domain : {"a", "b"})
    {
        received_heartbeats.clear();
        send_heartbeat({.from = {"r-" + domain},
                        .domain = {domain},
                        .started = 5,
                        .sequence = 1});
        auto const size_before = fleet_size();
        run_until([&] { return fleet_size() == size_before + 1; });
        send(peers, local_load_report{.local = {{12, 1}}, .domain = {{12, 5}}});
        // All peers have the same address, so the socket receives one heartbeat
        // for each of them.
        auto const peer_count = size_before;
        run_until([&] { return received_heartbeats.size() == peer_count; });
        BOOST_REQUIRE(received_heartbeats.back().loads.size() == 1U);
        BOOST_TEST(received_heartbeats.back().loads.front().in_flight ==
                   (domain == "a" ? 1U : 5U));
    }
}

BOOST_AUTO_TEST_CASE(answers_that_clear_parts_travel_with_their_age)
{
    send_heartbeat({.from = {"r2"},
                    .started = 5,
                    .sequence = 1,
                    .part_answers = {{33, 4000}}});
    run_until(
        [this]
        { return !received<peer_part_answer_received>(*routing).empty(); });
    auto const answer =
        received<peer_part_answer_received>(*routing).front().answer;
    BOOST_TEST(answer.part == 33U);
    BOOST_TEST((now(test_kernel.clock()) - answer.at >= 4s));
    send(peers, gossip_part_answer{{33, answer.at - 1s}});
    send(peers, gossip_part_answer{answer});
    send(peers, local_load_report{});
    run_until([this] { return !received_heartbeats.empty(); });
    auto const& sent = received_heartbeats.front().part_answers;
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].part == 33U);
    BOOST_TEST(sent[0].age_ms >= 4000U);
    BOOST_TEST(sent[0].age_ms < 4900U);
}

BOOST_AUTO_TEST_CASE(crashes_and_answers_of_requests_travel_with_their_age)
{
    send_heartbeat({.from = {"r2"},
                    .started = 5,
                    .sequence = 1,
                    .request_crashes = {{31, 32, 4000}},
                    .request_answers = {{33, 5000}}});
    run_until(
        [this]
        { return !received<peer_request_answer_received>(*routing).empty(); });
    auto const crash =
        received<peer_request_crash_received>(*routing).at(0).crash;
    auto const answer =
        received<peer_request_answer_received>(*routing).at(0).answer;
    BOOST_TEST(crash.request == 31U);
    BOOST_TEST(crash.server == 32U);
    BOOST_TEST(answer.request == 33U);
    BOOST_TEST((now(test_kernel.clock()) - crash.at >= 4s));
    BOOST_TEST((now(test_kernel.clock()) - answer.at >= 5s));

    send(peers, gossip_request_crash{crash});
    send(peers, gossip_request_answer{answer});
    for (int round = 0; round < 6; ++round)
        send(peers, local_load_report{});
    run_until([this] { return received_heartbeats.size() == 6; });
    auto const& first = received_heartbeats.front();
    BOOST_REQUIRE(first.request_crashes.size() == 1U);
    BOOST_TEST(first.request_crashes[0].age_ms >= 4000U);
    BOOST_REQUIRE(first.request_answers.size() == 1U);
    BOOST_TEST(first.request_answers[0].age_ms >= 5000U);
    // They are sent in some rounds, since datagrams may be lost.
    BOOST_TEST(received_heartbeats.at(1).request_crashes.size() == 1U);
    BOOST_TEST(received_heartbeats.back().request_crashes.empty());
    BOOST_TEST(received_heartbeats.back().request_answers.empty());
}

// Guards against new crashes that are lost because known ones are repeated.
BOOST_AUTO_TEST_CASE(repeated_crashes_displace_no_new_ones)
{
    send_heartbeat({.from = {"r2"}, .started = 5, .sequence = 1});
    run_until([this] { return fleet_size() == 2; });
    auto const at = now(test_kernel.clock());
    for (std::uint64_t n = 1; n <= decisions::max_pending_crashes; ++n)
        send(peers, gossip_request_crash{{n, n, at}});
    send(peers, gossip_request_crash{{99, 99, at}, true});
    send(peers, local_load_report{});
    run_until([this] { return !received_heartbeats.empty(); });
    auto const& sent = received_heartbeats.front().request_crashes;
    BOOST_REQUIRE(sent.size() == decisions::max_pending_crashes);
    BOOST_TEST(sent.front().request == 1U);
    BOOST_TEST(sent.back().request == decisions::max_pending_crashes);
}

BOOST_AUTO_TEST_CASE(crashes_of_prompt_parts_travel_with_their_age)
{
    send_heartbeat({.from = {"r2"},
                    .started = 5,
                    .sequence = 1,
                    .prompt_crashes = {{31, 4000, {33}}}});
    run_until(
        [this]
        { return !received<peer_prompt_crash_received>(*routing).empty(); });
    auto const crash =
        received<peer_prompt_crash_received>(*routing).front().crash;
    BOOST_TEST(crash.server == 31U);
    auto const age = now(test_kernel.clock()) - crash.at;
    BOOST_TEST((age >= 4s));
    BOOST_TEST((age < 6s));

    send(peers, gossip_prompt_crash{crash});
    for (int round = 0; round < 6; ++round)
        send(peers, local_load_report{});
    run_until([this] { return received_heartbeats.size() == 6; });
    BOOST_REQUIRE(received_heartbeats.front().prompt_crashes.size() == 1U);
    BOOST_TEST(received_heartbeats.front().prompt_crashes[0].age_ms >= 4000U);
    // It is repeated in some rounds, since datagrams may be lost.
    BOOST_TEST(received_heartbeats.back().prompt_crashes.empty());
}

// Guards against heartbeats that no router accepts, as they are too large:
// the loads and revisions in them would be lost too.
BOOST_AUTO_TEST_CASE(heartbeats_with_crashes_of_long_prompts_are_accepted)
{
    constexpr std::size_t crashes = 32;
    constexpr std::size_t parts = 64;
    send_heartbeat({.from = {"r2"}, .started = 5, .sequence = 1});
    run_until([this] { return fleet_size() == 2; });
    for (std::uint64_t server = 1; server <= crashes; ++server)
    {
        decisions::prompt_crash crash{.server = server,
                                      .at = now(test_kernel.clock())};
        for (std::size_t part = 0; part < parts; ++part)
            crash.parts.push_back(server << 32U | part);
        send(peers, gossip_prompt_crash{std::move(crash)});
    }
    constexpr std::size_t rounds = 40;
    for (std::size_t round = 0; round < rounds; ++round)
        send(peers, local_load_report{.local = {{12, 1}}});
    // Those that are too large are not decoded.
    run_until([this] { return received_heartbeats.size() == rounds; });
    std::set<std::uint64_t> reported;
    for (auto const& heartbeat : received_heartbeats)
    {
        for (auto const& crash : heartbeat.prompt_crashes)
            reported.insert(crash.server);
    }
    BOOST_TEST(reported.size() == crashes);
}

// Guards against the same for all that a heartbeat may have while many servers
// crash, in a fleet of 1,000 routers.
BOOST_AUTO_TEST_CASE(fullest_heartbeats_are_accepted)
{
    constexpr std::uint64_t servers = 2125;
    constexpr std::uint64_t request_crashes = 32;
    constexpr std::uint64_t crashes = 32;
    constexpr std::uint64_t answers = 1024;
    send_heartbeat(
        {.from = {"r2"}, .domain = {"a"}, .started = 5, .sequence = 1});
    run_until([this] { return fleet_size() == 2; });
    for (std::uint64_t n = 1; n <= request_crashes; ++n)
        send(peers, gossip_request_crash{{n, n, now(test_kernel.clock())}});
    for (std::uint64_t n = 1; n <= crashes; ++n)
        send(peers, gossip_prompt_crash{{.server = n,
                                         .at = now(test_kernel.clock()),
                                         .parts = {1, 2, 3, 4, 5, 6, 7, 8}}});
    for (std::uint64_t n = 1; n <= answers; ++n)
        send(peers, gossip_part_answer{{n, now(test_kernel.clock())}});
    local_load_report report;
    for (std::uint64_t n = 1; n <= servers; ++n)
        report.local.push_back({n, 1});
    constexpr std::size_t rounds = 20;
    for (std::size_t round = 1; round <= rounds; ++round)
    {
        send(peers, local_load_report{report});
        run_until([&] { return received_heartbeats.size() == round; });
    }
    auto const& fullest = received_heartbeats.front();
    BOOST_TEST(fullest.loads.size() == servers);
    BOOST_TEST(fullest.request_crashes.size() == request_crashes);
    BOOST_TEST(fullest.prompt_crashes.size() == crashes);
    BOOST_TEST(fullest.part_answers.size() ==
               decisions::max_answers_per_heartbeat);
    std::set<std::uint64_t> reported;
    for (auto const& heartbeat : received_heartbeats)
    {
        for (auto const& answer : heartbeat.part_answers)
            reported.insert(answer.part);
    }
    BOOST_TEST(reported.size() == answers);
}

BOOST_AUTO_TEST_CASE(own_heartbeats_are_ignored)
{
    send_heartbeat({.from = {"r1"}, .started = 5, .sequence = 1});
    send_heartbeat({.from = {"r3"}, .started = 5, .sequence = 1});
    run_until([this] { return fleet_size() > 1; });
    BOOST_TEST(fleet_size() == 2U);
}

// Guards against rotations in step. When all routers start at once, for example
// after a power loss, they would send each round of heartbeats to the same few
// peers of other domains.
BOOST_AUTO_TEST_CASE(routers_that_start_together_begin_with_different_peers)
{
    constexpr int peers_in_other_domain = 9;
    std::set<std::set<std::uint16_t>> first_rounds;
    for (std::string const name : {"n1", "n2", "n3", "n4", "n5", "n6"})
    {
        auto const router_loop = net::make_loop().value();
        kernel::kernel router_kernel{
            kernel::run_mode::one_loop, {.wait = [&](duration limit) {
                net::wait(*router_loop, std::min<duration>(limit, 2ms));
            }}};
        std::set<std::uint16_t> targets;
        std::vector<net::datagram_socket*> peer_sockets;
        routers_listed listed;
        for (int i = 0; i < peers_in_other_domain; ++i)
        {
            auto* const socket =
                net::open_datagrams(
                    *router_loop, {"127.0.0.1", 0},
                    [&targets, i](endpoint const&, std::string_view)
                    { targets.insert(static_cast<std::uint16_t>(i)); })
                    .value();
            peer_sockets.push_back(socket);
            listed.routers.push_back({{"p" + std::to_string(i)},
                                      {"127.0.0.1", net::port_of(*socket)},
                                      {"b"}});
        }
        auto const router =
            router_kernel.add(make_peers_service({.loop = router_loop,
                                                  .self = {name},
                                                  .domain = {"a"},
                                                  .started = 1,
                                                  .listen = {"127.0.0.1", 0},
                                                  .seed = 1}));
        router_kernel.start();
        send(router, listed);
        send(router, local_load_report{.domain = {{12, 5}}});
        auto const targets_per_round =
            decisions::heartbeat_rotation_options{}.other_domains;
        test::run_until(router_kernel,
                        [&] { return targets.size() == targets_per_round; });
        first_rounds.insert(targets);
        router_kernel.stop();
        for (auto* const socket : peer_sockets)
            net::close(*socket);
    }
    BOOST_TEST(first_rounds.size() >= 3U);
}

// Guards against unlimited memory use: anyone who can reach the UDP port may
// send heartbeats under invented names.
BOOST_AUTO_TEST_CASE(heartbeats_add_a_limited_number_of_peers)
{
    constexpr int name_count = 1'200;
    for (int i = 0; i < name_count; ++i)
    {
        send_heartbeat(
            {.from = {"x" + std::to_string(i)}, .started = 5, .sequence = 1});
        net::wait(*loop, 0ms);
    }
    run_until([this] { return fleet_size() >= 1'000; });
    send_heartbeat(
        {.from = {"x0"}, .started = 5, .sequence = 2, .servers_revision = 3});
    run_until([this]
              { return !received<peer_revisions_received>(*store).empty(); });
    BOOST_TEST(fleet_size() == 1'001U);
}

BOOST_AUTO_TEST_CASE(
    new_revisions_of_peers_are_reported_to_the_store_service_once)
{
    send_heartbeat(
        {.from = {"r2"}, .started = 5, .sequence = 1, .servers_revision = 9});
    send_heartbeat(
        {.from = {"r3"}, .started = 5, .sequence = 1, .servers_revision = 9});
    send_heartbeat(
        {.from = {"r3"}, .started = 5, .sequence = 2, .servers_revision = 11});
    auto const reported = [this]
    {
        std::vector<revision> revisions;
        for (auto const& report : received<peer_revisions_received>(*store))
            revisions.push_back(report.revisions.servers);
        return revisions;
    };
    run_until([&] { return !reported().empty() && reported().back() == 11; });
    BOOST_CHECK(reported() == (std::vector<revision>{9, 11}));
}

BOOST_AUTO_TEST_CASE(local_revisions_are_sent_in_the_next_heartbeat)
{
    send_heartbeat({.from = {"r2"}, .started = 5, .sequence = 1});
    run_until([this] { return fleet_size() == 2; });
    send(peers, known_revisions{.rules = 21, .servers = 22});
    send(peers, local_load_report{});
    run_until([this] { return !received_heartbeats.empty(); });
    BOOST_TEST(received_heartbeats.front().rules_revision == 21U);
    BOOST_TEST(received_heartbeats.front().servers_revision == 22U);
}

// Guards against revisions of before the store was restored that hide later
// ones, which are lower.
BOOST_AUTO_TEST_CASE(revisions_of_a_later_era_replace_those_of_an_earlier_one)
{
    send_heartbeat({.from = {"r2"},
                    .started = 5,
                    .sequence = 1,
                    .store_era = 1,
                    .servers_revision = 90});
    send_heartbeat({.from = {"r3"},
                    .started = 5,
                    .sequence = 1,
                    .store_era = 2,
                    .servers_revision = 70});
    send_heartbeat({.from = {"r2"},
                    .started = 5,
                    .sequence = 2,
                    .store_era = 1,
                    .servers_revision = 95});
    send_heartbeat({.from = {"r2"},
                    .started = 5,
                    .sequence = 3,
                    .store_era = 2,
                    .servers_revision = 71});
    std::vector<revision> reported;
    run_until(
        [&]
        {
            reported.clear();
            for (auto const& report : received<peer_revisions_received>(*store))
                reported.push_back(report.revisions.servers);
            return !reported.empty() && reported.back() == 71;
        });
    BOOST_CHECK(reported == (std::vector<revision>{90, 70, 71}));
}

BOOST_AUTO_TEST_SUITE_END()

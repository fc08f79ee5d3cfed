/// Tests of the fleet link between two routers over loopback.
#include "link_node.hpp"

#include <chrono>
#include <ctime>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace bramleyarch::test;

namespace
{

struct node_pair
{
    std::unique_ptr<link_node> a = start_node({.self = {"a"}, .started = 1});
    std::unique_ptr<link_node> b = start_node({.self = {"b"}, .started = 1});

    node_pair()
    {
        auto const view = make_view(
            {make_member({"a"}, *a->port), make_member({"b"}, *b->port)});
        send(a->link, view);
        send(b->link, view);
    }
};

double process_cpu_seconds()
{
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) +
           static_cast<double>(spent.tv_nsec) / 1e9;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_link)

BOOST_AUTO_TEST_CASE(requests_and_replies_cross_in_order)
{
    node_pair nodes;
    auto offered = make_offer(7, now(nodes.a->router_kernel.clock()) + 30s);
    offered.request.body = std::make_shared<std::string>("question");
    send(nodes.a->link, send_owner_request{{"b"}, offered});
    auto const received = await<owner_request_received>(*nodes.b->owner);
    BOOST_TEST(received[0].origin.value == "a");
    auto const& request = std::get<offer>(received[0].request).request;
    BOOST_TEST(*request.body == "question");
    auto const remaining =
        request.deadline - now(nodes.b->router_kernel.clock());
    BOOST_TEST((remaining > 0s && remaining <= 30s));

    auto const attempt = offered.attempt;
    send(nodes.b->link,
         send_owner_reply{{"a"},
                          answer_head{.attempt = attempt, .status = 200}});
    for (std::uint64_t n = 0; n < 1000; ++n)
        send(nodes.b->link,
             send_owner_reply{{"a"}, answer_chunk{attempt, n, "x"}});
    send(nodes.b->link,
         send_owner_reply{{"a"}, answer_end{attempt, 1000, 1000}});
    auto const replies = await<owner_reply_received>(*nodes.a->routing, 1002);
    for (std::uint64_t n = 0; n < 1000; ++n)
        BOOST_TEST(std::get<answer_chunk>(replies[n + 1].reply).sequence == n);
    BOOST_TEST(std::get<answer_end>(replies.back().reply).chunks == 1000U);
}

BOOST_AUTO_TEST_CASE(both_directions_at_once)
{
    node_pair nodes;
    for (std::uint64_t n = 0; n < 200; ++n)
    {
        send(nodes.a->link, send_owner_request{{"b"}, make_offer(n)});
        send(nodes.b->link, send_owner_request{{"a"}, make_offer(n)});
    }
    await<owner_request_received>(*nodes.a->owner, 200);
    await<owner_request_received>(*nodes.b->owner, 200);
    BOOST_TEST(nodes.a->routing->messages.empty());
    BOOST_TEST(nodes.b->routing->messages.empty());
}

BOOST_AUTO_TEST_CASE(configuration_of_a_megabyte_is_fetched)
{
    node_pair nodes;
    send(nodes.a->link, fetch_config{.from = {"b"}, .newer_than = 4});
    auto const requested = await<config_requested>(*nodes.b->configuration);
    BOOST_TEST(requested[0].requester.value == "a");
    BOOST_TEST(requested[0].newer_than == 4U);
    send(nodes.b->link, send_config{{"a"}, std::string(1U << 20, 'j')});
    auto const received = await<document_received>(*nodes.a->configuration);
    BOOST_TEST(received[0].from.value == "b");
    BOOST_TEST(received[0].json.size() == 1U << 20);
}

BOOST_AUTO_TEST_CASE(chunks_per_second_through_one_link)
{
    node_pair nodes;
    auto const offered = make_offer(1);
    send(nodes.a->link, send_owner_request{{"b"}, offered});
    await<owner_request_received>(*nodes.b->owner);
    constexpr std::uint64_t count = 200'000;
    // Stands for the credit of the streams, which limits the chunks in flight.
    constexpr std::uint64_t max_in_flight = 20'000;
    auto const begin = std::chrono::steady_clock::now();
    double const cpu_begin = process_cpu_seconds();
    for (std::uint64_t n = 0; n < count; ++n)
    {
        if (n % max_in_flight == 0)
            await_total(*nodes.a->routing, n);
        send(nodes.b->link,
             send_owner_reply{
                 {"a"},
                 answer_chunk{offered.attempt, n, std::string(120, 'x')}});
    }
    await_total(*nodes.a->routing, count);
    std::chrono::duration<double> const spent =
        std::chrono::steady_clock::now() - begin;
    BOOST_TEST_MESSAGE("chunks per second: "
                       << count / spent.count() << ", per CPU second "
                       << "(both ends and the test): "
                       << count / (process_cpu_seconds() - cpu_begin));
}

BOOST_AUTO_TEST_SUITE_END()

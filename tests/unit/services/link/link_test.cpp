/// Tests of the fleet link between two kernels on loopback.
#include "link_node.hpp"

#include <chrono>
#include <ctime>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace bramleyarch::test;

namespace
{

struct pair_of_nodes
{
    std::unique_ptr<link_node> a = start_node({.self = {"a"}, .started = 1});
    std::unique_ptr<link_node> b = start_node({.self = {"b"}, .started = 1});

    pair_of_nodes()
    {
        auto const view =
            view_of({listed({"a"}, *a->port), listed({"b"}, *b->port)});
        send(a->link, view);
        send(b->link, view);
    }
};

double processor_seconds()
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
    pair_of_nodes nodes;
    auto offered = offer_number(7, now(nodes.a->k.clock()) + 30s);
    offered.request.body = std::make_shared<std::string>("question");
    send(nodes.a->link, send_owner_request{{"b"}, offered});
    auto const got = await<owner_request_received>(*nodes.b->owner);
    BOOST_TEST(got[0].origin.value == "a");
    auto const& request = std::get<offer>(got[0].request).request;
    BOOST_TEST(*request.body == "question");
    auto const left = request.deadline - now(nodes.b->k.clock());
    BOOST_TEST((left > 0s && left <= 30s));

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
    pair_of_nodes nodes;
    for (std::uint64_t n = 0; n < 200; ++n)
    {
        send(nodes.a->link, send_owner_request{{"b"}, offer_number(n)});
        send(nodes.b->link, send_owner_request{{"a"}, offer_number(n)});
    }
    await<owner_request_received>(*nodes.a->owner, 200);
    await<owner_request_received>(*nodes.b->owner, 200);
    BOOST_TEST(nodes.a->routing->messages.empty());
    BOOST_TEST(nodes.b->routing->messages.empty());
}

BOOST_AUTO_TEST_CASE(configuration_of_a_megabyte_is_fetched)
{
    pair_of_nodes nodes;
    send(nodes.a->link, fetch_config{.from = {"b"}, .newer_than = 4});
    auto const wanted = await<config_requested>(*nodes.b->configuration);
    BOOST_TEST(wanted[0].requester.value == "a");
    BOOST_TEST(wanted[0].newer_than == 4U);
    send(nodes.b->link, send_config{{"a"}, std::string(1U << 20, 'j')});
    auto const got = await<document_received>(*nodes.a->configuration);
    BOOST_TEST(got[0].from.value == "b");
    BOOST_TEST(got[0].json.size() == 1U << 20);
}

BOOST_AUTO_TEST_CASE(chunks_per_second_through_one_link)
{
    pair_of_nodes nodes;
    auto const offered = offer_number(1);
    send(nodes.a->link, send_owner_request{{"b"}, offered});
    await<owner_request_received>(*nodes.b->owner);
    constexpr std::uint64_t count = 200'000;
    // The credit of the streams bounds what is under way.
    constexpr std::uint64_t under_way = 20'000;
    auto const begin = std::chrono::steady_clock::now();
    double const processor = processor_seconds();
    for (std::uint64_t n = 0; n < count; ++n)
    {
        if (n % under_way == 0)
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
                       << count / spent.count() << ", per processor second "
                       << "(both ends and the test): "
                       << count / (processor_seconds() - processor));
}

BOOST_AUTO_TEST_SUITE_END()

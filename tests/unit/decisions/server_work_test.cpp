/// Tests of the choice of a server by expected work and pace.
#include "decisions/server_choice.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <set>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

constexpr shared_prefix prefix{.key = 5, .tokens = 9000};

/// Returns candidates with equal loads, the preferred one of the prefix first.
std::vector<server_candidate> make_servers()
{
    std::vector<server_candidate> servers;
    for (std::uint64_t hash = 1; hash <= 12; ++hash)
        servers.push_back({.hash = hash,
                           .load = 20,
                           .slots = 64,
                           .own_domain = true,
                           .expected_load = 20});
    std::ranges::sort(servers, std::greater{},
                      [](server_candidate const& server)
                      { return prefix_weight(prefix, server.hash); });
    return servers;
}

server_choice choose(std::vector<server_candidate> const& servers,
                     std::optional<shared_prefix> shared, std::uint32_t tokens,
                     std::uint64_t draw = 1)
{
    return select_server_by_work(servers, 20, shared,
                                 {.prompt_tokens = tokens, .gap_target = 500ms},
                                 {}, {}, draw)
        .value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(decisions_server_work)

// Moving a request away from its cached prefix costs more than the pace of a
// slow server does if there is little else to read.
BOOST_AUTO_TEST_CASE(short_requests_stay_with_their_prefix_on_other_paces)
{
    auto servers = make_servers();
    servers[0].pace = 1.5;
    BOOST_TEST(choose(servers, prefix, 9200).index == 0U);
}

// A slow server that reads a long prompt delays all of its streams too long.
BOOST_AUTO_TEST_CASE(long_requests_leave_a_slow_preferred_server)
{
    auto servers = make_servers();
    servers[0].pace = 2.5;
    auto const choice = choose(servers, prefix, 17'000);
    BOOST_TEST(choice.index == 1U);
    BOOST_TEST((choice.cause == choice_cause::other_pace));
    BOOST_TEST(choose(make_servers(), prefix, 17'000).index == 0U);
    // All are slow, so that nothing is gained.
    for (auto& server : servers)
        server.pace = 2.5;
    BOOST_TEST(choose(servers, prefix, 17'000).index == 0U);
}

// Two long prompts in a row delay the streams of a server for too long.
BOOST_AUTO_TEST_CASE(servers_with_unread_prompts_are_avoided)
{
    auto servers = make_servers();
    for (auto& server : servers)
        server.unread_tokens = 10'000;
    servers[3].unread_tokens = 0;
    for (std::uint64_t draw = 0; draw < 100; ++draw)
        BOOST_TEST(choose(servers, {}, 10'000, draw).index == 3U);
}

// A server that states a wrong pace gets no more than the limit allows.
BOOST_AUTO_TEST_CASE(a_fast_server_at_its_bound_gets_no_request)
{
    auto servers = make_servers();
    servers[0].pace = 0.01;
    servers[0].load = 60;
    std::set<std::size_t> chosen;
    for (std::uint64_t draw = 0; draw < 100; ++draw)
    {
        chosen.insert(choose(servers, {}, 130, draw).index);
        BOOST_TEST(choose(servers, prefix, 9200, draw).index != 0U);
    }
    BOOST_TEST(!chosen.contains(0));
    BOOST_TEST(chosen.size() == servers.size() - 1);
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of the choice of a server to copy a prompt from, each for one reason
/// why a prompt's requests move.
#include "decisions/prompt_copy.hpp"

#include "common/digest.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace bramleyarch;
using namespace bramleyarch::decisions;

namespace
{

shared_prefix const long_prefix{.key = 77, .tokens = 9000};

/// Returns servers that started at the same time, in the order of
/// `long_prefix`.
std::vector<copy_source> make_ordered_servers(std::size_t count)
{
    std::vector<copy_source> servers;
    for (std::size_t i = 0; i < count; ++i)
        servers.push_back({.hash = name_hash("server-" + std::to_string(i)),
                           .started_ms = 1000});
    std::sort(servers.begin(), servers.end(),
              [](copy_source const& a, copy_source const& b)
              {
                  return prefix_weight(long_prefix, a.hash) >
                         prefix_weight(long_prefix, b.hash);
              });
    return servers;
}

std::optional<std::size_t> source_for(std::vector<copy_source> const& servers,
                                      std::size_t chosen,
                                      shared_prefix prefix = long_prefix)
{
    return find_copy_source(servers, servers[chosen].hash, prefix, {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(prompt_copies)

// A subject gets so much of the traffic that its requests overflow.
BOOST_AUTO_TEST_CASE(a_server_after_overflow_copies_from_the_preferred_one)
{
    auto const servers = make_ordered_servers(5);
    BOOST_CHECK(source_for(servers, 1) == 0U);
    BOOST_CHECK(source_for(servers, 4) == 0U);
}

BOOST_AUTO_TEST_CASE(the_oldest_preferred_server_copies_nothing)
{
    BOOST_CHECK(!source_for(make_ordered_servers(5), 0).has_value());
}

// Servers are added, or replaced in a release.
BOOST_AUTO_TEST_CASE(a_new_server_copies_from_the_previously_preferred_one)
{
    auto servers = make_ordered_servers(5);
    servers[0].started_ms = 9000;
    BOOST_CHECK(source_for(servers, 0) == 1U);
    servers[1].started_ms = 9500;
    BOOST_CHECK(source_for(servers, 0) == 2U);
}

// A server that is leaving gets no new requests, but has the prompt cached
// until it ends.
BOOST_AUTO_TEST_CASE(the_next_server_copies_from_the_leaving_one)
{
    auto const servers = make_ordered_servers(3);
    BOOST_CHECK(source_for(servers, 1) == 0U);
}

BOOST_AUTO_TEST_CASE(an_unreachable_server_is_no_source)
{
    auto servers = make_ordered_servers(3);
    servers[0].reachable = false;
    BOOST_CHECK(!source_for(servers, 1).has_value());
    servers[1].started_ms = 9000;
    BOOST_CHECK(source_for(servers, 1) == 2U);
}

BOOST_AUTO_TEST_CASE(short_prompts_are_not_copied)
{
    auto const servers = make_ordered_servers(3);
    BOOST_CHECK(
        !source_for(servers, 1, {.key = 77, .tokens = 100}).has_value());
    BOOST_CHECK(!find_copy_source(servers, servers[1].hash, std::nullopt, {})
                     .has_value());
    BOOST_CHECK(!find_copy_source(servers, 1, long_prefix, {}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

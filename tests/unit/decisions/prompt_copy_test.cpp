/// Tests of the choice of a server to copy a prompt from, each under the change
/// that moves the prompt.
#include "decisions/prompt_copy.hpp"

#include "common/digest.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace bramleyarch;
using namespace bramleyarch::decisions;

namespace
{

shared_prefix const long_prompt{.key = 77, .tokens = 9000};

/// Servers of one age in the order of the prompt.
std::vector<copy_source> in_order(std::size_t count)
{
    std::vector<copy_source> made;
    for (std::size_t i = 0; i < count; ++i)
        made.push_back({.hash = name_hash("server-" + std::to_string(i)),
                        .started_ms = 1000});
    std::sort(made.begin(), made.end(),
              [](copy_source const& a, copy_source const& b)
              {
                  return prompt_weight(long_prompt, a.hash) >
                         prompt_weight(long_prompt, b.hash);
              });
    return made;
}

std::optional<std::size_t> copy_for(std::vector<copy_source> const& all,
                                    std::size_t chosen,
                                    shared_prefix prompt = long_prompt)
{
    return find_copy_source(all, all[chosen].hash, prompt, {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(prompt_copies)

// Load pattern: a subject gets much of the traffic and spills.
BOOST_AUTO_TEST_CASE(a_spilled_prompt_is_copied_from_where_its_requests_meet)
{
    auto const all = in_order(5);
    BOOST_CHECK(copy_for(all, 1) == 0U);
    BOOST_CHECK(copy_for(all, 4) == 0U);
}

BOOST_AUTO_TEST_CASE(where_requests_have_always_met_nothing_is_copied)
{
    BOOST_CHECK(!copy_for(in_order(5), 0).has_value());
}

// Load pattern: servers are added, or replaced in a release.
BOOST_AUTO_TEST_CASE(a_new_server_copies_from_the_first_one_before_it)
{
    auto all = in_order(5);
    all[0].started_ms = 9000;
    BOOST_CHECK(copy_for(all, 0) == 1U);
    all[1].started_ms = 9500;
    BOOST_CHECK(copy_for(all, 0) == 2U);
}

// A server that leaves is chosen no more, and holds the prompt until it ends.
BOOST_AUTO_TEST_CASE(the_next_server_copies_from_the_one_that_leaves)
{
    auto const all = in_order(3);
    BOOST_CHECK(copy_for(all, 1) == 0U);
}

BOOST_AUTO_TEST_CASE(a_server_that_can_not_be_reached_gives_no_copy)
{
    auto all = in_order(3);
    all[0].reachable = false;
    BOOST_CHECK(!copy_for(all, 1).has_value());
    all[1].started_ms = 9000;
    BOOST_CHECK(copy_for(all, 1) == 2U);
}

BOOST_AUTO_TEST_CASE(short_prompts_are_read_rather_than_copied)
{
    auto const all = in_order(3);
    BOOST_CHECK(!copy_for(all, 1, {.key = 77, .tokens = 100}).has_value());
    BOOST_CHECK(
        !find_copy_source(all, all[1].hash, std::nullopt, {}).has_value());
    BOOST_CHECK(!find_copy_source(all, 1, long_prompt, {}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of the refusal of prompt parts that crash servers.
#include "decisions/crashing_parts.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

time_point const begin{1000s};

constexpr std::uint64_t system_part = 1;
constexpr std::uint64_t document = 2;
constexpr std::uint64_t crashing_part = 3;

std::vector<prompt_part> prompt_of(std::vector<std::uint64_t> const& parts)
{
    std::vector<prompt_part> prompt;
    for (auto const part : parts)
        prompt.push_back({.id = part, .tokens = 100});
    // The last part is the request's own.
    prompt.push_back({.id = 999, .tokens = 10});
    return prompt;
}

std::vector<prompt_part> const crashing =
    prompt_of({system_part, document, crashing_part});
std::vector<prompt_part> const sound = prompt_of({system_part, document});

/// Records that a server crashed before it answered a request.
bool crash(crashing_parts& state, std::vector<prompt_part> const& prompt,
           std::uint64_t server, time_point at)
{
    return record_prompt_crash(state,
                               {.server = server,
                                .at = at,
                                .parts = unproven_parts(state, prompt, at)},
                               at);
}

/// Lets servers crash by the crashing prompt, each after an interval.
time_point crash_servers(crashing_parts& state, std::uint64_t count,
                         duration interval = 1s)
{
    auto at = begin;
    for (std::uint64_t server = 1; server <= count; ++server, at += interval)
        crash(state, crashing, server, at);
    return at;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_prompt_parts)

BOOST_AUTO_TEST_CASE(requests_with_the_parts_are_refused_after_three_crashes)
{
    crashing_parts state;
    crash_servers(state, 2);
    BOOST_TEST(!should_refuse(state, crashing));
    crash(state, crashing, 3, begin + 3s);
    BOOST_TEST(should_refuse(state, crashing));
}

// Guards against refusing sound requests that share the other parts: nothing
// tells the parts apart before one of these requests is answered.
BOOST_AUTO_TEST_CASE(sound_requests_with_the_other_parts_are_served)
{
    crashing_parts state;
    auto const at = crash_servers(state, 3);
    BOOST_TEST(!should_refuse(state, sound));
    BOOST_TEST(!should_refuse(state, prompt_of({system_part, 7})));
    record_prompt_answer(state, sound, at);
    BOOST_TEST(!should_refuse(state, sound));
    BOOST_TEST(should_refuse(state, crashing));
    BOOST_TEST(should_refuse(state, prompt_of({8, crashing_part})));
}

BOOST_AUTO_TEST_CASE(sound_request_on_the_same_servers_does_not_hide_the_part)
{
    crashing_parts state;
    for (std::uint64_t server = 1; server <= 3; ++server)
    {
        crash(state, crashing, server, begin + server * 1s);
        crash(state, sound, server, begin + server * 1s);
    }
    BOOST_TEST(should_refuse(state, crashing));
    BOOST_TEST(!should_refuse(state, sound));
}

// The document itself is the culprit: the first sound-looking request shows it.
BOOST_AUTO_TEST_CASE(crash_without_one_of_the_parts_shows_the_other)
{
    crashing_parts state;
    crash_servers(state, 3);
    record_prompt_answer(state, prompt_of({system_part, 7}), begin + 4s);
    BOOST_TEST(!should_refuse(state, sound));
    crash(state, sound, 4, begin + 5s);
    BOOST_TEST(should_refuse(state, sound));
}

BOOST_AUTO_TEST_CASE(parts_that_were_answered_lately_are_not_suspected)
{
    crashing_parts state;
    record_prompt_answer(state, sound, begin - 10s);
    crash_servers(state, 3);
    BOOST_TEST(state.suspects.size() == 1U);
    BOOST_TEST(should_refuse(state, crashing));
    crash(state, sound, 9, begin + 2min);
    BOOST_TEST(state.suspects.contains(document));
}

BOOST_AUTO_TEST_CASE(answer_clears_a_part_and_expires)
{
    crashing_parts state;
    auto const at = crash_servers(state, 5);
    record_prompt_answer(state, crashing, at);
    BOOST_TEST(!should_refuse(state, crashing));
    remove_expired(state, at + 2min);
    BOOST_TEST(state.answered_at.empty());
}

// Guards against refusals after a fault of the network, which breaks the
// connections to many servers at once.
BOOST_AUTO_TEST_CASE(crashes_at_the_same_time_count_once)
{
    crashing_parts state;
    crash_servers(state, 10, 10ms);
    BOOST_TEST(!should_refuse(state, crashing));
    crash(state, crashing, 11, begin + 1s);
    BOOST_TEST(!should_refuse(state, crashing));
    crash(state, crashing, 12, begin + 2s);
    BOOST_TEST(should_refuse(state, crashing));
}

BOOST_AUTO_TEST_CASE(one_crash_reported_by_many_routers_counts_once)
{
    crashing_parts state;
    BOOST_TEST(crash(state, crashing, 1, begin));
    for (int i = 1; i < 10; ++i)
        BOOST_TEST(!crash(state, crashing, 1, begin + i * 1s));
    BOOST_TEST(!should_refuse(state, crashing));
}

// Guards against routers that start later and let more requests pass.
BOOST_AUTO_TEST_CASE(repeated_crashes_convince_a_router_that_knows_nothing)
{
    crashing_parts state;
    auto const at = crash_servers(state, 3);
    crash(state, prompt_of({40}), 77, at);
    crashing_parts started;
    for (auto const& repeated : crashes_to_repeat(state))
        BOOST_TEST(record_prompt_crash(started, repeated, at));
    BOOST_TEST(should_refuse(started, crashing));
    BOOST_TEST(!should_refuse(started, sound));
    BOOST_TEST(!started.suspects.contains(40));
    for (auto const& repeated : crashes_to_repeat(state))
        BOOST_TEST(!record_prompt_crash(started, repeated, at));
}

// Guards against heartbeats that grow with the crashes, and against a receiver
// that blames a sound part because it knows fewer crashes of the other.
BOOST_AUTO_TEST_CASE(few_crashes_are_repeated_and_explain_the_same)
{
    crashing_parts state;
    for (std::uint64_t server = 1; server <= 12; ++server)
    {
        auto const at = begin + server * 1s;
        bool const has_document = server % 3 == 0;
        crash(state, has_document ? crashing : prompt_of({crashing_part}),
              server, at);
    }
    BOOST_TEST(!should_refuse(state, sound));
    auto const repeated = crashes_to_repeat(state);
    BOOST_TEST(repeated.size() <= 9U);
    crashing_parts started;
    for (auto const& one : repeated)
        record_prompt_crash(started, one, begin + 13s);
    BOOST_TEST(should_refuse(started, crashing));
    BOOST_TEST(should_refuse(started, prompt_of({crashing_part})));
    BOOST_TEST(!should_refuse(started, sound));
}

BOOST_AUTO_TEST_CASE(crashes_expire)
{
    crashing_parts state;
    auto const at = crash_servers(state, 3);
    remove_expired(state, at + state.options.retention);
    BOOST_TEST(state.suspects.empty());
}

BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    crashing_parts state{.options = {.max_suspects = 10, .max_proven = 10}};
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        crash(state, prompt_of({1000 + i}), i, begin);
        crash(state, prompt_of({1000}), i, begin);
        record_prompt_answer(state, prompt_of({2000 + i}), begin);
    }
    BOOST_TEST(state.suspects.size() == 10U);
    BOOST_TEST(state.suspects.at(1000).size() ==
               state.options.max_crashes_kept);
    BOOST_TEST(state.answered_at.size() == 10U);
}

BOOST_AUTO_TEST_CASE(prompts_without_shared_parts_are_never_refused)
{
    crashing_parts state;
    crash_servers(state, 3);
    BOOST_TEST(!should_refuse(state, {}));
    BOOST_TEST(!should_refuse(state, prompt_of({})));
    BOOST_TEST(unproven_parts(state, {}, begin).empty());
}

BOOST_AUTO_TEST_SUITE_END()

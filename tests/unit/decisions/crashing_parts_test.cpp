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
                                .parts = suspected_parts(state, prompt, at)});
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

// Guards against a part that was sound a moment ago and begins to crash
// servers.
BOOST_AUTO_TEST_CASE(answer_clears_a_part_of_earlier_crashes_only)
{
    crashing_parts state;
    crash(state, crashing, 1, begin);
    crash(state, crashing, 2, begin + 1s);
    auto const cleared = record_prompt_answer(state, sound, begin + 2s);
    BOOST_TEST(cleared.size() == 2U);
    BOOST_TEST(record_prompt_answer(state, sound, begin + 2s).empty());
    // A report of a crash before the answer.
    BOOST_TEST(suspected_parts(state, sound, begin + 1500ms).empty());
    BOOST_TEST(!crash(state, sound, 3, begin + 1500ms));
    crash(state, crashing, 4, begin + 3s);
    BOOST_TEST(should_refuse(state, crashing));
    BOOST_TEST(!should_refuse(state, sound));
    crash(state, sound, 5, begin + 4s);
    crash(state, sound, 6, begin + 5s);
    BOOST_TEST(should_refuse(state, sound));
}

BOOST_AUTO_TEST_CASE(answers_of_other_routers_clear_parts)
{
    crashing_parts state;
    auto const at = crash_servers(state, 3);
    BOOST_TEST(!record_part_answer(state, {crashing_part, begin - 1s}));
    BOOST_TEST(should_refuse(state, crashing));
    BOOST_TEST(record_part_answer(state, {crashing_part, at}));
    BOOST_TEST(!record_part_answer(state, {crashing_part, at}));
    // Its other parts are still suspected.
    BOOST_TEST(should_refuse(state, crashing));
    BOOST_TEST(record_part_answer(state, {system_part, at}));
    BOOST_TEST(record_part_answer(state, {document, at}));
    BOOST_TEST(!should_refuse(state, crashing));
    auto const answers = answers_since(
        state, {.server = 9, .at = begin, .parts = {40, crashing_part}});
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST(answers[0].part == crashing_part);
    BOOST_TEST((answers[0].at == at));
}

// Guards against a sound part that is refused until its crashes expire, and
// against trials that crash one server after the other.
BOOST_AUTO_TEST_CASE(refused_part_is_tried_by_one_router_at_a_time)
{
    std::vector<router_id> routers;
    for (int i = 0; i < 20; ++i)
        routers.push_back({"r" + std::to_string(i)});
    std::vector<crashing_parts> states(routers.size());
    for (auto& state : states)
        crash_servers(state, 3);
    auto const trials = [&](time_point at)
    {
        std::size_t started = 0;
        for (std::size_t i = 0; i < routers.size(); ++i)
        {
            auto others = routers;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
            started += start_trial(states[i], crashing, routers[i], others, at)
                           ? 1
                           : 0;
        }
        return started;
    };
    auto const last = begin + 2s;
    BOOST_TEST(trials(last + 1s) == 0U);
    BOOST_TEST(trials(last + 3s) == 1U);
    BOOST_TEST(trials(last + 4s) == 0U);
    BOOST_TEST(trials(last + 6s) == 1U);
    for (auto& state : states)
        crash(state, crashing, 4, last + 6s);
    BOOST_TEST(trials(last + 8s) == 0U);
    BOOST_TEST(trials(last + 60s) == 0U);
    record_prompt_answer(states[0], crashing, last + 61s);
    BOOST_TEST(!should_refuse(states[0], crashing));
}

// Guards against a part that counts as sound because a server sent some events
// before it crashed, and against one that never does as its answers are long.
BOOST_AUTO_TEST_CASE(answer_shows_that_parts_are_sound_once_past_its_start)
{
    crashing_parts_options const options;
    answer_in_progress answer;
    BOOST_TEST(!record_answer_bytes(answer, options, begin));
    BOOST_TEST(!record_answer_bytes(answer, options, begin + 999ms));
    BOOST_TEST(!answer.is_past_start);
    BOOST_TEST(record_answer_bytes(answer, options, begin + 1s));
    BOOST_TEST(answer.is_past_start);
    BOOST_TEST(!record_answer_bytes(answer, options, begin + 2s));
    BOOST_TEST(answer.is_past_start);
}

BOOST_AUTO_TEST_CASE(answer_clears_a_part_and_expires)
{
    crashing_parts state;
    auto const at = crash_servers(state, 5);
    record_prompt_answer(state, crashing, at);
    BOOST_TEST(!should_refuse(state, crashing));
    remove_expired(state, at + state.options.retention);
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
        BOOST_TEST(record_prompt_crash(started, repeated));
    BOOST_TEST(should_refuse(started, crashing));
    BOOST_TEST(!should_refuse(started, sound));
    BOOST_TEST(!started.suspects.contains(40));
    for (auto const& repeated : crashes_to_repeat(state))
        BOOST_TEST(!record_prompt_crash(started, repeated));
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
        record_prompt_crash(started, one);
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
    crashing_parts state{.options = {.max_suspects = 10, .max_answered = 10}};
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
    BOOST_TEST(suspected_parts(state, {}, begin).empty());
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of the times that answers take.
#include "decisions/answer_times.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

time_point const begin{1000s};

} // namespace

BOOST_AUTO_TEST_SUITE(times_of_answers)

BOOST_AUTO_TEST_CASE(longest_answer_of_two_periods_counts)
{
    answer_times times;
    BOOST_TEST(!expected_answer_time(times, "book", 0, begin).has_value());
    record_answer_time(times, "book", {.took = 400ms}, begin);
    record_answer_time(times, "book", {.took = 80ms}, begin + 1s);
    BOOST_TEST((expected_answer_time(times, "book", 0, begin + 2s) == 600ms));
    record_answer_time(times, "book", {.took = 80ms}, begin + 31s);
    BOOST_TEST((expected_answer_time(times, "book", 0, begin + 32s) == 600ms));
    record_answer_time(times, "book", {.took = 80ms}, begin + 62s);
    BOOST_TEST((expected_answer_time(times, "book", 0, begin + 63s) == 200ms));
    BOOST_TEST(
        !expected_answer_time(times, "book", 0, begin + 3min).has_value());
    record_answer_time(times, "book", {.took = 40ms}, begin + 3min);
    BOOST_TEST((expected_answer_time(times, "book", 0, begin + 3min) == 150ms));
    BOOST_TEST(!expected_answer_time(times, "look", 0, begin).has_value());
}

// Guards against an estimate that is taken from shorter answers: the request
// states that its own may be longer.
BOOST_AUTO_TEST_CASE(answers_with_more_tokens_take_longer)
{
    answer_times times;
    answer_sample const sample{
        .took = 1500ms, .first_byte = 300ms, .max_tokens = 240};
    record_answer_time(times, "chat", sample, begin);
    // The first byte, 5 ms a token, and a quarter more.
    auto const expected = [&times](std::uint32_t max_tokens)
    { return *expected_answer_time(times, "chat", max_tokens, begin + 1s); };
    BOOST_TEST((expected(240) == 1975ms));
    BOOST_TEST((expected(680) == 4725ms));
    BOOST_TEST((expected(24) == 625ms));
    // Without a stated number only the longest answer is known.
    BOOST_TEST((expected(0) == 1975ms));
    record_answer_time(times, "chat", {.took = 1s, .max_tokens = 100},
                       begin + 31s);
    BOOST_TEST((expected_answer_time(times, "chat", 100, begin + 32s) ==
                1725ms)); // 300 ms and 10 ms a token
    record_answer_time(times, "old", {.took = 1s}, begin);
    BOOST_TEST((expected_answer_time(times, "old", 100, begin) == 1350ms));
}

BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    answer_times times{.options = {.max_routes = 3}};
    for (int i = 0; i < 9; ++i)
        record_answer_time(times, std::to_string(i), {.took = 1ms},
                           begin + i * 1s);
    BOOST_TEST(times.by_route.size() == 3U);
    record_answer_time(times, "later", {.took = 1ms}, begin + 2min);
    BOOST_TEST(times.by_route.contains("later"));
}

BOOST_AUTO_TEST_SUITE_END()

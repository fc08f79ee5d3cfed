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
    BOOST_TEST(!expected_answer_time(times, "book", begin).has_value());
    record_answer_time(times, "book", 400ms, begin);
    record_answer_time(times, "book", 80ms, begin + 1s);
    BOOST_TEST((expected_answer_time(times, "book", begin + 2s) == 600ms));
    record_answer_time(times, "book", 80ms, begin + 31s);
    BOOST_TEST((expected_answer_time(times, "book", begin + 32s) == 600ms));
    record_answer_time(times, "book", 80ms, begin + 62s);
    BOOST_TEST((expected_answer_time(times, "book", begin + 63s) == 200ms));
    BOOST_TEST(!expected_answer_time(times, "book", begin + 3min).has_value());
    record_answer_time(times, "book", 40ms, begin + 3min);
    BOOST_TEST((expected_answer_time(times, "book", begin + 3min) == 150ms));
    BOOST_TEST(!expected_answer_time(times, "look", begin).has_value());
}

BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    answer_times times{.options = {.max_routes = 3}};
    for (int i = 0; i < 9; ++i)
        record_answer_time(times, std::to_string(i), 1ms, begin + i * 1s);
    BOOST_TEST(times.by_route.size() == 3U);
    record_answer_time(times, "later", 1ms, begin + 2min);
    BOOST_TEST(times.by_route.contains("later"));
}

BOOST_AUTO_TEST_SUITE_END()

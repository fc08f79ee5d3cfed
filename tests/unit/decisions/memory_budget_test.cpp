/// Tests of what a process does as its memory fills up with what callers send
/// and do not read.
#include "decisions/memory_budget.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t mib = 1U << 20;

} // namespace

BOOST_AUTO_TEST_SUITE(memory_budgets)

// Guards against a router of 160 MiB that ends for want of memory although the
// machine that it shares has more.
BOOST_AUTO_TEST_CASE(setting_goes_before_what_the_machine_has)
{
    auto const budget = derive_memory_budget(
        {.setting = 160 * mib, .machine = 32'768 * mib}, 1800);
    BOOST_TEST(budget.total < 80 * mib);
    BOOST_TEST(budget.answer_credit * 1800UL < budget.total);
    auto const limited = derive_memory_budget(
        {.machine = 32'768 * mib, .address_space = 160 * mib}, 1800);
    BOOST_TEST(limited.total == budget.total);
}

BOOST_AUTO_TEST_CASE(unknown_memory_is_unbounded)
{
    auto const budget = derive_memory_budget({}, 1800);
    BOOST_TEST(
        (level_of(budget, 1000 * mib, 1000 * mib) == memory_level::calm));
}

// On a machine with much memory, answers flow as they did without a budget.
BOOST_AUTO_TEST_CASE(much_memory_does_not_limit_answers)
{
    auto const budget = derive_memory_budget({.machine = 32'768 * mib}, 1800);
    BOOST_TEST(budget.answer_credit == 256U << 10);
}

BOOST_AUTO_TEST_CASE(reading_stops_before_requests_are_rejected)
{
    memory_budget const budget{.total = 1000, .per_address = 850};
    BOOST_TEST((level_of(budget, 599, 0) == memory_level::calm));
    BOOST_TEST((level_of(budget, 600, 0) == memory_level::short_of_memory));
    BOOST_TEST((level_of(budget, 900, 0) == memory_level::exhausted));
    BOOST_TEST((level_of(budget, 850, 850) == memory_level::exhausted));
    BOOST_TEST(room_of(budget, 600) == 150U);
    BOOST_TEST(room_of(budget, 950) == 0U);
}

// Guards against small requests that exhaust the memory while it is short.
BOOST_AUTO_TEST_CASE(small_requests_of_all_connections_fit)
{
    memory_budget const budget{.total = 64 * mib, .per_address = 64 * mib};
    BOOST_TEST(small_request_bytes(budget, 10) == 64U << 10);
    BOOST_TEST(small_request_bytes(budget, 400) * 400 <= 10 * mib);
    BOOST_TEST(small_request_bytes(budget, 100'000) == 12U << 10);
}

// Guards against closing a caller that is slow only because its body is large.
BOOST_AUTO_TEST_CASE(callers_that_make_progress_are_never_chosen)
{
    auto const chosen = choose_stalled({{.id = 1, .held = 900, .stalled = 1s},
                                        {.id = 2, .held = 10, .stalled = 2s}},
                                       1000, 2s);
    BOOST_TEST(chosen == std::vector<std::uint64_t>{2},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(largest_for_longest_are_closed_first_and_no_more_of_them)
{
    auto const chosen = choose_stalled({{.id = 1, .held = 100, .stalled = 3s},
                                        {.id = 2, .held = 100, .stalled = 9s},
                                        {.id = 3, .held = 400, .stalled = 3s},
                                        {.id = 4, .held = 1, .stalled = 30s}},
                                       450, 2s);
    BOOST_TEST(chosen == (std::vector<std::uint64_t>{3, 2}),
               boost::test_tools::per_element());
}

// Guards against unfinished requests that all wait for memory which only one of
// them could free.
BOOST_AUTO_TEST_CASE(one_paused_caller_goes_on_without_room)
{
    std::array<std::size_t, 3> const needs{50, 50, 50};
    BOOST_TEST(count_resumable(needs, 0, 0, true) == 1U);
    BOOST_TEST(count_resumable(needs, 0, 50, true) == 0U);
    BOOST_TEST(count_resumable(needs, 100, 0, false) == 2U);
    BOOST_TEST(count_resumable(needs, 0, 0, false) == 0U);
    BOOST_TEST(count_resumable({}, 100, 0, true) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

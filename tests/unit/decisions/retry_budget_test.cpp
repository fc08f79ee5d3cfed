/// Tests of the retry budget.
#include "decisions/retry_budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::decisions;

BOOST_AUTO_TEST_SUITE(retry_budgets)

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_when_everything_fails)
{
    constexpr int requests = 10'000;
    retry_budget budget;
    int sent = 0;
    for (int i = 0; i < requests; ++i)
    {
        add_retry_credit(budget, team_id{"a"});
        ++sent;
        while (acquire_retry(budget, team_id{"a"}))
            ++sent;
    }
    BOOST_TEST(sent <= requests * 1.1 + budget.options.initial_retries);
    BOOST_TEST(sent > requests);
}

BOOST_AUTO_TEST_CASE(teams_do_not_share_a_bucket)
{
    retry_budget budget;
    while (acquire_retry(budget, team_id{"a"}))
    {
    }
    BOOST_TEST(acquire_retry(budget, team_id{"b"}));
}

BOOST_AUTO_TEST_SUITE_END()

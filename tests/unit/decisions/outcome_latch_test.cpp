/// Tests of the latch that decides whether a request can be `not_run`.
#include "decisions/outcome_latch.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace bramleyarch;
using namespace bramleyarch::decisions;

BOOST_AUTO_TEST_SUITE(outcome_latches)

BOOST_AUTO_TEST_CASE(not_run_only_while_nothing_can_have_been_sent)
{
    outcome_latch latch;
    BOOST_TEST((known_outcome(latch) == outcome::not_run));
    record_offer(latch);
    BOOST_TEST((known_outcome(latch) == outcome::unknown));
    record_redirect(latch);
    BOOST_TEST((known_outcome(latch) == outcome::not_run));
    BOOST_TEST(may_offer_again(latch, false));
    record_offer(latch);
    record_admission(latch);
    record_attempt_end(latch, outcome::not_run);
    BOOST_TEST((known_outcome(latch) == outcome::not_run));
}

BOOST_AUTO_TEST_CASE(after_a_lost_offer_the_outcome_stays_unknown)
{
    outcome_latch latch;
    record_offer(latch);
    record_owner_lost(latch);
    BOOST_TEST((known_outcome(latch) == outcome::unknown));
    BOOST_TEST(!may_offer_again(latch, false));
    BOOST_TEST(may_offer_again(latch, true));
    record_offer(latch);
    record_redirect(latch);
    BOOST_TEST((known_outcome(latch) == outcome::unknown));
}

// Runs all sequences of six steps. Once an attempt that may have run has ended,
// no further step makes the request `not_run` again.
BOOST_AUTO_TEST_CASE(no_sequence_returns_from_unknown_to_not_run)
{
    using step = void (*)(outcome_latch&);
    std::vector<step> const steps{
        record_offer,
        record_redirect,
        record_admission,
        record_answer_start,
        record_owner_lost,
        [](outcome_latch& latch)
        { record_attempt_end(latch, outcome::unknown); },
        [](outcome_latch& latch)
        { record_attempt_end(latch, outcome::not_run); }};
    constexpr int length = 6;
    std::size_t sequences = 1;
    for (int i = 0; i < length; ++i)
        sequences *= steps.size();
    for (std::size_t sequence = 0; sequence < sequences; ++sequence)
    {
        outcome_latch latch;
        bool may_have_run = false;
        std::size_t rest = sequence;
        for (int i = 0; i < length; ++i, rest /= steps.size())
        {
            steps[rest % steps.size()](latch);
            may_have_run = may_have_run || latch.may_have_run;
            if (may_have_run)
                BOOST_REQUIRE((known_outcome(latch) == outcome::unknown));
            if (may_have_run)
                BOOST_REQUIRE(!may_offer_again(latch, false));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of the choice between reading changes and reading the state.
#include "decisions/catch_up.hpp"

#include "common/time.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

/// A reader behind a link that follows a document which is rewritten often.
struct reader_model
{
    std::uint64_t document_bytes = 600'000;
    std::uint64_t link_bytes_per_s = 10'000'000 / 8;
    duration write_interval = 330ms;
    duration writing = 10s; ///< Writes stop after this time.
    duration cut_off = 0s;  ///< The reader can't reach the store until then.
    duration pause = 750ms; ///< Between two reads.
    bool may_read_state = true;
};

std::uint64_t version_at(reader_model const& model, duration at)
{
    return static_cast<std::uint64_t>(std::min(at, model.writing) /
                                      model.write_interval);
}

/// Returns the longest time, after the end of the cut, between the write of a
/// version and the moment at which the reader has it or a newer one.
duration longest_delay(reader_model const& model)
{
    duration longest{};
    std::uint64_t known = 0;
    auto at = model.cut_off;
    while (at < model.writing + 20s)
    {
        auto const newest = version_at(model, at);
        if (newest == known)
        {
            at += 10ms;
            continue;
        }
        auto const behind = newest - known;
        bool const state = model.may_read_state &&
                           should_read_state(behind * model.document_bytes,
                                             model.document_bytes, {});
        // The store returns at most four versions at once.
        auto const versions = state ? 1 : std::min<std::uint64_t>(behind, 4);
        auto const answered = at;
        at += 1000ms * versions * model.document_bytes / model.link_bytes_per_s;
        auto const written = std::max<duration>(
            static_cast<std::int64_t>(known + 1) * model.write_interval,
            model.cut_off);
        longest = std::max(longest, at - written);
        known = state ? newest : known + versions;
        at = std::max(at, answered + model.pause);
    }
    return longest;
}

constexpr duration rules_limit = 3s;

} // namespace

BOOST_AUTO_TEST_SUITE(catch_up)

// Guards against configurations that are in force too late on small instances:
// many routes, versions in quick succession, a link of 10 Mbit/s.
BOOST_AUTO_TEST_CASE(large_document_written_often_is_read_in_time)
{
    BOOST_TEST((longest_delay({}) < rules_limit));
    BOOST_TEST((longest_delay({.may_read_state = false}) > rules_limit));
}

BOOST_AUTO_TEST_CASE(reader_that_was_cut_off_is_up_to_date_at_once)
{
    BOOST_TEST((longest_delay({.cut_off = 8s}) < rules_limit));
    BOOST_TEST((longest_delay({.cut_off = 8s, .may_read_state = false}) >
                rules_limit));
}

BOOST_AUTO_TEST_CASE(small_changes_are_always_read)
{
    BOOST_TEST(!should_read_state(60'000, 100, {}));
    BOOST_TEST(!should_read_state(100'000, 100'000, {}));
    BOOST_TEST(should_read_state(200'000, 100'000, {}));
}

BOOST_AUTO_TEST_SUITE_END()

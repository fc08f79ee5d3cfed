/// Tests of the parts of rollouts: versions, evidence, comparison and steps.
#include "decisions/rollout.hpp"
#include "decisions/rollout_versions.hpp"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;
using config::rollout_state;

namespace
{

time_point const start{1000s};

config::rollout_order order_of(std::string const& version, revision changed)
{
    return {.service = {"chat"},
            .to_version = version,
            .length = 12s,
            .changed = changed};
}

config::rollout_status status_of(std::string const& version,
                                 rollout_state state, revision order,
                                 revision changed)
{
    return {.service = {"chat"},
            .to_version = version,
            .state = state,
            .order = order,
            .changed = changed};
}

/// A service whose servers have version 1, with an order to version 2.
service_versions versions_with_order()
{
    service_versions versions;
    note_version(versions, "1", 5, true, start);
    apply_order(versions, order_of("2", 10));
    note_version(versions, "2", 11, false, start);
    return versions;
}

std::vector<router_id> make_routers(std::size_t count)
{
    std::vector<router_id> routers;
    for (std::size_t i = 0; i < count; ++i)
        routers.push_back({"r" + std::to_string(i)});
    return routers;
}

std::vector<router_id> without(std::vector<router_id> routers, std::size_t i)
{
    routers.erase(routers.begin() + static_cast<std::ptrdiff_t>(i));
    return routers;
}

peer_heartbeat heartbeat_of(std::string const& from, std::string const& domain,
                            incarnation started)
{
    return {.from = {from}, .domain = {domain}, .started = started};
}

/// Counts of one route at the old and the new version.
route_counts make_counts(version_counts old, version_counts tested)
{
    old.new_version = false;
    tested.new_version = true;
    return {{{old.route, false}, old}, {{tested.route, true}, tested}};
}

bool is_bad(route_counts const& sum,
            verdict_urgency urgency = verdict_urgency::none)
{
    return find_badness({}, sum, start, urgency, {}).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(rollout_versions)

// Guards against requests at a version that the order in force does not allow.
BOOST_AUTO_TEST_CASE(state_of_the_order_decides_on_its_version)
{
    auto versions = versions_with_order();
    BOOST_TEST((allows_version(versions, "1") == version_use::allowed));
    BOOST_TEST((allows_version(versions, "2") == version_use::new_version));
    apply_status(versions, status_of("2", rollout_state::succeeded, 10, 20));
    BOOST_TEST((allows_version(versions, "1") == version_use::barred));
    BOOST_TEST((allows_version(versions, "2") == version_use::allowed));
    versions = versions_with_order();
    apply_status(versions, status_of("2", rollout_state::rolled_back, 10, 20));
    BOOST_TEST((allows_version(versions, "1") == version_use::allowed));
    BOOST_TEST((allows_version(versions, "2") == version_use::barred));
}

// Guards against a final state that changes.
BOOST_AUTO_TEST_CASE(final_state_of_an_order_stays)
{
    auto versions = versions_with_order();
    apply_status(versions, status_of("2", rollout_state::rolled_back, 10, 20));
    apply_status(versions, status_of("2", rollout_state::succeeded, 10, 21));
    BOOST_TEST((state_of_order(versions) == rollout_state::rolled_back));
}

// Guards against going on with an order that was withdrawn.
BOOST_AUTO_TEST_CASE(version_of_a_withdrawn_order_is_barred)
{
    auto versions = versions_with_order();
    apply_order(versions, std::nullopt);
    BOOST_TEST((allows_version(versions, "2") == version_use::barred));
    BOOST_TEST((allows_version(versions, "1") == version_use::allowed));
    apply_order(versions, order_of("2", 30));
    BOOST_TEST((allows_version(versions, "2") == version_use::new_version));
}

// Guards against adopting the state of the former order for its successor.
BOOST_AUTO_TEST_CASE(status_of_a_replaced_order_does_not_count)
{
    auto versions = versions_with_order();
    apply_status(versions, status_of("2", rollout_state::rolled_back, 10, 20));
    apply_order(versions, order_of("2", 30));
    BOOST_TEST((allows_version(versions, "2") == version_use::new_version));
    apply_order(versions, order_of("3", 40));
    BOOST_TEST((allows_version(versions, "2") == version_use::barred));
    BOOST_TEST((allows_version(versions, "3") == version_use::new_version));
    // A status without its order's revision belongs to the order before it.
    versions = versions_with_order();
    apply_status(versions, status_of("2", rollout_state::rolled_back, 0, 9));
    BOOST_TEST((allows_version(versions, "2") == version_use::new_version));
    apply_status(versions, status_of("2", rollout_state::rolled_back, 0, 12));
    BOOST_TEST((allows_version(versions, "2") == version_use::barred));
}

// Guards against a status that is read before its order.
BOOST_AUTO_TEST_CASE(status_known_before_the_order_is_followed)
{
    service_versions versions;
    note_version(versions, "1", 5, true, start);
    note_version(versions, "2", 11, true, start);
    apply_status(versions, status_of("2", rollout_state::running, 10, 20));
    BOOST_TEST((allows_version(versions, "2") == version_use::barred));
    apply_order(versions, order_of("2", 10));
    BOOST_TEST((allows_version(versions, "2") == version_use::new_version));
    apply_status(versions, status_of("2", rollout_state::rolled_back, 10, 21));
    apply_order(versions, std::nullopt);
    BOOST_TEST((allows_version(versions, "2") == version_use::barred));
    // The order that succeeded is newer than the one known here.
    apply_order(versions, order_of("3", 30));
    apply_status(versions, status_of("4", rollout_state::succeeded, 40, 41));
    BOOST_TEST((allows_version(versions, "4") == version_use::allowed));
    BOOST_TEST((allows_version(versions, "1") == version_use::barred));
    BOOST_TEST((allows_version(versions, "3") == version_use::barred));
}

// Guards against a request at a server that appears before its order is read.
BOOST_AUTO_TEST_CASE(unfamiliar_version_is_held)
{
    service_versions versions;
    note_version(versions, "1", 5, true, start);
    note_version(versions, "2", 11, false, start);
    BOOST_TEST((allows_version(versions, "2") == version_use::held));
    release_held_versions(versions, 10, start + 1s);
    BOOST_TEST((allows_version(versions, "2") == version_use::held));
    auto late = versions;
    apply_order(late, order_of("2", 10));
    BOOST_TEST((allows_version(late, "2") == version_use::new_version));
    auto known = versions;
    release_held_versions(known, 11, start + 1s);
    BOOST_TEST((allows_version(known, "2") == version_use::allowed));
    release_held_versions(versions, 10, start + 2s);
    BOOST_TEST((allows_version(versions, "2") == version_use::allowed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(rollout_evidence_books)

// Guards against counts that a lost or late heartbeat, or a restart, loses or
// doubles.
BOOST_AUTO_TEST_CASE(counts_add_up_over_routers_and_domains)
{
    rollout_evidence_book book;
    record_event(book, {1, true}, rollout_event::sent);
    auto const counts = [](std::uint32_t sent) {
        return std::vector<version_counts>{{1, true, sent}};
    };
    apply_evidence(book, {"a"}, heartbeat_of("r2", "a", 1), counts(5), start);
    apply_evidence(book, {"a"}, heartbeat_of("r2", "a", 1), counts(3), start);
    BOOST_TEST(total_of(fleet_evidence(book), true).sent == 6U);
    // The router restarts and counts anew.
    apply_evidence(book, {"a"}, heartbeat_of("r2", "a", 2), counts(2), start);
    BOOST_TEST(total_of(fleet_evidence(book), true).sent == 8U);
    // Two routers of another domain know different parts of its sum.
    apply_evidence(book, {"a"}, heartbeat_of("r8", "b", 1), counts(40), start);
    apply_evidence(book, {"a"}, heartbeat_of("r9", "b", 1), counts(30), start);
    BOOST_TEST(total_of(fleet_evidence(book), true).sent == 48U);
    BOOST_TEST(total_of(domain_evidence(book), true).sent == 8U);
}

// Guards against memory that a peer with many route names can fill.
BOOST_AUTO_TEST_CASE(number_of_routes_is_bounded)
{
    rollout_evidence_book book;
    for (std::uint64_t route = 1; route <= 1000; ++route)
        record_event(book, {route, false}, rollout_event::sent);
    BOOST_TEST(book.own.size() <= 2 * book.options.max_routes + 1);
    BOOST_TEST(total_of(book.own, false).sent == 1000U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(rollout_verdicts)

// Guards against a tail that is computed wrongly for many answers.
BOOST_AUTO_TEST_CASE(probability_is_that_of_the_binomial_tail)
{
    BOOST_TEST(probability_of_at_least(3, 3, 0.5) == 0.125,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(probability_of_at_least(2, 3, 0.1) == 0.028,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(probability_of_at_least(0, 5, 0.1) == 1.0);
    BOOST_TEST(probability_of_at_least(900, 3000, 0.1) < 1e-100);
}

// Guards against rolling back a good version of a service that often fails.
BOOST_AUTO_TEST_CASE(equal_failures_at_both_versions_are_not_bad)
{
    BOOST_TEST(!is_bad(make_counts({.answered = 860, .failed = 140},
                                   {.answered = 86, .failed = 14}),
                       verdict_urgency::last));
    BOOST_TEST(!is_bad(make_counts({.answered = 860, .failed = 140},
                                   {.answered = 82, .failed = 18}),
                       verdict_urgency::last));
    BOOST_TEST(!is_bad(make_counts({.answered = 1000}, {.failed = 3})));
}

// Guards against missing a bad version.
BOOST_AUTO_TEST_CASE(more_failures_or_slow_answers_are_bad)
{
    BOOST_TEST(is_bad(
        make_counts({.answered = 1000}, {.answered = 20, .failed = 10})));
    BOOST_TEST(is_bad(make_counts({.answered = 1000, .slow = 20, .timed = 1000},
                                  {.answered = 40, .slow = 20, .timed = 40})));
    BOOST_TEST(is_bad(make_counts({.answered = 860, .failed = 140},
                                  {.answered = 60, .failed = 40}),
                      verdict_urgency::last));
}

// Guards against accepting a version that answers nothing.
BOOST_AUTO_TEST_CASE(silent_version_is_bad_at_the_deadline)
{
    auto const silent = make_counts({.answered = 100}, {.sent = 10});
    BOOST_TEST(!is_bad(silent));
    BOOST_TEST(is_bad(silent, verdict_urgency::last));
}

// Guards against concluding from the first answers of an unknown old version.
BOOST_AUTO_TEST_CASE(nothing_is_concluded_without_answers_of_the_old_version)
{
    BOOST_TEST(!is_bad(make_counts({}, {.answered = 5, .failed = 5})));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(rollout_plans)

// Guards against shares that add up to more than the limit, whatever the
// number of routers and whatever they know of each other.
BOOST_AUTO_TEST_CASE(allowances_of_all_routers_stay_within_the_limit)
{
    rollout_plan_options const options;
    for (std::size_t const size : {1U, 8U, 80U, 300U, 1000U})
    {
        auto const routers = make_routers(size);
        for (std::uint64_t const own : {0U, 1U, 7U, 90U})
        {
            std::uint64_t allowed = 0;
            for (std::size_t i = 0; i < size; ++i)
                allowed += canary_allowance(
                    own, 12s, 12s, static_cast<double>(size),
                    rounding_position(routers[i], without(routers, i)),
                    options);
            BOOST_TEST(static_cast<double>(allowed) <=
                       0.1 * static_cast<double>(own * size) + 50);
        }
    }
}

// Guards against a last step that begins too early for the limit, or on the
// figures of the first moment.
BOOST_AUTO_TEST_CASE(last_step_is_as_long_as_the_limit_allows)
{
    rollout_plan_options const options;
    auto const full = affordable_full_time(
        {.all = 6000, .new_version = 150, .per_second = 600}, 12s, options);
    double const seconds = std::chrono::duration<double>{full}.count();
    BOOST_TEST(150 + 600 * seconds <= 0.1 * (6000 + 600 * seconds) + 50);
    BOOST_TEST(seconds > 0.5);
    BOOST_TEST(to_ms(affordable_full_time({}, 12s, options)) <= 4000);
}

// Guards against several routers that are responsible, or none.
BOOST_AUTO_TEST_CASE(each_router_has_its_own_rank)
{
    auto const routers = make_routers(20);
    std::set<std::size_t> ranks;
    for (std::size_t i = 0; i < routers.size(); ++i)
        ranks.insert(writer_rank(routers[i], without(routers, i), {"chat"}, 7));
    BOOST_TEST(ranks.size() == routers.size());
}

// Guards against new servers that a canary never reaches.
BOOST_AUTO_TEST_CASE(canary_reaches_all_servers_in_turn)
{
    std::set<std::uint64_t> reached;
    for (duration since{}; since < 20s; since += 1s)
    {
        auto const used = canary_servers({1, 2, 3, 4, 5}, 9, 0.03, since);
        BOOST_TEST(used.size() == 1U);
        reached.insert(used.begin(), used.end());
    }
    BOOST_TEST(reached.size() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(rollouts)

// Guards against a router that learns of the order late and decides late.
BOOST_AUTO_TEST_CASE(router_that_starts_learns_the_age_of_the_order)
{
    auto state = make_rollout({}, order_of("2", 10), {"r1"}, {{"r2"}}, start);
    apply_evidence(state, {"a"}, heartbeat_of("r2", "a", 1),
                   {.order = 10, .age_ms = 8000}, start);
    BOOST_TEST((state.started_at == start - 8s));
    apply_evidence(state, {"a"}, heartbeat_of("r2", "a", 1),
                   {.order = 9, .age_ms = 11000}, start);
    BOOST_TEST((state.started_at == start - 8s));
}

// Guards against two final states: the stored one replaces the own decision.
BOOST_AUTO_TEST_CASE(stored_state_ends_the_own_decision)
{
    auto state = make_rollout({}, order_of("2", 10), {"r1"}, {}, start);
    auto const at = start + 11s;
    auto const decided = check(state, {.new_servers = 0}, at);
    BOOST_TEST((decided.write == rollout_state::rolled_back));
    apply_stored_state(state, rollout_state::succeeded, at);
    BOOST_TEST(!check(state, {.new_servers = 2}, at + 2s).write.has_value());
    BOOST_TEST(prefers_new_version(state, 1, false, 0.5, at + 9s));
    apply_stored_state(state, rollout_state::rolled_back, at);
    BOOST_TEST((state.stored == rollout_state::succeeded));
}

// Guards against a write that is lost with its answer: it is repeated until the
// stored state is known.
BOOST_AUTO_TEST_CASE(decision_is_written_until_the_stored_state_is_known)
{
    auto state = make_rollout({}, order_of("2", 10), {"r1"}, {}, start);
    int writes = 0;
    for (auto at = start + 11s; at < start + 15s; at += 250ms)
        writes += check(state, {.new_servers = 0}, at).write ? 1 : 0;
    BOOST_TEST(writes == 4);
    apply_stored_state(state, rollout_state::rolled_back, start + 15s);
    BOOST_TEST(!check(state, {.new_servers = 0}, start + 20s).write);
}

BOOST_AUTO_TEST_SUITE_END()

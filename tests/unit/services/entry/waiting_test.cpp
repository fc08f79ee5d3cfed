/// Tests of requests that wait while their service is short of room.
#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::test;

namespace
{

entry_options ordered()
{
    return {.waiting = waiting_mode::ordered};
}

/// Two servers of 6 slots that other routers keep busy.
struct waiting_fixture : two_server_fixture
{
    explicit waiting_fixture(entry_options options = ordered())
        : two_server_fixture(std::move(options))
    {
        distinct_targets = true;
    }

    void report_loads(std::uint32_t each)
    {
        send(entry,
             peer_heartbeat_received{
                 {.from = {"r2"},
                  .domain = {"a"},
                  .loads = {{name_hash("s1"), each}, {name_hash("s2"), each}},
                  .service_demands = {{.service = name_hash("desk"),
                                       .in_flight = 30,
                                       .waiting = 200}}}});
        test_kernel.run_until_idle();
    }

    /// Submits requests until one waits; returns its index.
    std::size_t fill()
    {
        for (int i = 0; i < 40; ++i)
        {
            auto const sent = backend->sent.size();
            auto const index = submit(idempotent);
            if (backend->sent.size() == sent)
                return index;
        }
        BOOST_FAIL("no request waits");
        return 0;
    }

    bool was_sent(std::size_t index) const
    {
        return std::any_of(backend->sent.begin(), backend->sent.end(),
                           [index](dispatch const& d)
                           { return d.attempt.request == id_of(index); });
    }
};

struct off_fixture : waiting_fixture
{
    off_fixture() : waiting_fixture(entry_options{}) {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_waiting)

// Guards against a change of deployments that do not ask for queues.
BOOST_FIXTURE_TEST_CASE(without_the_setting_all_is_sent_at_once, off_fixture)
{
    report_loads(40);
    for (std::size_t i = 0; i < 30; ++i)
    {
        submit(idempotent);
        BOOST_TEST(backend->sent.size() == i + 1);
    }
    test_kernel.advance(300ms);
    auto const report = received<local_load_report>(*peers).back();
    BOOST_TEST(report.local_demands.empty());
    BOOST_TEST(report.domain_demands.empty());
}

// Guards against requests that wait in calm.
BOOST_FIXTURE_TEST_CASE(nothing_waits_while_slots_are_free, waiting_fixture)
{
    report_loads(2);
    for (std::size_t i = 0; i < 8; ++i)
    {
        submit(idempotent);
        BOOST_TEST(backend->sent.size() == i + 1);
    }
}

BOOST_FIXTURE_TEST_CASE(request_waits_until_an_attempt_ends, waiting_fixture)
{
    report_loads(8);
    auto const waiting = fill();
    BOOST_TEST(waiting >= 1U); // One in flight at least.
    answer_last_attempt(200, "ok");
    BOOST_TEST(was_sent(waiting));
}

BOOST_FIXTURE_TEST_CASE(request_waits_until_loads_of_others_fall,
                        waiting_fixture)
{
    report_loads(20);
    auto const waiting = fill();
    report_loads(0);
    test_kernel.advance(20ms);
    BOOST_TEST(was_sent(waiting));
}

BOOST_FIXTURE_TEST_CASE(most_urgent_goes_first, waiting_fixture)
{
    report_loads(20);
    auto const usual = fill();
    auto const less = submit(idempotent, 2, {.rank = 5});
    auto const urgent = submit(idempotent);
    answer_last_attempt(200, "ok");
    BOOST_TEST((was_sent(usual) || was_sent(urgent)));
    BOOST_TEST(!was_sent(less));
}

// Guards against a rejection that does not keep its promise.
BOOST_FIXTURE_TEST_CASE(waiting_request_is_rejected_as_not_run, waiting_fixture)
{
    report_loads(20);
    auto const waiting = fill();
    for (int i = 0; i < 21 && !callers[waiting]->error; ++i)
    {
        test_kernel.advance(100ms);
        report_loads(20);
    }
    BOOST_REQUIRE(callers[waiting]->error);
    auto const& error = *callers[waiting]->error;
    BOOST_TEST((error.known == outcome::not_run));
    BOOST_TEST((error.cause.kind == error_kind::queue_full));
    BOOST_TEST((error.retry_after > 0ms));
    BOOST_TEST(!was_sent(waiting));
}

BOOST_FIXTURE_TEST_CASE(caller_that_leaves_is_not_sent, waiting_fixture)
{
    report_loads(20);
    auto const waiting = fill();
    send(entry, cancel_request{id_of(waiting)});
    test_kernel.run_until_idle();
    answer_last_attempt(200, "ok");
    report_loads(0);
    test_kernel.advance(50ms);
    BOOST_TEST(!was_sent(waiting));
}

BOOST_FIXTURE_TEST_CASE(stop_rejects_what_waits, waiting_fixture)
{
    report_loads(20);
    auto const waiting = fill();
    send(entry, drain_started{});
    test_kernel.run_until_idle();
    BOOST_REQUIRE(callers[waiting]->error);
    BOOST_TEST((callers[waiting]->error->known == outcome::not_run));
}

BOOST_FIXTURE_TEST_CASE(demand_is_reported, waiting_fixture)
{
    report_loads(20);
    fill();
    test_kernel.advance(300ms);
    auto const report = received<local_load_report>(*peers).back();
    BOOST_REQUIRE(report.local_demands.size() == 1U);
    BOOST_TEST(report.local_demands[0].in_flight >= 1U);
    BOOST_TEST(report.local_demands[0].arrivals_per_10_s >= 2U);
    BOOST_REQUIRE(report.domain_demands.size() == 1U);
    BOOST_TEST(report.domain_demands[0].waiting >= 200U);
}

// Guards against requests that wait past their objective while servers could
// take them.
BOOST_FIXTURE_TEST_CASE(request_without_slack_is_sent_if_servers_bear_it,
                        waiting_fixture)
{
    report_loads(7);
    auto const waiting = fill();
    test_kernel.advance(80ms);
    BOOST_TEST(!was_sent(waiting));
    test_kernel.advance(20ms);
    BOOST_TEST(was_sent(waiting));
}

// Guards against memory that grows with the requests that wait.
BOOST_FIXTURE_TEST_CASE(queue_is_bounded, waiting_fixture)
{
    report_loads(20);
    fill();
    for (int i = 0; i < 400; ++i)
        submit(idempotent);
    auto const rejected =
        std::count_if(callers.begin(), callers.end(),
                      [](auto const& c) { return c->error.has_value(); });
    BOOST_TEST(rejected >= 300);
}

BOOST_AUTO_TEST_SUITE_END()

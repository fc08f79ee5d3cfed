/// Tests of the loads that the entry service reports and takes into account.
#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace bramleyarch;
using namespace bramleyarch::test;

BOOST_FIXTURE_TEST_SUITE(entry, two_server_fixture)

BOOST_AUTO_TEST_CASE(prompt_that_overflows_is_copied_from_its_preferred_server)
{
    request_terms const terms{.streaming = true,
                              .prompt = {{5, 9000}, {6, 300}}};
    submit(idempotent, 2, terms);
    auto const preferred = backend->sent.back().server;
    BOOST_TEST(find_header(backend->sent.back().headers, "copy").empty());
    // The preferred server is above its load bound, so that the next request
    // overflows to another one.
    send(entry, peer_heartbeat_received{
                    {.from = {"r2"},
                     .domain = {"a"},
                     .loads = {{name_hash(preferred.value), 60}}}});
    test_kernel.run_until_idle();
    submit(idempotent, 2, terms);
    BOOST_REQUIRE((backend->sent.back().server != preferred));
    BOOST_TEST(!find_header(backend->sent.back().headers, "copy").empty());
}

BOOST_AUTO_TEST_CASE(reported_domain_load_is_the_sum_of_its_routers)
{
    submit(idempotent);
    send(entry, peer_heartbeat_received{{.from = {"r2"},
                                         .domain = {"a"},
                                         .loads = {{name_hash("s1"), 6}}}});
    send(entry, peer_heartbeat_received{{.from = {"r9"},
                                         .domain = {"b"},
                                         .loads = {{name_hash("s1"), 50}}}});
    test_kernel.advance(300ms);
    auto const last_report = received<local_load_report>(*peers).back();
    std::uint32_t local = 0;
    for (auto const& load : last_report.local)
        local += load.in_flight;
    std::uint32_t domain = 0;
    for (auto const& load : last_report.domain)
        domain += load.in_flight;
    BOOST_TEST(local == 1U);
    BOOST_TEST(domain == 7U);
}

BOOST_AUTO_TEST_CASE(remote_loads_affect_the_choice_of_server)
{
    send(entry, peer_heartbeat_received{{.from = {"r2"},
                                         .domain = {"a"},
                                         .loads = {{name_hash("s1"), 6}}}});
    test_kernel.run_until_idle();
    submit(idempotent);
    BOOST_TEST(backend->sent.back().server.value == "s2");
    answer_last_attempt(200, "ok");
    test_kernel.advance(2s);
    std::set<server_id> used;
    for (int i = 0; i < 40; ++i)
    {
        submit(idempotent);
        used.insert(backend->sent.back().server);
        answer_last_attempt(200, "ok");
    }
    BOOST_TEST(used.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of the servers that the entry service sends requests to: which are
/// left out, and when they return.
#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace bramleyarch;
using namespace bramleyarch::test;

BOOST_FIXTURE_TEST_SUITE(entry, two_server_fixture)

BOOST_AUTO_TEST_CASE(misdirected_server_gets_no_more_requests)
{
    submit(non_idempotent, 1);
    auto const misdirected = backend->sent.back().server;
    answer_last_attempt(421, "", {{"answer-kind", "misdirected"}});
    BOOST_TEST(backend->sent.size() == 2U);
    answer_last_attempt(200, "ok");
    for (int i = 0; i < 20; ++i)
    {
        submit(idempotent);
        BOOST_TEST((backend->sent.back().server != misdirected));
        answer_last_attempt(200, "ok");
    }
}

/// Requests to servers of a domain that is cut off hang. A server that is not
/// ejected would lose each further request as well.
BOOST_AUTO_TEST_CASE(unreachable_server_is_ejected_for_all_requests)
{
    submit(non_idempotent, 1);
    auto const unreachable = backend->sent.back().server;
    deliver(backend_send_started{backend->sent.back().attempt});
    test_kernel.advance(200ms);
    BOOST_REQUIRE(backend->probed.size() == 1U);
    BOOST_TEST((backend->probed[0] == unreachable));
    deliver(server_probed{.server = unreachable, .reachable = false});
    BOOST_TEST(backend->aborted.empty());
    for (int i = 0; i < 10; ++i)
    {
        submit(non_idempotent, 1);
        BOOST_TEST((backend->sent.back().server != unreachable));
        answer_last_attempt(200, "ok");
    }
}

// Guards against an instance that leaves out all servers while it has no
// descriptor for a connection.
BOOST_AUTO_TEST_CASE(attempt_without_a_connection_of_our_own_ejects_no_server)
{
    submit(non_idempotent, 2);
    auto const id = backend->sent.back().attempt;
    auto const server = backend->sent.back().server;
    deliver(backend_failed{.attempt = id,
                           .cause = {error_kind::too_many_connections, "full"},
                           .sent = false});
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST((backend->sent.back().server != server));
    answer_last_attempt(200, "ok");
    // Servers that were left out are probed.
    test_kernel.advance(5s);
    BOOST_TEST(backend->probed.empty());
}

BOOST_AUTO_TEST_CASE(busy_server_is_not_probed)
{
    deployment.servers.erase({"s2"});
    publish_deployment();
    submit(non_idempotent, 1, {.streaming = true});
    auto const streaming = backend->sent.back().attempt;
    deliver(backend_send_started{streaming});
    deliver(backend_head{streaming, 200, {}});
    submit(idempotent, 2);
    deliver(backend_send_started{backend->sent.back().attempt});
    for (int i = 0; i < 8; ++i)
    {
        deliver(backend_chunk{streaming, "id: 1\n\n"});
        test_kernel.advance(25ms);
    }
    BOOST_TEST(backend->probed.empty());
    BOOST_TEST(backend->aborted.empty());
}

BOOST_AUTO_TEST_CASE(reachable_server_keeps_its_slow_request)
{
    submit(idempotent, 2);
    deliver(backend_send_started{backend->sent.back().attempt});
    test_kernel.advance(200ms);
    BOOST_REQUIRE(backend->probed.size() == 1U);
    deliver(server_probed{.server = backend->probed[0], .reachable = true});
    BOOST_TEST(backend->aborted.empty());
    answer_last_attempt(200, "ok");
    BOOST_TEST(last_caller().ended);
}

BOOST_AUTO_TEST_CASE(leaving_servers_and_domains_taken_out_get_no_requests)
{
    add_server("s3", "b");
    deployment.servers[{"s1"}].leaving = true;
    deployment.servers[{"s1"}].changed = ++last_change;
    deployment.taken_out.insert({"b"});
    publish_deployment();
    for (int i = 0; i < 10; ++i)
    {
        submit(idempotent);
        BOOST_TEST(backend->sent.back().server.value == "s2");
        answer_last_attempt(200, "ok");
    }
}

BOOST_AUTO_TEST_CASE(cold_server_is_used_within_its_rate)
{
    deployment.servers.clear();
    add_server("c1", "a", 10s);
    publish_deployment();
    for (int i = 0; i < 200; ++i)
    {
        submit(non_idempotent, 1);
        if (!last_caller().error)
            answer_last_attempt(200, "ok");
        test_kernel.advance(10ms);
    }
    // All routers together may send 20 requests a second: 1.5 times the cold
    // rate of 10, plus 5. This router must stay below a third of that over two
    // seconds. It sends at half that rate, less one a second, since routers
    // with different views of the fleet may name twice as many senders.
    BOOST_TEST(backend->sent.size() > 2U);
    BOOST_TEST(backend->sent.size() <= 2U * 20U / 3U);
}

BOOST_AUTO_TEST_CASE(failed_server_is_ejected_until_a_probe_reaches_it)
{
    submit(non_idempotent, 1);
    auto const failed = backend->sent.back().server;
    crash_server_of_last_attempt();
    for (int i = 0; i < 5; ++i)
    {
        for (int j = 0; j < 4; ++j)
        {
            submit(idempotent);
            BOOST_TEST((backend->sent.back().server != failed));
            answer_last_attempt(200, "ok");
        }
        auto const probes_before = backend->probed.size();
        test_kernel.advance(3s);
        BOOST_REQUIRE(backend->probed.size() > probes_before);
        deliver(server_probed{.server = failed, .reachable = false});
    }
    deliver(server_probed{.server = failed, .reachable = true});
    std::set<server_id> used;
    for (int i = 0; i < 40; ++i)
    {
        submit(idempotent);
        used.insert(backend->sent.back().server);
        answer_last_attempt(200, "ok");
    }
    BOOST_TEST(used.size() == 2U);
}

/// A network fault can reset all connections to a server at once. That is one
/// failure of the server, whatever number of requests it had in flight; counted
/// one by one, they would eject the server for the longest time.
BOOST_AUTO_TEST_CASE(simultaneous_failures_count_as_one)
{
    deployment.servers.erase({"s2"});
    publish_deployment();
    std::vector<attempt_id> in_flight;
    for (int i = 0; i < 6; ++i)
    {
        submit(non_idempotent, 1);
        in_flight.push_back(backend->sent.back().attempt);
        deliver(backend_send_started{in_flight.back()});
    }
    for (auto const& id : in_flight)
        deliver(backend_failed{.attempt = id,
                               .cause = {error_kind::server_closed, "reset"}});
    // One probe shows whether the server has crashed. It has not, but stays
    // left out until its time has passed and another probe reaches it.
    BOOST_TEST(backend->probed.size() == 1U);
    deliver(server_probed{.server = {"s1"}, .reachable = true});
    test_kernel.advance(300ms);
    BOOST_TEST(backend->probed.size() == 1U);
    test_kernel.advance(300ms);
    BOOST_TEST(backend->probed.size() == 2U);
}

BOOST_AUTO_TEST_CASE(closed_kept_connection_does_not_eject_the_server)
{
    submit(idempotent, 2);
    auto const server = backend->sent.back().server;
    fail_last_attempt(true, true);
    answer_last_attempt(200, "ok");
    std::set<server_id> used;
    for (int i = 0; i < 40; ++i)
    {
        submit(idempotent);
        used.insert(backend->sent.back().server);
        answer_last_attempt(200, "ok");
    }
    BOOST_TEST(used.contains(server));
}

// Guards against requests to a server that is about to exit, while the store
// does not say so yet.
BOOST_AUTO_TEST_CASE(server_that_announces_its_leaving_gets_no_more_requests)
{
    submit(idempotent);
    auto const leaving = backend->sent.back().server;
    answer_last_attempt(200, "ok", {{"leaving", "1"}});
    BOOST_TEST(last_caller().ended);
    for (int i = 0; i < 20; ++i)
    {
        submit(idempotent);
        BOOST_TEST((backend->sent.back().server != leaving));
        answer_last_attempt(200, "ok");
    }
    // An entry that is rewritten changes nothing, a new start does.
    deployment.servers[leaving].changed = ++last_change;
    publish_deployment();
    submit(idempotent);
    BOOST_TEST((backend->sent.back().server != leaving));
    answer_last_attempt(200, "ok");
    // Nor does an entry that expires and returns while the store is away.
    auto const entry_of_leaving = deployment.servers[leaving];
    deployment.servers.erase(leaving);
    publish_deployment();
    deployment.servers[leaving] = entry_of_leaving;
    publish_deployment();
    for (int i = 0; i < 20; ++i)
    {
        submit(idempotent);
        BOOST_TEST((backend->sent.back().server != leaving));
        answer_last_attempt(200, "ok");
    }
    deployment.servers[leaving].born = 2;
    publish_deployment();
    std::set<server_id> used;
    for (int i = 0; i < 40; ++i)
    {
        submit(idempotent);
        used.insert(backend->sent.back().server);
        answer_last_attempt(200, "ok");
    }
    BOOST_TEST(used.contains(leaving));
}

// Guards against requests that a server has asked not to be sent.
BOOST_AUTO_TEST_CASE(server_that_wants_a_pause_gets_none_meanwhile)
{
    std::vector<header_field> const refusal{{"answer-kind", "not_executed"},
                                            {"pause", "1"}};
    submit(non_idempotent, 2);
    answer_last_attempt(503, "", refusal);
    answer_last_attempt(503, "", refusal);
    BOOST_REQUIRE(last_caller().error);
    // What no server can run is refused at once, until one wants it again.
    auto const sent = backend->sent.size();
    submit(non_idempotent, 2);
    BOOST_TEST(backend->sent.size() == sent);
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->known == outcome::not_run));
    BOOST_TEST((last_caller().error->retry_after >= 2s));
    BOOST_TEST((last_caller().error->retry_after < 3s));
    test_kernel.advance(2s);
    submit(non_idempotent, 2);
    BOOST_TEST(backend->sent.size() == sent + 1);
}

BOOST_AUTO_TEST_SUITE_END()

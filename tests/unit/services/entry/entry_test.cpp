/// Tests of the entry service: routing in fleets whose routers admit requests
/// themselves.
#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace bramleyarch;
using namespace bramleyarch::test;

namespace
{

constexpr auto idempotent = request_kind::idempotent;
constexpr auto non_idempotent = request_kind::non_idempotent;

struct two_server_fixture : entry_fixture
{
    two_server_fixture()
    {
        add_server("s1");
        add_server("s2");
        publish_deployment();
    }

    caller& last_caller()
    {
        return *callers.back();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry, two_server_fixture)

BOOST_AUTO_TEST_CASE(complete_answer_is_forwarded)
{
    submit(idempotent);
    answer_last_attempt(200, "booked", {{"x", "y"}});
    BOOST_REQUIRE(last_caller().head);
    BOOST_TEST(last_caller().head->status == 200);
    BOOST_TEST(last_caller().body == "booked");
    BOOST_TEST(last_caller().ended);
}

BOOST_AUTO_TEST_CASE(request_without_rules_is_refused_as_not_run)
{
    entry_fixture without_rules;
    without_rules.submit(idempotent);
    auto const& error = without_rules.callers.back()->error;
    BOOST_REQUIRE(error);
    BOOST_TEST((error->known == outcome::not_run));
    BOOST_TEST((error->retry_after > 0ms));
}

BOOST_AUTO_TEST_CASE(not_executed_request_is_retried_at_another_server)
{
    submit(non_idempotent, 2);
    auto const first = backend->sent.back().server;
    answer_last_attempt(503, "", {{"answer-kind", "not_executed"}});
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST((backend->sent.back().server != first));
    answer_last_attempt(200, "ok");
    BOOST_TEST(last_caller().ended);
}

BOOST_AUTO_TEST_CASE(not_run_is_reported_only_if_no_server_ran_the_request)
{
    submit(non_idempotent, 1);
    answer_last_attempt(503, "", {{"answer-kind", "not_executed"}});
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->known == outcome::not_run));
    BOOST_TEST((last_caller().error->retry_after > 0ms));

    submit(non_idempotent, 1);
    fail_last_attempt(true);
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->known == outcome::unknown));
    BOOST_TEST((last_caller().error->retry_after == 0ms));
}

BOOST_AUTO_TEST_CASE(
    outcome_is_unknown_if_an_attempt_is_in_flight_at_the_deadline)
{
    submit(non_idempotent);
    test_kernel.advance(3s);
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->known == outcome::unknown));
    BOOST_TEST(backend->aborted.size() == 1U);
}

BOOST_AUTO_TEST_CASE(non_idempotent_request_is_not_retried)
{
    submit(non_idempotent, 3);
    fail_last_attempt(true);
    BOOST_TEST(backend->sent.size() == 1U);
    BOOST_TEST(last_caller().error.has_value());
}

BOOST_AUTO_TEST_CASE(unsent_request_is_retried_at_another_server)
{
    submit(non_idempotent, 1);
    fail_last_attempt(false);
    BOOST_REQUIRE(backend->sent.size() == 2U);
    answer_last_attempt(200, "ok");
    BOOST_TEST(last_caller().ended);
}

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

BOOST_AUTO_TEST_CASE(foreign_answer_is_not_forwarded)
{
    submit(non_idempotent, 1);
    answer_last_attempt(200, "not yours", {{"answer-kind", "foreign"}});
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->known == outcome::unknown));
    BOOST_TEST(last_caller().body.empty());
}

BOOST_AUTO_TEST_CASE(truncated_answer_to_an_idempotent_request_is_replaced)
{
    submit(idempotent);
    auto const id = backend->sent.back().attempt;
    deliver(backend_send_started{id});
    deliver(backend_head{id, 200, {}});
    deliver(backend_chunk{id, "half"});
    deliver(backend_failed{.attempt = id,
                           .cause = {error_kind::server_closed, "reset"}});
    BOOST_TEST(!last_caller().head.has_value());
    answer_last_attempt(200, "whole");
    BOOST_TEST(last_caller().body == "whole");
}

BOOST_AUTO_TEST_CASE(server_error_is_retried_then_forwarded)
{
    submit(idempotent, 2);
    answer_last_attempt(500, "broken");
    BOOST_REQUIRE(backend->sent.size() == 2U);
    answer_last_attempt(500, "also broken");
    BOOST_TEST(last_caller().head->status == 500);
    BOOST_TEST(last_caller().body == "also broken");
    submit(non_idempotent, 2);
    answer_last_attempt(500, "ran");
    BOOST_TEST(last_caller().head->status == 500);
    BOOST_TEST(backend->sent.size() == 3U);
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

BOOST_AUTO_TEST_CASE(stream_is_resumed_elsewhere_if_its_server_is_unreachable)
{
    submit(idempotent, 2, {.streaming = true, .resumable = true});
    auto const stream = backend->sent.back();
    deliver(backend_send_started{stream.attempt});
    deliver(backend_head{stream.attempt, 200, {}});
    deliver(backend_chunk{stream.attempt, "id: 1\ndata: a\n\n"});
    test_kernel.advance(600ms);
    BOOST_REQUIRE(!backend->probed.empty());
    deliver(server_probed{.server = stream.server, .reachable = false});
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST((backend->sent.back().server != stream.server));
    BOOST_TEST(find_header(backend->sent.back().headers, "resume") == "1");
}

BOOST_AUTO_TEST_CASE(server_error_is_forwarded_if_there_is_no_other_server)
{
    deployment.servers.erase({"s2"});
    publish_deployment();
    submit(idempotent, 2);
    answer_last_attempt(500, "the server's own");
    BOOST_REQUIRE(last_caller().head.has_value());
    BOOST_TEST(last_caller().head->status == 500);
    BOOST_TEST(last_caller().body == "the server's own");
}

BOOST_AUTO_TEST_CASE(
    only_idempotent_requests_are_retried_after_the_first_byte_timeout)
{
    submit(idempotent, 2);
    deliver(backend_send_started{backend->sent.back().attempt});
    test_kernel.advance(600ms);
    BOOST_TEST(backend->aborted.size() == 1U);
    BOOST_TEST(backend->sent.size() == 2U);
    submit(non_idempotent, 2);
    deliver(backend_send_started{backend->sent.back().attempt});
    test_kernel.advance(600ms);
    BOOST_TEST(backend->sent.size() == 3U);
}

BOOST_AUTO_TEST_CASE(resumed_stream_has_no_gap_and_no_repeat)
{
    submit(idempotent, 2, {.streaming = true, .resumable = true});
    auto const id = backend->sent.back().attempt;
    deliver(backend_send_started{id});
    deliver(backend_head{id, 200, {}});
    deliver(backend_chunk{id, "id: 1\ndata: a\n\nid: 2\nda"});
    BOOST_TEST(last_caller().body == "id: 1\ndata: a\n\n");
    deliver(backend_failed{.attempt = id,
                           .cause = {error_kind::server_closed, "reset"}});
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST(find_header(backend->sent.back().headers, "resume") == "1");
    answer_last_attempt(200, "id: 2\ndata: b\n\n");
    BOOST_TEST(last_caller().body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(last_caller().ended);
}

BOOST_AUTO_TEST_CASE(non_resumable_stream_fails_with_its_server)
{
    submit(non_idempotent, 2, {.streaming = true});
    auto const id = backend->sent.back().attempt;
    deliver(backend_send_started{id});
    deliver(backend_head{id, 200, {}});
    deliver(backend_chunk{id, "id: 1\n\n"});
    deliver(backend_failed{.attempt = id,
                           .cause = {error_kind::server_closed, "reset"}});
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->known == outcome::failed));
    BOOST_TEST(backend->sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(cancelled_request_is_aborted_at_its_server)
{
    auto const index = submit(non_idempotent);
    deliver(backend_send_started{backend->sent.back().attempt});
    send(entry, cancel_request{id_of(index)});
    test_kernel.run_until_idle();
    BOOST_TEST(backend->aborted.size() == 1U);
    answer_last_attempt(200, "late");
    BOOST_TEST(last_caller().body.empty());
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

BOOST_AUTO_TEST_CASE(request_is_refused_at_once_if_there_is_no_server)
{
    deployment.servers.clear();
    publish_deployment();
    submit(idempotent);
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->known == outcome::not_run));
    BOOST_TEST((last_caller().error->retry_after > 0ms));
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
    fail_last_attempt(true);
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
    BOOST_TEST(backend->probed.empty());
    test_kernel.advance(600ms);
    BOOST_TEST(backend->probed.size() == 1U);
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

BOOST_AUTO_TEST_CASE(retry_does_not_reuse_a_connection)
{
    submit(idempotent, 2);
    BOOST_TEST(backend->sent.back().may_reuse);
    fail_last_attempt(true);
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST(!backend->sent.back().may_reuse);
}

BOOST_AUTO_TEST_CASE(retries_stop_when_the_budget_share_is_used_up)
{
    for (int i = 0; i < 200; ++i)
    {
        submit(idempotent, 2);
        fail_last_attempt(true);
        if (!last_caller().error)
            fail_last_attempt(true);
    }
    auto const retries = backend->sent.size() - 200;
    BOOST_TEST(retries > 0U);
    BOOST_TEST(retries <= 0.2 * 200 + 50);
}

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

// Guards against a prompt part that crashes one server after the other: the
// requests with it have no body in common.
BOOST_AUTO_TEST_CASE(requests_with_a_part_that_crashes_servers_are_refused)
{
    request_terms const crashing{.streaming = true,
                                 .prompt = {{5, 900}, {6, 300}, {7, 20}}};
    request_terms const sound{.streaming = true, .prompt = {{5, 900}, {8, 20}}};
    distinct_targets = true;
    for (std::uint64_t born = 1; born <= 3; ++born)
    {
        // Each server starts again after its crash.
        for (auto& [id, server] : deployment.servers)
            server.born = born;
        publish_deployment();
        submit(non_idempotent, 1, crashing);
        BOOST_TEST(backend->sent.size() == born);
        fail_last_attempt(true);
        test_kernel.advance(1s);
    }
    BOOST_TEST(received<gossip_prompt_crash>(*peers).size() >= 3U);

    submit(non_idempotent, 1, crashing);
    BOOST_TEST(backend->sent.size() == 3U);
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->cause.kind == error_kind::quarantined));
    BOOST_TEST((last_caller().error->known == outcome::not_run));
    BOOST_TEST((last_caller().error->retry_after > 0s));

    submit(non_idempotent, 1, sound);
    BOOST_TEST(backend->sent.size() == 4U);
    answer_last_attempt(200, std::string(300, 'x') + "\n\n");
    BOOST_TEST(last_caller().ended);
}

// Guards against more crashes by requests that were sent before the part was
// known to crash servers.
BOOST_AUTO_TEST_CASE(unanswered_requests_with_a_crashing_part_are_ended)
{
    request_terms const crashing{.streaming = true,
                                 .prompt = {{6, 300}, {7, 20}}};
    submit(non_idempotent, 1, crashing);
    for (std::uint64_t server = 1; server <= 3; ++server)
    {
        BOOST_TEST(backend->aborted.empty());
        send(entry, peer_prompt_crash_received{{.server = server,
                                                .at = now(test_kernel.clock()),
                                                .parts = {6}}});
        test_kernel.advance(300ms);
    }
    BOOST_TEST(backend->aborted.size() == 1U);
    BOOST_REQUIRE(last_caller().error);
    // A server may have begun to run it.
    BOOST_TEST((last_caller().error->known == outcome::unknown));
}

// Guards against a process that ends because more parts are suspected than it
// keeps.
BOOST_AUTO_TEST_CASE(crash_of_more_parts_than_are_kept_is_handled)
{
    std::uint64_t part = 100;
    decisions::prompt_crash many{.server = 1, .at = now(test_kernel.clock())};
    while (many.parts.size() + 1 <
           decisions::crashing_parts_options{}.max_suspects)
        many.parts.push_back(++part);
    send(entry, peer_prompt_crash_received{many});
    test_kernel.run_until_idle();
    submit(non_idempotent, 1,
           {.streaming = true, .prompt = {{5, 9}, {6, 9}, {7, 9}}});
    fail_last_attempt(true);
    BOOST_TEST(last_caller().error.has_value());
}

BOOST_AUTO_TEST_CASE(server_that_crashes_during_an_answer_suspects_no_part)
{
    submit(non_idempotent, 1,
           {.streaming = true, .prompt = {{6, 300}, {7, 20}}});
    auto const id = backend->sent.back().attempt;
    deliver(backend_send_started{id});
    deliver(backend_head{id, 200, {}});
    deliver(backend_chunk{id, "data"});
    deliver(backend_failed{.attempt = id,
                           .cause = {error_kind::server_closed, "reset"},
                           .sent = true});
    BOOST_TEST(received<gossip_prompt_crash>(*peers).empty());
}

// A server's own error is no proof: it may be sent before the prompt is read.
BOOST_AUTO_TEST_CASE(error_of_a_server_clears_no_part)
{
    request_terms const crashing{.streaming = true,
                                 .prompt = {{6, 300}, {7, 20}}};
    for (std::uint64_t server = 1; server <= 3; ++server)
    {
        send(entry, peer_prompt_crash_received{{.server = server,
                                                .at = now(test_kernel.clock()),
                                                .parts = {6, 9}}});
        test_kernel.advance(1s);
    }
    submit(non_idempotent, 1, crashing);
    answer_last_attempt(504, std::string(300, 'x'));
    submit(non_idempotent, 1,
           {.streaming = true, .prompt = {{6, 300}, {9, 30}, {7, 20}}});
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->cause.kind == error_kind::quarantined));
}

// Guards against a crash that passes for an idle connection which the server
// had closed: it was never suspected, and the crashed server was tried again.
BOOST_AUTO_TEST_CASE(
    kept_connection_that_closes_late_is_a_failure_of_the_server)
{
    submit(idempotent, 2, {.streaming = true, .prompt = {{6, 300}, {7, 20}}});
    auto const server = backend->sent.back().server;
    test_kernel.advance(60ms);
    fail_last_attempt(true, true);
    BOOST_TEST(received<gossip_prompt_crash>(*peers).size() == 1U);
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST((backend->sent.back().server != server));
}

BOOST_AUTO_TEST_CASE(new_crash_of_a_part_is_forwarded_once)
{
    for (int i = 0; i < 3; ++i)
        send(entry,
             peer_prompt_crash_received{
                 {.server = 8, .at = now(test_kernel.clock()), .parts = {6}}});
    test_kernel.run_until_idle();
    BOOST_TEST(received<gossip_prompt_crash>(*peers).size() == 1U);
}

// Guards against cut answers that look whole: a stream without a length ends
// with its connection, also where its server broke off.
BOOST_AUTO_TEST_CASE(stream_that_ends_inside_an_event_fails)
{
    submit(non_idempotent, 1, {.streaming = true});
    answer_last_attempt(200, "id: 1\n\nid: 2\nda");
    BOOST_TEST(!last_caller().ended);
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->known == outcome::failed));
    submit(non_idempotent, 1, {.streaming = true});
    answer_last_attempt(200, "id: 1\n\nid: 2\n\n");
    BOOST_TEST(last_caller().ended);
    submit(non_idempotent, 1, {.streaming = true});
    answer_last_attempt(500, "no stream");
    BOOST_TEST(last_caller().ended);
}

BOOST_AUTO_TEST_CASE(resumable_stream_that_ends_inside_an_event_goes_on)
{
    submit(idempotent, 2, {.streaming = true, .resumable = true});
    answer_last_attempt(200, "id: 1\n\nid: 2\nda");
    BOOST_TEST(!last_caller().ended);
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST(find_header(backend->sent.back().headers, "resume") == "1");
    answer_last_attempt(200, "id: 2\ndata\n\n");
    BOOST_TEST(last_caller().ended);
    BOOST_TEST(last_caller().body == "id: 1\n\nid: 2\ndata\n\n");
}

// Guards against a server whose bytes have no end: they were collected for an
// event until the process was out of memory.
BOOST_AUTO_TEST_CASE(event_without_end_is_given_up)
{
    submit(idempotent, 2, {.streaming = true, .resumable = true});
    auto const id = backend->sent.back().attempt;
    deliver(backend_send_started{id});
    deliver(backend_head{id, 200, {}});
    deliver(backend_chunk{id, "id: 1\n\nid: 2"});
    for (int i = 0; i < 5 && backend->aborted.empty(); ++i)
        deliver(backend_chunk{id, std::string(64U << 10, 'x')});
    BOOST_REQUIRE(backend->aborted.size() == 1U);
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST(find_header(backend->sent.back().headers, "resume") == "1");
    answer_last_attempt(200, "id: 2\n\n");
    BOOST_TEST(last_caller().ended);
    BOOST_TEST(last_caller().body == "id: 1\n\nid: 2\n\n");
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

/// Forwarding makes a suspect reach routers that do not receive the heartbeats
/// of the router that reported it.
BOOST_AUTO_TEST_CASE(new_suspect_is_forwarded_once)
{
    for (int i = 0; i < 3; ++i)
        send(entry, peer_suspect_received{.fingerprint = 7, .server_hash = 8});
    test_kernel.run_until_idle();
    BOOST_TEST(received<gossip_suspect>(*peers).size() == 1U);
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

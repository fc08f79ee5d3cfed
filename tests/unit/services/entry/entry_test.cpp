/// Tests of routing where each router admits its own requests.
#include "bench.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace bramleyarch;
using namespace bramleyarch::test;

namespace
{

constexpr auto safe = request_kind::idempotent;
constexpr auto once = request_kind::non_idempotent;

struct two_servers : entry_bench
{
    two_servers()
    {
        add_server("s1");
        add_server("s2");
        publish();
    }

    caller& last()
    {
        return *callers.back();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry, two_servers)

BOOST_AUTO_TEST_CASE(an_answer_reaches_its_caller_whole)
{
    submit(safe);
    answer(200, "booked", {{"x", "y"}});
    BOOST_REQUIRE(last().head);
    BOOST_TEST(last().head->status == 200);
    BOOST_TEST(last().body == "booked");
    BOOST_TEST(last().ended);
}

BOOST_AUTO_TEST_CASE(without_rules_nothing_runs_and_the_caller_is_told)
{
    entry_bench empty;
    empty.submit(safe);
    auto const& error = empty.callers.back()->error;
    BOOST_REQUIRE(error);
    BOOST_TEST((error->known == outcome::not_run));
    BOOST_TEST((error->retry_after > 0ms));
}

BOOST_AUTO_TEST_CASE(what_a_server_did_not_run_goes_to_another)
{
    submit(once, 2);
    auto const first = backend->sent.back().server;
    answer(503, "", {{"standing", "not_executed"}});
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST((backend->sent.back().server != first));
    answer(200, "ok");
    BOOST_TEST(last().ended);
}

BOOST_AUTO_TEST_CASE(not_run_is_said_only_when_no_server_ran_it)
{
    submit(once, 1);
    answer(503, "", {{"standing", "not_executed"}});
    BOOST_REQUIRE(last().error);
    BOOST_TEST((last().error->known == outcome::not_run));
    BOOST_TEST((last().error->retry_after > 0ms));

    submit(once, 1);
    fail(true);
    BOOST_REQUIRE(last().error);
    BOOST_TEST((last().error->known == outcome::unknown));
    BOOST_TEST((last().error->retry_after == 0ms));
}

BOOST_AUTO_TEST_CASE(an_attempt_under_way_at_the_deadline_may_have_run)
{
    submit(once);
    k.advance(3s);
    BOOST_REQUIRE(last().error);
    BOOST_TEST((last().error->known == outcome::unknown));
    BOOST_TEST(backend->aborted.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_may_run_once_is_not_sent_again)
{
    submit(once, 3);
    fail(true);
    BOOST_TEST(backend->sent.size() == 1U);
    BOOST_TEST(last().error.has_value());
}

BOOST_AUTO_TEST_CASE(a_request_that_never_left_goes_to_another_server)
{
    submit(once, 1);
    fail(false);
    BOOST_REQUIRE(backend->sent.size() == 2U);
    answer(200, "ok");
    BOOST_TEST(last().ended);
}

BOOST_AUTO_TEST_CASE(a_misdirected_server_gets_nothing_more)
{
    submit(once, 1);
    auto const wrong = backend->sent.back().server;
    answer(421, "", {{"standing", "misdirected"}});
    BOOST_TEST(backend->sent.size() == 2U);
    answer(200, "ok");
    for (int i = 0; i < 20; ++i)
    {
        submit(safe);
        BOOST_TEST((backend->sent.back().server != wrong));
        answer(200, "ok");
    }
}

BOOST_AUTO_TEST_CASE(an_answer_of_another_request_never_becomes_a_success)
{
    submit(once, 1);
    answer(200, "not yours", {{"standing", "foreign"}});
    BOOST_REQUIRE(last().error);
    BOOST_TEST((last().error->known == outcome::unknown));
    BOOST_TEST(last().body.empty());
}

BOOST_AUTO_TEST_CASE(a_cut_answer_is_replaced_where_the_request_may_run_again)
{
    submit(safe);
    auto const id = backend->sent.back().attempt;
    event(backend_send_started{id});
    event(backend_head{id, 200, {}});
    event(backend_chunk{id, "half"});
    event(backend_failed{.attempt = id,
                         .cause = {error_kind::server_closed, "reset"}});
    BOOST_TEST(!last().head.has_value());
    answer(200, "whole");
    BOOST_TEST(last().body == "whole");
}

BOOST_AUTO_TEST_CASE(a_failure_of_a_server_is_tried_elsewhere_then_passed_on)
{
    submit(safe, 2);
    answer(500, "broken");
    BOOST_REQUIRE(backend->sent.size() == 2U);
    answer(500, "also broken");
    BOOST_TEST(last().head->status == 500);
    BOOST_TEST(last().body == "also broken");
    submit(once, 2);
    answer(500, "ran");
    BOOST_TEST(last().head->status == 500);
    BOOST_TEST(backend->sent.size() == 3U);
}

/// A cut-off domain: requests to its servers hang, and each new one there
/// would be lost.
BOOST_AUTO_TEST_CASE(a_server_that_went_dark_is_left_out_for_all_requests)
{
    submit(once, 1);
    auto const dark = backend->sent.back().server;
    event(backend_send_started{backend->sent.back().attempt});
    k.advance(200ms);
    BOOST_REQUIRE(backend->probed.size() == 1U);
    BOOST_TEST((backend->probed[0] == dark));
    event(server_probed{.server = dark, .reachable = false});
    BOOST_TEST(backend->aborted.empty());
    for (int i = 0; i < 10; ++i)
    {
        submit(once, 1);
        BOOST_TEST((backend->sent.back().server != dark));
        answer(200, "ok");
    }
}

BOOST_AUTO_TEST_CASE(a_busy_server_is_not_taken_for_a_dark_one)
{
    known.servers.erase({"s2"});
    publish();
    submit(once, 1, {.streaming = true});
    auto const streaming = backend->sent.back().attempt;
    event(backend_send_started{streaming});
    event(backend_head{streaming, 200, {}});
    submit(safe, 2);
    event(backend_send_started{backend->sent.back().attempt});
    for (int i = 0; i < 8; ++i)
    {
        event(backend_chunk{streaming, "id: 1\n\n"});
        k.advance(25ms);
    }
    BOOST_TEST(backend->probed.empty());
    BOOST_TEST(backend->aborted.empty());
}

BOOST_AUTO_TEST_CASE(a_server_that_reads_a_long_prompt_keeps_its_requests)
{
    submit(safe, 2);
    event(backend_send_started{backend->sent.back().attempt});
    k.advance(200ms);
    BOOST_REQUIRE(backend->probed.size() == 1U);
    event(server_probed{.server = backend->probed[0], .reachable = true});
    BOOST_TEST(backend->aborted.empty());
    answer(200, "ok");
    BOOST_TEST(last().ended);
}

BOOST_AUTO_TEST_CASE(requests_of_a_server_that_went_dark_go_elsewhere_at_once)
{
    submit(safe, 2, {.streaming = true, .resumable = true});
    auto const stream = backend->sent.back();
    event(backend_send_started{stream.attempt});
    event(backend_head{stream.attempt, 200, {}});
    event(backend_chunk{stream.attempt, "id: 1\ndata: a\n\n"});
    k.advance(600ms);
    BOOST_REQUIRE(!backend->probed.empty());
    event(server_probed{.server = stream.server, .reachable = false});
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST((backend->sent.back().server != stream.server));
    BOOST_TEST(find_header(backend->sent.back().headers, "resume") == "1");
}

BOOST_AUTO_TEST_CASE(without_another_server_a_failure_is_the_callers_answer)
{
    known.servers.erase({"s2"});
    publish();
    submit(safe, 2);
    answer(500, "the server's own");
    BOOST_REQUIRE(last().head.has_value());
    BOOST_TEST(last().head->status == 500);
    BOOST_TEST(last().body == "the server's own");
}

BOOST_AUTO_TEST_CASE(a_silent_server_loses_a_request_that_may_run_again)
{
    submit(safe, 2);
    event(backend_send_started{backend->sent.back().attempt});
    k.advance(600ms);
    BOOST_TEST(backend->aborted.size() == 1U);
    BOOST_TEST(backend->sent.size() == 2U);
    submit(once, 2);
    event(backend_send_started{backend->sent.back().attempt});
    k.advance(600ms);
    BOOST_TEST(backend->sent.size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_stream_goes_on_at_another_server_without_a_seam)
{
    submit(safe, 2, {.streaming = true, .resumable = true});
    auto const id = backend->sent.back().attempt;
    event(backend_send_started{id});
    event(backend_head{id, 200, {}});
    event(backend_chunk{id, "id: 1\ndata: a\n\nid: 2\nda"});
    BOOST_TEST(last().body == "id: 1\ndata: a\n\n");
    event(backend_failed{.attempt = id,
                         .cause = {error_kind::server_closed, "reset"}});
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST(find_header(backend->sent.back().headers, "resume") == "1");
    answer(200, "id: 2\ndata: b\n\n");
    BOOST_TEST(last().body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(last().ended);
}

BOOST_AUTO_TEST_CASE(a_stream_that_may_not_go_on_is_broken_off)
{
    submit(once, 2, {.streaming = true});
    auto const id = backend->sent.back().attempt;
    event(backend_send_started{id});
    event(backend_head{id, 200, {}});
    event(backend_chunk{id, "id: 1\n\n"});
    event(backend_failed{.attempt = id,
                         .cause = {error_kind::server_closed, "reset"}});
    BOOST_REQUIRE(last().error);
    BOOST_TEST((last().error->known == outcome::failed));
    BOOST_TEST(backend->sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_the_servers_work)
{
    auto const number = submit(once);
    event(backend_send_started{backend->sent.back().attempt});
    send(entry, cancel_request{id_of(number)});
    k.run_until_idle();
    BOOST_TEST(backend->aborted.size() == 1U);
    answer(200, "late");
    BOOST_TEST(last().body.empty());
}

BOOST_AUTO_TEST_CASE(leaving_servers_and_domains_taken_out_get_nothing)
{
    add_server("s3", "b");
    known.servers[{"s1"}].leaving = true;
    known.servers[{"s1"}].changed = ++last_change;
    known.taken_out.insert({"b"});
    publish();
    for (int i = 0; i < 10; ++i)
    {
        submit(safe);
        BOOST_TEST(backend->sent.back().server.value == "s2");
        answer(200, "ok");
    }
}

BOOST_AUTO_TEST_CASE(without_any_server_the_refusal_is_immediate)
{
    known.servers.clear();
    publish();
    submit(safe);
    BOOST_REQUIRE(last().error);
    BOOST_TEST((last().error->known == outcome::not_run));
    BOOST_TEST((last().error->retry_after > 0ms));
}

BOOST_AUTO_TEST_CASE(cold_servers_are_used_only_within_their_rate)
{
    known.servers.clear();
    add_server("c1", "a", 10s);
    publish();
    for (int i = 0; i < 200; ++i)
    {
        submit(once, 1);
        if (!last().error)
            answer(200, "ok");
        k.advance(10ms);
    }
    // Two seconds; a third of 20 a second, halved, less the first.
    BOOST_TEST(backend->sent.size() > 2U);
    BOOST_TEST(backend->sent.size() <= 2U * 20U / 3U);
}

BOOST_AUTO_TEST_CASE(a_server_that_fails_is_left_out_until_a_probe_reaches_it)
{
    submit(once, 1);
    auto const bad = backend->sent.back().server;
    fail(true);
    for (int i = 0; i < 5; ++i)
    {
        for (int n = 0; n < 4; ++n)
        {
            submit(safe);
            BOOST_TEST((backend->sent.back().server != bad));
            answer(200, "ok");
        }
        auto const probes = backend->probed.size();
        k.advance(3s);
        BOOST_REQUIRE(backend->probed.size() > probes);
        event(server_probed{.server = bad, .reachable = false});
    }
    event(server_probed{.server = bad, .reachable = true});
    std::set<server_id> used;
    for (int i = 0; i < 40; ++i)
    {
        submit(safe);
        used.insert(backend->sent.back().server);
        answer(200, "ok");
    }
    BOOST_TEST(used.size() == 2U);
}

/// All connections of a router are reset at once, as by a cut that resets:
/// that is one failure of the server, whatever it had in flight.
BOOST_AUTO_TEST_CASE(requests_lost_together_are_one_failure)
{
    known.servers.erase({"s2"});
    publish();
    std::vector<attempt_id> in_flight;
    for (int i = 0; i < 6; ++i)
    {
        submit(once, 1);
        in_flight.push_back(backend->sent.back().attempt);
        event(backend_send_started{in_flight.back()});
    }
    for (auto const& id : in_flight)
        event(backend_failed{.attempt = id,
                             .cause = {error_kind::server_closed, "reset"}});
    BOOST_TEST(backend->probed.empty());
    k.advance(600ms);
    BOOST_TEST(backend->probed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_kept_connection_that_was_closed_blames_no_server)
{
    submit(safe, 2);
    auto const server = backend->sent.back().server;
    fail(true, true);
    answer(200, "ok");
    std::set<server_id> used;
    for (int i = 0; i < 40; ++i)
    {
        submit(safe);
        used.insert(backend->sent.back().server);
        answer(200, "ok");
    }
    BOOST_TEST(used.contains(server));
}

BOOST_AUTO_TEST_CASE(a_repeat_opens_a_connection_of_its_own)
{
    submit(safe, 2);
    BOOST_TEST(backend->sent.back().may_reuse);
    fail(true);
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST(!backend->sent.back().may_reuse);
}

BOOST_AUTO_TEST_CASE(repeats_stop_when_the_share_of_the_budget_is_used)
{
    for (int i = 0; i < 200; ++i)
    {
        submit(safe, 2);
        fail(true);
        if (!last().error)
            fail(true);
    }
    auto const repeats = backend->sent.size() - 200;
    BOOST_TEST(repeats > 0U);
    BOOST_TEST(repeats <= 0.2 * 200 + 50);
}

BOOST_AUTO_TEST_CASE(a_prompt_that_went_elsewhere_is_copied_from_its_server)
{
    request_terms const terms{.streaming = true,
                              .prompt = {{5, 9000}, {6, 300}}};
    submit(safe, 2, terms);
    auto const home = backend->sent.back().server;
    BOOST_TEST(find_header(backend->sent.back().headers, "copy").empty());
    // Its server is over its part of the load, so that the prompt spills.
    send(entry,
         peer_heartbeat_received{{.from = {"r2"},
                                  .domain = {"a"},
                                  .loads = {{name_hash(home.value), 60}}}});
    k.run_until_idle();
    submit(safe, 2, terms);
    BOOST_REQUIRE((backend->sent.back().server != home));
    BOOST_TEST(!find_header(backend->sent.back().headers, "copy").empty());
}

// Suspects reach routers that the first router's beats do not.
BOOST_AUTO_TEST_CASE(a_suspect_that_is_news_is_told_on_once)
{
    for (int i = 0; i < 3; ++i)
        send(entry, peer_suspect_received{.fingerprint = 7, .server_hash = 8});
    k.run_until_idle();
    BOOST_TEST(received<gossip_suspect>(*peers).size() == 1U);
}

BOOST_AUTO_TEST_CASE(other_domains_hear_the_sum_of_the_own_one)
{
    submit(safe);
    send(entry, peer_heartbeat_received{{.from = {"r2"},
                                         .domain = {"a"},
                                         .loads = {{name_hash("s1"), 6}}}});
    send(entry, peer_heartbeat_received{{.from = {"r9"},
                                         .domain = {"b"},
                                         .loads = {{name_hash("s1"), 50}}}});
    k.advance(300ms);
    auto const last_report = received<local_load_report>(*peers).back();
    std::uint32_t own = 0;
    for (auto const& load : last_report.local)
        own += load.in_flight;
    std::uint32_t of_domain = 0;
    for (auto const& load : last_report.domain)
        of_domain += load.in_flight;
    BOOST_TEST(own == 1U);
    BOOST_TEST(of_domain == 7U);
}

BOOST_AUTO_TEST_CASE(what_peers_have_in_flight_counts_as_load)
{
    send(entry, peer_heartbeat_received{{.from = {"r2"},
                                         .domain = {"a"},
                                         .loads = {{name_hash("s1"), 6}}}});
    k.run_until_idle();
    submit(safe);
    BOOST_TEST(backend->sent.back().server.value == "s2");
    answer(200, "ok");
    k.advance(2s);
    std::set<server_id> used;
    for (int i = 0; i < 40; ++i)
    {
        submit(safe);
        used.insert(backend->sent.back().server);
        answer(200, "ok");
    }
    BOOST_TEST(used.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

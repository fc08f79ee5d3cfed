/// Tests of requests that crash servers, in the entry service.
#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::test;

namespace
{

struct crash_fixture : two_server_fixture
{
    /// Delivers another router's report of a crash with a request in flight.
    void report_crash_of_request(std::uint64_t request, std::uint64_t server,
                                 std::optional<time_point> at = {})
    {
        send(entry, peer_request_crash_received{
                        {.request = request,
                         .server = server,
                         .at = at.value_or(now(test_kernel.clock()))}});
        test_kernel.run_until_idle();
    }

    /// Lets the server of the last attempt send the head and the first event of
    /// a stream.
    void begin_last_answer()
    {
        auto const id = backend->sent.back().attempt;
        deliver(backend_send_started{id});
        deliver(backend_head{id, 200, {{"content-type", "text/event-stream"}}});
        last_event = 0;
        add_event_to_last_answer();
    }

    void add_event_to_last_answer()
    {
        deliver(backend_chunk{backend->sent.back().attempt,
                              "id: " + std::to_string(++last_event) +
                                  "\ndata: " + std::string(300, 'x') + "\n\n"});
    }

    /// Lets the server of the last attempt crash in the middle of its answer.
    void break_answer_by_crash()
    {
        auto const& last = backend->sent.back();
        auto const server = last.server;
        deliver(backend_failed{.attempt = last.attempt,
                               .cause = {error_kind::server_closed, "reset"},
                               .sent = true,
                               .progress = answer_progress::in_body});
        deliver(server_probed{.server = server, .reachable = false});
    }

    /// Delivers another router's report of a crash, of part 6.
    void prompt_crash_of_part_6(std::uint64_t server = 8)
    {
        send(entry, peer_prompt_crash_received{{.server = server,
                                                .at = now(test_kernel.clock()),
                                                .parts = {6}}});
        test_kernel.run_until_idle();
    }

    int last_event = 0; ///< Id of the last event that was delivered.
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_crashes, crash_fixture)

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
        crash_server_of_last_attempt();
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
    test_kernel.advance(500ms);
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
    crash_server_of_last_attempt();
    BOOST_TEST(last_caller().error.has_value());
}

// Guards against a prompt part that crashes servers after their first events
// and is never refused: a part was suspected only if no byte had come, and a
// few events cleared it.
BOOST_AUTO_TEST_CASE(part_that_crashes_servers_after_first_events_is_refused)
{
    request_terms const crashing{.streaming = true,
                                 .prompt = {{5, 900}, {6, 300}, {7, 20}}};
    request_terms const sound{.streaming = true, .prompt = {{5, 900}, {8, 20}}};
    distinct_targets = true;
    for (std::uint64_t born = 1; born <= 3; ++born)
    {
        for (auto& [id, server] : deployment.servers)
            server.born = born;
        publish_deployment();
        submit(non_idempotent, 1, crashing);
        BOOST_TEST(backend->sent.size() == born);
        begin_last_answer();
        for (int event = 0; event < 3; ++event)
        {
            test_kernel.advance(200ms);
            add_event_to_last_answer();
        }
        break_answer_by_crash();
        test_kernel.advance(1s);
    }
    BOOST_TEST(received<gossip_prompt_crash>(*peers).size() >= 3U);

    submit(non_idempotent, 1, crashing);
    BOOST_TEST(backend->sent.size() == 3U);
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->cause.kind == error_kind::quarantined));
    BOOST_TEST((last_caller().error->known == outcome::not_run));

    submit(non_idempotent, 1, sound);
    BOOST_TEST(backend->sent.size() == 4U);
}

// Guards against a part whose crashes are not seen since its streams have
// neither a length nor chunks: what ends inside an event has been broken off.
BOOST_AUTO_TEST_CASE(
    stream_that_a_crash_ends_inside_an_event_suspects_its_parts)
{
    submit(non_idempotent, 1,
           {.streaming = true, .prompt = {{6, 300}, {7, 20}}});
    begin_last_answer();
    auto const last = backend->sent.back();
    deliver(backend_chunk{last.attempt, "id: 2\nda"});
    deliver(backend_end{last.attempt});
    BOOST_REQUIRE(last_caller().error);
    deliver(server_probed{.server = last.server, .reachable = false});
    BOOST_TEST(received<gossip_prompt_crash>(*peers).size() == 1U);
    BOOST_TEST(received<gossip_request_crash>(*peers).size() == 1U);
}

// Guards against a part that counts as sound by answers which its crashes end:
// without a length and chunks, an answer looks whole after any event.
BOOST_AUTO_TEST_CASE(answer_that_a_crash_ends_after_an_event_suspects_its_parts)
{
    request_terms const terms{.streaming = true, .prompt = {{6, 300}, {7, 20}}};
    prompt_crash_of_part_6();
    peers->clear();
    submit(non_idempotent, 1, terms);
    begin_last_answer();
    auto const last = backend->sent.back();
    deliver(backend_end{.attempt = last.attempt, .by_close = true});
    BOOST_TEST(last_caller().ended);
    BOOST_TEST(received<gossip_part_answer>(*peers).empty());
    deliver(server_probed{.server = last.server, .reachable = false});
    BOOST_TEST(received<gossip_part_answer>(*peers).empty());
    BOOST_TEST(received<gossip_prompt_crash>(*peers).size() == 1U);
    BOOST_TEST(received<gossip_request_crash>(*peers).size() == 1U);
}

// Guards against sound parts that are never cleared as their answers end with
// the connection, and against a server that is left out after each of these.
BOOST_AUTO_TEST_CASE(answer_that_ends_with_its_connection_clears_its_parts)
{
    prompt_crash_of_part_6();
    peers->clear();
    submit(non_idempotent, 1,
           {.streaming = true, .prompt = {{6, 300}, {7, 20}}});
    begin_last_answer();
    auto const last = backend->sent.back();
    deliver(backend_end{.attempt = last.attempt, .by_close = true});
    BOOST_TEST((backend->probed == std::vector{last.server}));
    deliver(server_probed{.server = last.server, .reachable = true});
    BOOST_TEST(received<gossip_part_answer>(*peers).size() == 1U);
    BOOST_TEST(received<gossip_prompt_crash>(*peers).empty());
    // One connection is enough for all answers before it.
    test_kernel.advance(3s);
    BOOST_TEST(backend->probed.size() == 1U);
}

// Guards against sound parts that are blamed for a server which has ended as
// planned.
BOOST_AUTO_TEST_CASE(answer_that_ends_with_a_leaving_server_suspects_nothing)
{
    submit(non_idempotent, 1,
           {.streaming = true, .prompt = {{6, 300}, {7, 20}}});
    begin_last_answer();
    auto const last = backend->sent.back();
    deployment.servers.at(last.server).leaving = true;
    publish_deployment();
    deliver(backend_end{.attempt = last.attempt, .by_close = true});
    BOOST_TEST(backend->probed.empty());
    BOOST_TEST(received<gossip_prompt_crash>(*peers).empty());
}

// Guards against a crash that is discarded by a probe which reached the server
// before it.
BOOST_AUTO_TEST_CASE(probe_that_was_sent_before_a_crash_does_not_refute_it)
{
    request_terms const terms{.streaming = true, .prompt = {{6, 300}, {7, 20}}};
    distinct_targets = true;
    deployment.servers.erase({"s2"});
    publish_deployment();
    submit(non_idempotent, 1, terms);
    auto const first = backend->sent.back();
    submit(non_idempotent, 1, terms);
    auto const second = backend->sent.back();
    for (auto const& attempt : {first, second})
    {
        deliver(backend_send_started{attempt.attempt});
        deliver(backend_failed{.attempt = attempt.attempt,
                               .cause = {error_kind::server_closed, "reset"},
                               .sent = true});
        test_kernel.advance(5ms);
    }
    BOOST_REQUIRE(backend->probed.size() == 1U);
    deliver(server_probed{.server = first.server, .reachable = true});
    BOOST_REQUIRE(backend->probed.size() == 2U);
    deliver(server_probed{.server = first.server, .reachable = false});
    BOOST_TEST(received<gossip_request_crash>(*peers).size() == 1U);
    BOOST_TEST(received<gossip_prompt_crash>(*peers).size() == 1U);
}

// Guards against sound parts that are blamed for the crash of a server in the
// middle of their answers.
BOOST_AUTO_TEST_CASE(server_that_crashes_late_in_an_answer_suspects_no_part)
{
    prompt_crash_of_part_6();
    submit(non_idempotent, 1,
           {.streaming = true, .prompt = {{6, 300}, {7, 20}}});
    begin_last_answer();
    test_kernel.advance(999ms);
    add_event_to_last_answer();
    BOOST_TEST(received<gossip_part_answer>(*peers).empty());
    test_kernel.advance(1ms);
    add_event_to_last_answer();
    BOOST_TEST(received<gossip_part_answer>(*peers).size() == 1U);
    peers->clear();
    break_answer_by_crash();
    BOOST_TEST(received<gossip_prompt_crash>(*peers).empty());
    BOOST_TEST(received<gossip_request_crash>(*peers).size() == 1U);
}

// Guards against a part that is taken for sound since the attempt before, at
// another server, had an answer that went on.
BOOST_AUTO_TEST_CASE(
    each_attempt_shows_by_its_own_answer_whether_parts_are_sound)
{
    submit(idempotent, 2,
           {.streaming = true, .resumable = true, .prompt = {{6, 9}, {7, 9}}});
    begin_last_answer();
    test_kernel.advance(1s);
    add_event_to_last_answer();
    break_answer_by_crash();
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST(received<gossip_prompt_crash>(*peers).empty());
    test_kernel.advance(100ms);
    break_answer_by_crash();
    BOOST_TEST(received<gossip_prompt_crash>(*peers).size() == 1U);
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
    crash_server_of_last_attempt(true);
    BOOST_TEST(received<gossip_prompt_crash>(*peers).size() == 1U);
    BOOST_REQUIRE(backend->sent.size() == 2U);
    BOOST_TEST((backend->sent.back().server != server));
}

// Guards against sound parts that are blamed for answers which are lost: the
// server has broken one connection and runs on.
BOOST_AUTO_TEST_CASE(server_that_runs_on_has_not_crashed)
{
    submit(non_idempotent, 1,
           {.streaming = true, .prompt = {{6, 300}, {7, 20}}});
    fail_last_attempt(true);
    auto const server = backend->sent.back().server;
    BOOST_REQUIRE(!backend->probed.empty());
    BOOST_TEST((backend->probed.back() == server));
    BOOST_TEST(received<gossip_prompt_crash>(*peers).empty());
    deliver(server_probed{.server = server, .reachable = true});
    test_kernel.advance(2s);
    BOOST_TEST(received<gossip_prompt_crash>(*peers).empty());
    BOOST_TEST(received<gossip_request_crash>(*peers).empty());
}

// Guards against crashes that are made of this instance's own want of
// descriptors.
BOOST_AUTO_TEST_CASE(probe_that_was_not_attempted_confirms_no_crash)
{
    submit(non_idempotent, 1,
           {.streaming = true, .prompt = {{6, 300}, {7, 20}}});
    fail_last_attempt(true);
    auto const server = backend->sent.back().server;
    deliver(server_probed{.server = server, .attempted = false});
    BOOST_TEST(received<gossip_prompt_crash>(*peers).empty());
    // The server is probed again until one probe is attempted.
    auto const probes = backend->probed.size();
    test_kernel.advance(10s);
    BOOST_REQUIRE(backend->probed.size() > probes);
    deliver(server_probed{.server = server, .reachable = false});
    BOOST_TEST(received<gossip_prompt_crash>(*peers).size() == 1U);
}

BOOST_AUTO_TEST_CASE(server_that_has_started_again_has_crashed)
{
    submit(non_idempotent, 1,
           {.streaming = true, .prompt = {{6, 300}, {7, 20}}});
    fail_last_attempt(true);
    for (auto& [id, server] : deployment.servers)
        server.born = 9;
    publish_deployment();
    BOOST_TEST(received<gossip_prompt_crash>(*peers).size() == 1U);
    BOOST_TEST(received<gossip_request_crash>(*peers).size() == 1U);
}

// Guards against a large fleet that refuses a part which most of its routers
// have had no answer to.
BOOST_AUTO_TEST_CASE(answer_to_a_suspected_part_reaches_the_other_routers)
{
    request_terms const terms{.streaming = true, .prompt = {{6, 300}, {7, 20}}};
    prompt_crash_of_part_6();
    submit(non_idempotent, 1, terms);
    answer_last_attempt(200, std::string(300, 'x') + "\n\n");
    auto const told = received<gossip_part_answer>(*peers);
    BOOST_REQUIRE(told.size() == 1U);
    BOOST_TEST(told[0].answer.part == 6U);
    submit(non_idempotent, 1, terms);
    answer_last_attempt(200, std::string(300, 'x') + "\n\n");
    BOOST_TEST(received<gossip_part_answer>(*peers).size() == 1U);
    // A report of a crash before the answer is answered with it.
    send(entry,
         peer_prompt_crash_received{
             {.server = 9, .at = now(test_kernel.clock()) - 1s, .parts = {6}}});
    test_kernel.run_until_idle();
    BOOST_TEST(received<gossip_part_answer>(*peers).size() == 2U);
    BOOST_TEST(received<gossip_prompt_crash>(*peers).size() == 1U);
}

BOOST_AUTO_TEST_CASE(answer_of_another_router_clears_a_part)
{
    for (std::uint64_t server = 1; server <= 3; ++server)
    {
        prompt_crash_of_part_6(server);
        test_kernel.advance(1s);
    }
    peer_part_answer_received const answer{{6, now(test_kernel.clock())}};
    send(entry, answer);
    send(entry, answer);
    test_kernel.run_until_idle();
    BOOST_TEST(received<gossip_part_answer>(*peers).size() == 1U);
    submit(non_idempotent, 1,
           {.streaming = true, .prompt = {{6, 300}, {7, 20}}});
    BOOST_TEST(backend->sent.size() == 1U);
}

// This router is the only one of its fleet, so the trials are its own.
BOOST_AUTO_TEST_CASE(refused_part_is_tried_by_one_request)
{
    request_terms const terms{.streaming = true, .prompt = {{6, 300}, {7, 20}}};
    distinct_targets = true;
    for (std::uint64_t server = 1; server <= 3; ++server)
    {
        prompt_crash_of_part_6(server);
        test_kernel.advance(1s);
    }
    test_kernel.advance(3s);
    submit(non_idempotent, 1, terms);
    submit(non_idempotent, 1, terms);
    BOOST_TEST(backend->sent.size() == 1U);
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->cause.kind == error_kind::quarantined));
    test_kernel.advance(500ms);
    BOOST_TEST(backend->aborted.empty());
    answer_last_attempt(200, std::string(300, 'x') + "\n\n");
    submit(non_idempotent, 1, terms);
    BOOST_TEST(backend->sent.size() == 2U);
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

/// Forwarding makes a crash reach routers that do not receive the heartbeats of
/// the router that reported it.
BOOST_AUTO_TEST_CASE(new_crash_of_a_request_is_forwarded_once)
{
    for (int i = 0; i < 3; ++i)
        report_crash_of_request(7, 8);
    BOOST_TEST(received<gossip_request_crash>(*peers).size() == 1U);
}

// Guards against routers that restart, or were cut off, and pass on a request
// which the others refuse: nobody reported its crashes again.
BOOST_AUTO_TEST_CASE(crashes_of_a_refused_request_are_repeated)
{
    for (std::uint64_t server = 1; server <= 2; ++server)
        report_crash_of_request(7, server);
    peers->clear();
    test_kernel.advance(5s);
    BOOST_TEST(received<gossip_request_crash>(*peers).empty());
    auto const third = now(test_kernel.clock());
    report_crash_of_request(7, 3);
    peers->clear();
    test_kernel.advance(1s);
    auto const repeated = received<gossip_request_crash>(*peers);
    BOOST_REQUIRE(repeated.size() == 3U);
    BOOST_TEST(repeated[2].is_repeat);
    BOOST_TEST((repeated[2].crash.at == third));
    // They expire although routers repeat them to each other.
    for (int second = 0; second < 180; ++second)
    {
        report_crash_of_request(7, 3, third);
        test_kernel.advance(1s);
    }
    peers->clear();
    test_kernel.advance(5s);
    BOOST_TEST(received<gossip_request_crash>(*peers).empty());
}

// Guards against a sound request that one router refuses, and that all others
// come to refuse as its crashes are repeated.
BOOST_AUTO_TEST_CASE(answer_to_a_suspected_request_reaches_the_other_routers)
{
    submit(idempotent, 2);
    auto const second_attempt_of = [this]
    {
        crash_server_of_last_attempt();
        return backend->sent.back().attempt;
    };
    auto const attempt = second_attempt_of();
    auto const crash = received<gossip_request_crash>(*peers).at(0).crash;
    test_kernel.advance(100ms);
    BOOST_TEST((backend->sent.back().attempt == attempt));
    answer_last_attempt(200, "done");
    BOOST_TEST(received<gossip_request_answer>(*peers).size() == 1U);
    // A report of the crash is answered with the answer, and adds nothing.
    report_crash_of_request(crash.request, crash.server, crash.at);
    BOOST_TEST(received<gossip_request_answer>(*peers).size() == 2U);
    BOOST_TEST(received<gossip_request_crash>(*peers).size() == 1U);
}

BOOST_AUTO_TEST_CASE(answer_of_another_router_clears_a_request)
{
    submit(non_idempotent, 1);
    crash_server_of_last_attempt();
    auto const crash = received<gossip_request_crash>(*peers).at(0).crash;
    for (std::uint64_t server = 1; server <= 2; ++server)
        report_crash_of_request(crash.request, server);
    submit(non_idempotent, 1);
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->cause.kind == error_kind::quarantined));
    test_kernel.advance(1s);
    send(entry, peer_request_answer_received{
                    {crash.request, now(test_kernel.clock())}});
    test_kernel.run_until_idle();
    BOOST_TEST(received<gossip_request_answer>(*peers).size() == 1U);
    auto const sent = backend->sent.size();
    submit(non_idempotent, 1);
    BOOST_TEST(backend->sent.size() == sent + 1);
}

BOOST_AUTO_TEST_SUITE_END()

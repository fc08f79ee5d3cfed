/// Tests of limits that servers state on the requests of all routers together.
#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::test;

namespace
{

/// A router that knows seven others, whose part of a limit of 8 requests/s is
/// one request each second, and 1.6 at once.
struct limited_fixture : entry_fixture
{
    limited_fixture()
    {
        distinct_targets = true;
        std::vector<router_id> others;
        for (int i = 2; i <= 8; ++i)
            others.push_back({"r" + std::to_string(i)});
        send(entry, fleet_changed{others});
        add_server("s1");
        publish_deployment();
    }

    void answer(std::string const& limit)
    {
        answer_last_attempt(200, "ok",
                            limit.empty()
                                ? std::vector<header_field>{}
                                : std::vector<header_field>{{"limit", limit}});
    }

    /// Submits requests and answers those that are sent. Returns their number.
    std::size_t submit_answered(int count, std::string const& limit)
    {
        auto const before = backend->sent.size();
        for (int i = 0; i < count; ++i)
        {
            auto const sent = backend->sent.size();
            submit(idempotent);
            if (backend->sent.size() > sent)
                answer(limit);
        }
        return backend->sent.size() - before;
    }

    caller& last_caller()
    {
        return *callers.back();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(limits, limited_fixture)

// Guards against requests beyond the limit that a server states: routers took
// no notice of it.
BOOST_AUTO_TEST_CASE(server_with_a_limit_gets_no_more_than_this_routers_share)
{
    submit_answered(1, "8");
    std::size_t sent = 0;
    for (int i = 0; i < 40; ++i)
    {
        sent += submit_answered(5, "8");
        test_kernel.advance(100ms);
    }
    // An eighth of what the rules allow in 4 s, 1.5 x 4 x 8 + 5.
    BOOST_TEST(sent <= 6);
    BOOST_TEST(sent >= 4);
}

// Guards against callers that wait for their deadline, or return too early,
// when no server takes another request.
BOOST_AUTO_TEST_CASE(request_beyond_the_limit_is_refused_at_once)
{
    submit_answered(8, "8");
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->known == outcome::not_run));
    BOOST_TEST((last_caller().error->retry_after > 250ms));
    BOOST_TEST((last_caller().error->retry_after <= 1500ms));
    test_kernel.advance(last_caller().error->retry_after);
    BOOST_TEST(submit_answered(1, "8") == 1);
}

// Guards against refusals while a server without a limit has room.
BOOST_AUTO_TEST_CASE(server_without_a_limit_gets_what_the_other_does_not_take)
{
    submit_answered(1, "8");
    add_server("s2");
    publish_deployment();
    for (int i = 0; i < 20; ++i)
    {
        auto const sent = backend->sent.size();
        submit(idempotent);
        BOOST_REQUIRE(backend->sent.size() == sent + 1);
        answer(backend->sent.back().server.value == "s1" ? "8" : "");
    }
}

// Guards against retries and resumed streams that exceed the limit.
BOOST_AUTO_TEST_CASE(retries_count_towards_the_limit)
{
    submit_answered(8, "8");
    auto const limited = backend->sent.size();
    add_server("s2");
    publish_deployment();
    submit(idempotent);
    BOOST_REQUIRE(backend->sent.size() == limited + 1);
    BOOST_TEST(backend->sent.back().server.value == "s2");
    fail_last_attempt(true);
    BOOST_TEST(backend->sent.size() == limited + 1);
    BOOST_TEST(last_caller().error.has_value());
}

// Guards against a limit that outlives the server's need.
BOOST_AUTO_TEST_CASE(limit_ends_with_an_answer_that_states_none)
{
    submit_answered(8, "8");
    test_kernel.advance(1s);
    BOOST_TEST(submit_answered(1, "") == 1);
    BOOST_TEST(submit_answered(20, "") == 20);
}

// Guards against a limit that an answer ends which was sent before the server
// stated it: answers on different connections overtake each other.
BOOST_AUTO_TEST_CASE(older_answer_without_a_limit_does_not_end_it)
{
    submit(idempotent);
    auto const older = backend->sent.back().attempt;
    test_kernel.advance(10ms);
    submit_answered(1, "8");
    deliver(backend_send_started{older});
    deliver(backend_head{older, 200, {}});
    deliver(backend_end{older});
    BOOST_TEST(submit_answered(20, "8") < 5);
}

// Guards against a limit that a refusal, another server or a malformed value
// ends.
BOOST_AUTO_TEST_CASE(only_the_servers_own_answers_end_a_limit)
{
    submit_answered(1, "8");
    for (auto const* const kind : {"not_executed", "misdirected", "foreign"})
    {
        test_kernel.advance(5s);
        submit(idempotent, 1);
        answer_last_attempt(503, "", {{"answer-kind", kind}});
        deliver(server_probed{.server = {"s1"}, .reachable = true});
        add_server("s1");
        publish_deployment();
    }
    test_kernel.advance(5s);
    BOOST_TEST(submit_answered(1, "some") == 1);
    BOOST_TEST(submit_answered(20, "8") < 5);
}

// Guards against a limit that a server does not have after a restart.
BOOST_AUTO_TEST_CASE(limit_holds_for_one_run_of_a_server)
{
    submit_answered(8, "8");
    deployment.servers[{"s1"}].born = 2;
    publish_deployment();
    BOOST_TEST(submit_answered(20, "") == 20);
}

// Guards against routers that exceed a limit which only others have read.
BOOST_AUTO_TEST_CASE(limit_is_sent_to_and_learned_from_other_routers)
{
    submit_answered(1, "8");
    test_kernel.advance(250ms);
    std::vector<decisions::aged_server_limit> reported;
    for (auto const& message : *peers)
        if (auto const* report = std::get_if<local_load_report>(&message))
            reported = report->limits;
    BOOST_REQUIRE(reported.size() == 1);
    BOOST_TEST(reported.front().rate == 8);

    entry_fixture other;
    other.distinct_targets = true;
    other.add_server("s1");
    other.publish_deployment();
    send(other.entry,
         peer_heartbeat_received{{.from = {"r2"}, .server_limits = reported}});
    for (int i = 0; i < 40; ++i)
    {
        auto const sent = other.backend->sent.size();
        other.submit(idempotent);
        if (other.backend->sent.size() > sent)
            other.answer_last_attempt(200, "ok", {{"limit", "8"}});
    }
    // A single router may use all that a burst may have, 0.6 x (16 + 5).
    BOOST_TEST(other.backend->sent.size() == 12);
}

// Guards against prompts that leave the servers which hold them: what servers
// with a limit do not take made the others look overloaded.
BOOST_AUTO_TEST_CASE(prompts_stay_with_servers_that_have_room)
{
    for (auto const* const id : {"s2", "s3", "s4"})
        add_server(id);
    publish_deployment();
    for (int i = 0; i < 20; ++i)
        submit_answered(1, "0.1");
    add_server("s5");
    add_server("s6");
    publish_deployment();
    decisions::shared_prefix const prefix{.key = 1};
    bool const fifth_first = decisions::prefix_weight(prefix, name_hash("s5")) >
                             decisions::prefix_weight(prefix, name_hash("s6"));
    server_id const first{fifth_first ? "s5" : "s6"};
    // Five requests are in flight at the first server, four at the other.
    std::optional<attempt_id> elsewhere;
    for (int i = 0; i < 10; ++i)
    {
        submit(non_idempotent);
        if (backend->sent.back().server != first)
            elsewhere = backend->sent.back().attempt;
    }
    BOOST_REQUIRE(elsewhere);
    deliver(backend_send_started{*elsewhere});
    deliver(backend_head{*elsewhere, 200, {}});
    deliver(backend_end{*elsewhere});
    submit(idempotent, 1, {.prompt = {{1, 1000}, {99, 10}}});
    BOOST_TEST(backend->sent.back().server.value == first.value);
}

// Guards against a server without a limit that falls behind with all that the
// others do not take, so that its callers wait until their deadlines.
BOOST_AUTO_TEST_CASE(server_without_a_limit_gets_no_more_than_its_slots)
{
    submit_answered(8, "8");
    add_server("s2");
    publish_deployment();
    auto const sent = backend->sent.size();
    for (int i = 0; i < 10; ++i)
        submit(idempotent);
    BOOST_TEST(backend->sent.size() == sent + 6);
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->known == outcome::not_run));
    BOOST_TEST((last_caller().error->retry_after > 0s));
    // Without limits a full server queues requests, as before.
    deployment.servers.erase({"s1"});
    publish_deployment();
    for (int i = 0; i < 10; ++i)
        submit(idempotent);
    BOOST_TEST(backend->sent.size() == sent + 16);
}

// Guards against a limit whose end is noticed late, since prompts lead
// elsewhere: the load stays uneven for seconds.
BOOST_AUTO_TEST_CASE(limit_that_is_not_heard_is_asked_for)
{
    submit_answered(1, "8");
    add_server("s2");
    publish_deployment();
    decisions::shared_prefix prefix{.key = 1};
    while (decisions::prefix_weight(prefix, name_hash("s2")) <
           decisions::prefix_weight(prefix, name_hash("s1")))
        ++prefix.key;
    request_terms const terms{.prompt = {{prefix.key, 1000}, {99, 10}}};
    auto const server_of_next = [&]
    {
        submit(idempotent, 1, terms);
        return backend->sent.back().server.value;
    };
    BOOST_TEST(server_of_next() == "s2");
    answer("");
    test_kernel.advance(1s);
    BOOST_TEST(server_of_next() == "s1");
    answer("8");
    BOOST_TEST(server_of_next() == "s2");
    answer("");
    test_kernel.advance(1s);
    BOOST_TEST(server_of_next() == "s1");
    answer("");
    // The limit has ended, so that nothing has to be asked.
    test_kernel.advance(1s);
    BOOST_TEST(server_of_next() == "s2");
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of the entry service: how requests are answered, retried and refused.
#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::test;

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

// Guards against a server whose bytes have no end, in an answer that is no
// stream: they are passed on as the caller takes them, and end with the
// request.
BOOST_AUTO_TEST_CASE(body_without_end_is_aborted_at_the_deadline)
{
    submit(idempotent, 2);
    auto const id = backend->sent.back().attempt;
    deliver(backend_send_started{id});
    deliver(backend_head{id, 200, {}});
    std::size_t sent = 0;
    for (; sent < (1U << 20); sent += 64U << 10)
        deliver(backend_chunk{id, std::string(64U << 10, 'x')});
    // Up to 256 KiB are collected; all that is passed on goes by credit.
    BOOST_TEST(last_caller().body.size() == sent);
    BOOST_TEST(backend->granted <= (256U << 10));
    test_kernel.advance(3s);
    BOOST_TEST(backend->aborted.size() == 1U);
    BOOST_TEST(!last_caller().ended);
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->known == outcome::failed));
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

BOOST_AUTO_TEST_CASE(request_is_refused_at_once_if_there_is_no_server)
{
    deployment.servers.clear();
    publish_deployment();
    submit(idempotent);
    BOOST_REQUIRE(last_caller().error);
    BOOST_TEST((last_caller().error->known == outcome::not_run));
    BOOST_TEST((last_caller().error->retry_after > 0ms));
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

BOOST_AUTO_TEST_SUITE_END()

/// Tests of streams in the entry service.
#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::test;

BOOST_FIXTURE_TEST_SUITE(entry, two_server_fixture)

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

BOOST_AUTO_TEST_SUITE_END()

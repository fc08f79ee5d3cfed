/// Tests of the answers that the HTTP client takes for whole, and of those that
/// it does not.
#include "client_fixture.hpp"

#include <algorithm>

using namespace bramleyarch;
using namespace bramleyarch::test;
using namespace std::chrono_literals;
using testing::ending;

BOOST_FIXTURE_TEST_SUITE(http_client, client_fixture)

BOOST_AUTO_TEST_CASE(answer_with_length_is_whole)
{
    testing::raw_server server{{.parts = {testing::plain_answer("booked")}}};
    http::open(*client, request_to(server.port()));
    finish();
    BOOST_TEST(seen.ends == 1U);
    BOOST_TEST(seen.sent.size() == 1U);
    BOOST_REQUIRE(seen.head);
    BOOST_TEST(seen.head->status == 200);
    BOOST_TEST(seen.body == "booked");
    auto const found =
        std::find_if(seen.head->headers.begin(), seen.head->headers.end(),
                     [](auto const& h) { return h.name == "x-bramley-test"; });
    BOOST_REQUIRE((found != seen.head->headers.end()));
    BOOST_TEST(found->value == "yes");
    auto const request = server.requests().at(0);
    BOOST_TEST_MESSAGE(request);
    BOOST_TEST(request.starts_with("POST /v1/book?bin=4%2F5 HTTP/1.1\r\n"));
    BOOST_TEST(request.ends_with("\r\n\r\norder"));
    BOOST_TEST((request.find("idempotency-key: k1") != std::string::npos));
}

BOOST_AUTO_TEST_CASE(large_bodies_pass_both_ways)
{
    std::string const large(3'000'000, 'b');
    testing::raw_server server{{.parts = {testing::plain_answer(large)}}};
    http::open(*client, request_to(server.port(), large));
    finish();
    BOOST_TEST(seen.ends == 1U);
    BOOST_TEST((seen.body == large));
    BOOST_TEST(server.requests().at(0).ends_with(large));
}

BOOST_AUTO_TEST_CASE(chunked_answer_is_whole)
{
    testing::raw_server server{{.parts = {chunked_head, chunk("data: a\n\n"),
                                          chunk("data: b\n\n") + "0\r\n\r\n"},
                                .then = ending::hold}};
    http::open(*client, request_to(server.port()));
    finish();
    BOOST_TEST(seen.ends == 1U);
    BOOST_TEST(seen.body == "data: a\n\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(chunked_answer_cut_anywhere_fails)
{
    std::string const whole =
        chunked_head + chunk("data: a\n\n") + chunk("data: b\n\n") + "0\r\n";
    for (auto const then : {ending::close, ending::reset})
    {
        for (std::size_t length = 0; length < whole.size(); ++length)
        {
            seen = {};
            testing::raw_server server{
                {.parts = {whole.substr(0, length)}, .then = then}};
            http::open(*client, request_to(server.port()));
            finish();
            BOOST_TEST(seen.ends == 0U, "cut after " << length);
        }
    }
}

BOOST_AUTO_TEST_CASE(chunked_answer_in_single_bytes_is_whole)
{
    std::string const whole = chunked_head + chunk("data: a\n\n") + "0\r\n\r\n";
    std::vector<std::string> parts;
    for (char const c : whole)
        parts.emplace_back(1, c);
    testing::raw_server server{{.parts = parts}};
    http::open(*client, request_to(server.port()));
    finish();
    BOOST_TEST(seen.ends == 1U);
    BOOST_TEST(seen.body == "data: a\n\n");
}

BOOST_AUTO_TEST_CASE(answer_with_length_cut_anywhere_fails)
{
    for (auto const then : {ending::close, ending::reset})
    {
        auto const whole = testing::plain_answer("booked");
        for (std::size_t length = 0; length < whole.size(); ++length)
        {
            seen = {};
            testing::raw_server server{
                {.parts = {whole.substr(0, length)}, .then = then}};
            http::open(*client, request_to(server.port()));
            finish();
            BOOST_TEST(seen.ends == 0U, "cut after " << length);
        }
    }
}

BOOST_AUTO_TEST_CASE(answer_that_ends_by_close_is_whole)
{
    testing::raw_server server{
        {.parts = {"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "all"}}};
    http::open(*client, request_to(server.port()));
    finish();
    BOOST_TEST(seen.ends == 1U);
    BOOST_TEST(seen.body == "all");
    BOOST_TEST(seen.ended_by_close);
}

// Guards against a probe after each answer of a server that closes its
// connections: the length or the last chunk has ended these.
BOOST_AUTO_TEST_CASE(answer_with_an_end_of_its_own_does_not_end_by_close)
{
    for (std::string const answer :
         {"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: "
          "3\r\n\r\nall",
          "HTTP/1.1 200 OK\r\nconnection: close\r\n"
          "transfer-encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n"})
    {
        seen = {};
        testing::raw_server server{{.parts = {answer}}};
        http::open(*client, request_to(server.port()));
        finish();
        BOOST_TEST(seen.ends == 1U, answer);
        BOOST_TEST(!seen.ended_by_close, answer);
    }
}

BOOST_AUTO_TEST_CASE(answers_without_body_are_whole)
{
    for (std::string const head :
         {"HTTP/1.1 204 No Content\r\n\r\n",
          "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
          "HTTP/1.1 302 Found\r\nlocation: /x\r\ncontent-length: 0\r\n\r\n"})
    {
        seen = {};
        testing::raw_server server{{.parts = {head}, .then = ending::hold}};
        http::open(*client, request_to(server.port()));
        finish();
        BOOST_TEST(seen.ends == 1U, head);
        BOOST_TEST(server.requests().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(an_unframed_answer_that_is_reset_is_not_whole)
{
    testing::raw_server server{
        {.parts = {"HTTP/1.1 200 OK\r\n\r\n", "part"}, .then = ending::reset}};
    http::open(*client, request_to(server.port()));
    finish();
    BOOST_TEST(seen.ends == 0U);
}

BOOST_AUTO_TEST_CASE(malformed_answers_fail)
{
    for (std::string const text :
         {"nonsense\r\n\r\n", "HTTP/1.1 abc\r\n\r\n", "\r\n\r\n",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"})
    {
        seen = {};
        testing::raw_server server{{.parts = {text}}};
        http::open(*client, request_to(server.port()));
        finish();
        BOOST_TEST(seen.ends == 0U, text);
    }
}

// Guards against a 200 that is made of an answer which stopped in its head, or
// right after it: without length or chunks, only its close says that it is
// whole.
BOOST_AUTO_TEST_CASE(answer_that_stops_in_or_after_its_head_fails)
{
    std::string const status = "HTTP/1.1 200 OK\r\n";
    for (bool const kept : {false, true})
    {
        for (std::string const& text :
             {std::string{"HTTP/1.1 2"}, status, status + "x-a: b",
              status + "x-a: b\r\n", status + "content-length:\r\n\r\n",
              status + "content-length: 9\r\n\r\n",
              status + "content-length: 9\r\n\r\npart", chunked_head,
              chunked_head + "1", chunked_head + "9\r\n", status + "\r\n",
              status + "connection: close\r\n\r\n"})
        {
            seen = {};
            testing::raw_server server{
                {.parts = {text},
                 .replies = {{.when = "first",
                              .parts = {testing::plain_answer("one")},
                              .then = ending::keep}}}};
            auto request = request_to(server.port(), "first");
            request.may_reuse = true;
            if (kept)
            {
                http::open(*client, request);
                finish();
                seen = {};
            }
            request.body = std::make_shared<std::string const>("order");
            http::open(*client, std::move(request));
            finish();
            BOOST_TEST(seen.ends == 0U, text << " kept " << kept);
            BOOST_REQUIRE(seen.failures.size() == 1U);
            BOOST_TEST(seen.failures[0].sent);
            // A part of an answer shows that the request has arrived.
            BOOST_TEST(!seen.failures[0].kept_connection,
                       text << " kept " << kept);
        }
    }
}

// Guards against memory for each piece of a body that a server sends in pieces
// of two bytes, which is several hundred times as much as the bytes take.
BOOST_AUTO_TEST_CASE(pieces_that_arrive_together_are_one_event)
{
    constexpr std::size_t pieces = 100'000;
    constexpr std::size_t least_pieces_per_event = 100;
    std::string text = chunked_head;
    for (std::size_t i = 0; i < pieces; ++i)
        text += chunk("x\n");
    testing::raw_server server{{.parts = {text + "0\r\n\r\n"}}};
    http::open(*client, request_to(server.port()));
    finish();
    BOOST_TEST(seen.ends == 1U);
    BOOST_TEST(seen.body.size() == 2 * pieces);
    BOOST_TEST(seen.body_events < pieces / least_pieces_per_event);
}

// Guards against a server whose bytes have no end, wherever they are.
BOOST_AUTO_TEST_CASE(heads_without_end_fail)
{
    std::string const head = "HTTP/1.1 200 OK\r\n";
    auto const repeat = [](std::string const& text)
    {
        std::string repeated;
        while (repeated.size() < (1U << 20))
            repeated += text;
        return repeated;
    };
    for (auto const& endless :
         {repeat("x"), head + repeat("a: b\r\n"), head + "a: " + repeat("b"),
          "HTTP/1.1 200 " + repeat("OK"),
          repeat("HTTP/1.1 100 Continue\r\n\r\n"),
          chunked_head + "0\r\n" + repeat("a: b\r\n"),
          chunked_head + "1;" + repeat("e"), chunked_head + repeat("0")})
    {
        seen = {};
        testing::raw_server server{{.parts = {endless}, .then = ending::hold}};
        http::open(*client, request_to(server.port()));
        finish();
        BOOST_TEST(seen.failures.size() == 1U, endless.substr(0, 80));
    }
}

// Guards against a part of an answer that passes for whole: its end is the end
// of its connection, which the server resets while the request is still being
// sent.
BOOST_AUTO_TEST_CASE(answer_that_is_reset_during_the_request_fails)
{
    std::string const large(8'000'000, 'b');
    for (int i = 0; i < 20; ++i)
    {
        seen = {};
        testing::raw_server server{
            {.read_request = false,
             .parts = {"HTTP/1.1 200 OK\r\n\r\n", "a part"},
             .then = ending::reset,
             .pause = std::chrono::milliseconds{i % 5 * 10}}};
        http::open(*client, request_to(server.port(), large));
        finish();
        BOOST_TEST(seen.ends == 0U, "pause " << i % 5 * 10);
    }
}

// Guards against a status that is none: it passed for that of an interim
// answer, so that the request waited until its time limit for another one.
BOOST_AUTO_TEST_CASE(answer_without_a_valid_status_fails_at_once)
{
    for (std::string const status : {"000", "0", "7", "099", "600", "999"})
    {
        seen = {};
        testing::raw_server server{
            {.parts = {"HTTP/1.1 " + status +
                       " None\r\ncontent-length: 2\r\n\r\nok"},
             .then = ending::hold}};
        http::open(*client, request_to(server.port()));
        finish();
        BOOST_TEST(!seen.head, status);
        BOOST_REQUIRE(seen.failures.size() == 1U);
        BOOST_TEST((seen.failures[0].cause.kind == error_kind::server_protocol),
                   status);
    }
}

BOOST_AUTO_TEST_SUITE_END()

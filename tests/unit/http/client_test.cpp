/// Tests of the connections of the HTTP client: which are kept, when requests
/// count as sent, and how they end.
#include "client_fixture.hpp"

#include <ctime>
#include <thread>

using namespace bramleyarch;
using namespace bramleyarch::test;
using namespace std::chrono_literals;
using testing::ending;

BOOST_FIXTURE_TEST_SUITE(http_client, client_fixture)

BOOST_AUTO_TEST_CASE(
    a_request_is_sent_once_when_the_server_closes_after_reading)
{
    for (auto const then : {ending::close, ending::reset})
    {
        seen = {};
        testing::raw_server server{{.then = then}};
        http::open(*client, request_to(server.port()));
        finish();
        run_for(300ms);
        BOOST_REQUIRE(seen.failures.size() == 1U);
        BOOST_TEST(seen.failures[0].sent);
        BOOST_TEST(server.requests().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_request_is_sent_once_when_the_server_closes_unread)
{
    testing::raw_server server{{.read_request = false}};
    http::open(*client, request_to(server.port()));
    finish();
    BOOST_REQUIRE(seen.failures.size() == 1U);
    BOOST_TEST(seen.failures[0].sent == !seen.sent.empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_may_not_reuse_has_its_own_connection)
{
    testing::raw_server server{
        {.parts = {testing::plain_answer("one")}, .then = ending::hold}};
    for (std::size_t n = 1; n <= 3; ++n)
    {
        seen = {};
        http::open(*client, request_to(server.port()));
        finish();
        BOOST_TEST(seen.ends == 1U);
        BOOST_TEST(server.requests().size() == n);
    }
}

// Guards against a request that is lost on a connection which the server is
// about to close, as an earlier request on it asked.
BOOST_AUTO_TEST_CASE(connection_that_was_to_close_carries_no_further_request)
{
    testing::raw_server server{
        {.parts = {testing::plain_answer("one")}, .then = ending::hold}};
    http::open(*client, request_to(server.port()));
    finish();
    BOOST_TEST(seen.ends == 1U);
    seen = {};
    auto request = request_to(server.port());
    request.may_reuse = true;
    request.silence_limit = 500ms;
    http::open(*client, std::move(request));
    finish();
    BOOST_TEST(seen.ends == 1U);
    BOOST_TEST(server.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_kept_connection_that_answers_no_more_says_so)
{
    // The scripted server reads one request of each connection.
    testing::raw_server server{
        {.parts = {testing::plain_answer("one")}, .then = ending::hold}};
    auto request = request_to(server.port());
    request.may_reuse = true;
    request.silence_limit = 100ms;
    http::open(*client, request);
    finish();
    seen = {};
    http::open(*client, std::move(request));
    finish();
    BOOST_REQUIRE(seen.failures.size() == 1U);
    BOOST_TEST(seen.failures[0].sent);
    BOOST_TEST(seen.failures[0].kept_connection);
    BOOST_TEST(server.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(bytes_after_an_answer_end_the_connection)
{
    testing::raw_server server{
        {.parts = {testing::plain_answer("one") + testing::plain_answer("two")},
         .then = ending::hold}};
    auto request = request_to(server.port());
    request.may_reuse = true;
    http::open(*client, std::move(request));
    finish();
    BOOST_TEST(seen.body == "one");
    run_until([&] { return server.closed_by_peer() == 1; });
}

// Guards against telling callers that a request has not run which has: the
// server writes its last refusal once more, on a kept connection.
BOOST_AUTO_TEST_CASE(connection_with_a_refusal_carries_no_further_request)
{
    for (std::string const status : {"408", "421", "429", "503"})
    {
        seen = {};
        testing::raw_server server{
            {.parts = {"HTTP/1.1 " + status +
                       " Refused\r\ncontent-length: 0\r\n\r\n"},
             .then = ending::hold}};
        auto request = request_to(server.port());
        request.may_reuse = true;
        http::open(*client, std::move(request));
        finish();
        BOOST_TEST(seen.ends == 1U);
        // An idle connection would be kept for 10 s.
        auto const limit = std::chrono::steady_clock::now() + 3s;
        while (server.closed_by_peer() == 0 &&
               std::chrono::steady_clock::now() < limit)
            run_for(5ms);
        BOOST_TEST(server.closed_by_peer() == 1U, status);
    }
}

BOOST_AUTO_TEST_CASE(a_check_tells_whether_a_server_can_be_reached)
{
    std::uint16_t gone = 0;
    {
        testing::raw_server const server{{}};
        gone = server.port();
    }
    testing::raw_server server{
        {.parts = {testing::plain_answer("one")}, .then = ending::hold}};
    http::check(*client, 1, {"127.0.0.1", server.port()}, 5s);
    run_until([this] { return checked.size() == 1; });
    http::check(*client, 2, {"127.0.0.1", gone}, 5s);
    run_until([this] { return checked.size() == 2; });
    BOOST_TEST(checked[0].reachable);
    BOOST_TEST(!checked[1].reachable);
    // The connection that a check opened serves the next request.
    auto request = request_to(server.port());
    request.may_reuse = true;
    http::open(*client, std::move(request));
    finish();
    BOOST_TEST(seen.ends == 1U);
    BOOST_TEST(server.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(refused_connection_was_not_sent)
{
    std::uint16_t port = 0;
    {
        testing::raw_server const gone{{}};
        port = gone.port();
    }
    http::open(*client, request_to(port));
    finish();
    BOOST_REQUIRE(seen.failures.size() == 1U);
    BOOST_TEST(!seen.failures[0].sent);
    BOOST_TEST(seen.sent.empty());
    BOOST_TEST(
        (seen.failures[0].cause.kind == error_kind::server_connect_failed));
}

BOOST_AUTO_TEST_CASE(silent_server_is_given_up_after_the_limit)
{
    for (std::vector<std::string> const& parts :
         {std::vector<std::string>{}, std::vector<std::string>{chunked_head},
          std::vector<std::string>{chunked_head, chunk("data: a\n\n")}})
    {
        seen = {};
        testing::raw_server server{{.parts = parts, .then = ending::hold}};
        auto request = request_to(server.port());
        request.silence_limit = 200ms;
        auto const begun = std::chrono::steady_clock::now();
        http::open(*client, std::move(request));
        finish();
        BOOST_REQUIRE(seen.failures.size() == 1U);
        BOOST_TEST((seen.failures[0].cause.kind == error_kind::server_silent));
        BOOST_TEST(seen.failures[0].sent);
        BOOST_TEST((std::chrono::steady_clock::now() - begun >= 200ms));
        run_until([&] { return server.closed_by_peer() == 1; });
    }
}

BOOST_AUTO_TEST_CASE(reading_stops_without_credit_and_does_not_spin)
{
    std::string const large(8'000'000, 'c');
    testing::raw_server server{{.parts = {testing::plain_answer(large)}}};
    auto request = request_to(server.port());
    request.credit = 100'000;
    request.silence_limit = 100ms;
    http::open(*client, std::move(request));
    run_until([this] { return seen.body.size() == 100'000; });
    auto const cpu = std::clock();
    run_for(500ms);
    auto const used = double(std::clock() - cpu) / CLOCKS_PER_SEC;
    BOOST_TEST(used < 0.2);
    BOOST_TEST(seen.body.size() == 100'000U);
    BOOST_TEST(!seen.over());
    http::grant(*client, 7, 50'000);
    run_until([this] { return seen.body.size() == 150'000; });
    run_for(50ms);
    BOOST_TEST(seen.body.size() == 150'000U);
    http::grant(*client, 7, UINT64_MAX);
    finish();
    BOOST_TEST(seen.ends == 1U);
    BOOST_TEST((seen.body == large));
}

BOOST_AUTO_TEST_CASE(close_is_seen_by_the_server_and_gives_no_event)
{
    testing::raw_server server{
        {.parts = {chunked_head, chunk("data: a\n\n")}, .then = ending::hold}};
    http::open(*client, request_to(server.port()));
    run_until([this] { return !seen.body.empty(); });
    http::close(*client, 7);
    run_until([&] { return server.closed_by_peer() == 1; });
    BOOST_TEST(!seen.over());
}

BOOST_AUTO_TEST_CASE(bad_heads_are_refused_unsent)
{
    testing::raw_server server{{.parts = {testing::plain_answer("x")}}};
    auto split = request_to(server.port());
    split.headers.push_back({"x-a", "b\r\nx-c: d"});
    auto no_path = request_to(server.port());
    no_path.target = "book";
    auto huge = request_to(server.port());
    huge.headers.push_back({"x-a", std::string(100'000, 'a')});
    for (auto const& request : {split, no_path, huge})
    {
        seen = {};
        http::open(*client, request);
        finish();
        BOOST_REQUIRE(seen.failures.size() == 1U);
        BOOST_TEST(!seen.failures[0].sent);
    }
}

BOOST_AUTO_TEST_CASE(many_streams_run_at_once)
{
    constexpr std::uint64_t count = 300;
    testing::raw_server server{{.parts = {testing::plain_answer("one")}}};
    for (std::uint64_t id = 0; id < count; ++id)
    {
        auto request = request_to(server.port());
        request.id = id;
        http::open(*client, std::move(request));
    }
    run_until([this] { return seen.ends + seen.failures.size() == count; });
    BOOST_TEST(seen.ends == count);
}

BOOST_AUTO_TEST_CASE(wake_from_another_thread_ends_the_wait)
{
    auto const begun = std::chrono::steady_clock::now();
    std::thread other{[this] { http::wake(*client); }};
    http::wait(*client, 20s);
    other.join();
    BOOST_TEST((std::chrono::steady_clock::now() - begun < 15s));
}

BOOST_AUTO_TEST_SUITE_END()

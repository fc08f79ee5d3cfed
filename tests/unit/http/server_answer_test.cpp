/// Tests of the answers of the HTTP server, to callers that stay and that
/// leave.
#include "server_fixture.hpp"

#include <ctime>

using namespace bramleyarch;
using namespace std::chrono_literals;
using testing::get;
using testing::raw_caller;

BOOST_FIXTURE_TEST_SUITE(http_server, testing::server_fixture)

BOOST_AUTO_TEST_CASE(slow_caller_leaves_bytes_queued_and_is_cut_off)
{
    raw_caller caller{http::port_of(*server)};
    caller.write(get);
    auto const request = take_request();
    http::start_answer(*server, request.id, {});
    std::string const part(100'000, 'p');
    std::size_t sent = 0;
    auto const taken_all = [&] { return seen.taken == sent; };
    while (taken_all() && sent < 100'000'000)
    {
        http::send_bytes(*server, request.id, part);
        sent += part.size();
        for (int n = 0; n < 20 && !taken_all(); ++n)
            http::wait(*server, 5ms);
    }
    BOOST_REQUIRE(!taken_all());
    BOOST_TEST(http::queued_bytes(*server, request.id) == sent - seen.taken);
    run_until([this] { return seen.left.size() == 1; });
    BOOST_TEST(http::open_exchanges(*server) == 0U);
    read_until_closed(caller);
    BOOST_TEST(!caller.received.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(a_slow_answer_is_not_the_callers_delay)
{
    raw_caller caller{http::port_of(*server)};
    caller.write(get);
    auto const request = take_request();
    run_for(1s);
    BOOST_TEST(seen.left.empty());
    http::send_answer(*server, request.id, {}, "late");
    read_until(caller, "late");
}

BOOST_AUTO_TEST_CASE(leaving_callers_are_noticed)
{
    for (bool const reset : {false, true})
    {
        for (bool const started : {false, true})
        {
            seen = {};
            raw_caller caller{http::port_of(*server)};
            caller.write(get);
            auto const request = take_request();
            if (started)
            {
                http::start_answer(*server, request.id, {});
                http::send_bytes(*server, request.id, "part");
                read_until(caller, "part\r\n");
            }
            reset ? caller.reset() : caller.close();
            auto const cpu = std::clock();
            run_until([this] { return seen.left.size() == 1; });
            BOOST_TEST(http::open_exchanges(*server) == 0U);
            BOOST_TEST(double(std::clock() - cpu) / CLOCKS_PER_SEC < 0.2);
        }
    }
}

BOOST_AUTO_TEST_CASE(incomplete_answers_never_look_complete)
{
    raw_caller chunked{http::port_of(*server)};
    chunked.write(get);
    auto request = take_request();
    http::start_answer(*server, request.id, {});
    http::send_bytes(*server, request.id, "part");
    read_until(chunked, "part\r\n");
    http::break_answer(*server, request.id);
    read_until_closed(chunked);
    BOOST_TEST(!chunked.received.ends_with("0\r\n\r\n"));

    raw_caller counted{http::port_of(*server)};
    counted.write(get);
    request = take_request();
    http::start_answer(*server, request.id, {.length = 9});
    http::send_bytes(*server, request.id, "part");
    http::end_answer(*server, request.id);
    read_until_closed(counted);
    BOOST_TEST(http::open_exchanges(*server) == 0U);
    BOOST_TEST(seen.sent.empty());
}

BOOST_AUTO_TEST_CASE(broken_answers_send_what_is_queued_but_no_end)
{
    raw_caller caller{http::port_of(*server)};
    caller.write(get);
    auto const request = take_request();
    http::start_answer(*server, request.id, {});
    http::send_bytes(*server, request.id, "event: error");
    http::break_answer(*server, request.id);
    read_until_closed(caller);
    BOOST_TEST(caller.received.ends_with("event: error\r\n"));
}

// Guards against bytes that a caller takes for the next answer, and against a
// cut answer that has its stated length.
BOOST_AUTO_TEST_CASE(answer_beyond_its_stated_length_is_cut_before_it)
{
    raw_caller caller{http::port_of(*server)};
    caller.write(get);
    auto const id = take_request().id;
    http::start_answer(*server, id, {.status = 200, .length = 4});
    http::send_bytes(*server, id, "ab");
    read_until(caller, "ab");
    http::send_bytes(*server, id, "cdefg");
    http::end_answer(*server, id);
    read_until_closed(caller);
    BOOST_TEST(caller.received.ends_with("\r\n\r\nab"), caller.received);
}

BOOST_AUTO_TEST_CASE(answers_that_may_have_no_body_are_not_chunked)
{
    for (int const status : {204, 304})
    {
        raw_caller caller{http::port_of(*server)};
        caller.write(get);
        auto const request = take_request();
        http::start_answer(*server, request.id, {.status = status});
        http::end_answer(*server, request.id);
        read_until(caller, "\r\n\r\n");
        BOOST_TEST((caller.received.find("chunked") == std::string::npos));
    }
}

BOOST_AUTO_TEST_SUITE_END()

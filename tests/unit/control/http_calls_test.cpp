/// Tests of the calls that the operators' program makes.
#include "../http/raw_server.hpp"

#include "control/http_calls.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(http_calls)

// Guards against a program that keeps all bytes of an answer without end.
BOOST_AUTO_TEST_CASE(answer_without_end_is_given_up)
{
    testing::raw_server server{
        {.replies = {
             {.when = "/endless",
              .parts = {"HTTP/1.1 200 OK\r\n\r\n", std::string(1U << 20, 'x')},
              .endless = true},
             {.when = "/sound", .parts = {testing::plain_answer("ready")}}}}};
    endpoint const to{"127.0.0.1", server.port()};
    auto const outcomes =
        control::run_calls({{.to = to, .method = "GET", .target = "/endless"},
                            {.to = to, .method = "GET", .target = "/sound"}},
                           20s);
    BOOST_REQUIRE(outcomes.size() == 2U);
    BOOST_REQUIRE(!outcomes[0].has_value());
    BOOST_TEST(
        (outcomes[0].error().detail == "the answer exceeds the size limit"));
    BOOST_REQUIRE(outcomes[1].has_value());
    BOOST_TEST(outcomes[1].value().body == "ready");
}

BOOST_AUTO_TEST_SUITE_END()

/// A server and its recorded events, for tests with callers that write any
/// bytes.
#pragma once

#include "http/server.hpp"
#include "raw_caller.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace bramleyarch::testing
{

using namespace std::chrono_literals;

/// What a server has reported.
struct recording
{
    std::vector<http::request_received> requests;
    std::vector<http::request_refused> refused;
    std::vector<http::exchange_id> sent;
    std::vector<http::exchange_id> left;
    std::size_t taken = 0;
    std::size_t connections = 0;
    std::size_t connections_refused = 0;
};

inline void record(recording& into, http::server_event event)
{
    if (auto* e = std::get_if<http::request_received>(&event))
        into.requests.push_back(std::move(*e));
    if (auto* e = std::get_if<http::request_refused>(&event))
        into.refused.push_back(std::move(*e));
    if (auto* e = std::get_if<http::answer_sent>(&event))
        into.sent.push_back(e->id);
    if (auto* e = std::get_if<http::caller_left>(&event))
        into.left.push_back(e->id);
    if (auto* e = std::get_if<http::bytes_taken>(&event))
        into.taken += e->bytes;
    if (std::holds_alternative<http::connection_accepted>(event))
        ++into.connections;
    if (std::holds_alternative<http::connection_refused>(event))
        ++into.connections_refused;
}

/// A server whose events are recorded, and which runs while a test waits.
struct server_fixture
{
    recording seen;
    http::server_ptr server =
        http::make_server({.on_event = [this](http::server_event e)
                           { record(seen, std::move(e)); },
                           .listen = {"127.0.0.1", 0},
                           .max_connections = 20,
                           .max_body_bytes = 100'000,
                           .head_limit = 300ms,
                           .body_limit = 300ms,
                           .write_limit = 400ms})
            .value();

    template <class Condition>
    void run_until(Condition done)
    {
        auto const limit = std::chrono::steady_clock::now() + 20s;
        while (!done() && std::chrono::steady_clock::now() < limit)
            http::wait(*server, 5ms);
        BOOST_REQUIRE(done());
    }

    void run_for(duration time)
    {
        auto const limit = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < limit)
            http::wait(*server, limit - std::chrono::steady_clock::now());
    }

    http::request_received take_request()
    {
        run_until([this] { return !seen.requests.empty(); });
        auto request = std::move(seen.requests.front());
        seen.requests.erase(seen.requests.begin());
        return request;
    }

    http::request_refused take_refusal()
    {
        run_until([this] { return !seen.refused.empty(); });
        auto refusal = std::move(seen.refused.front());
        seen.refused.erase(seen.refused.begin());
        return refusal;
    }

    void read_until(raw_caller& caller, std::string const& end)
    {
        run_until(
            [&]
            {
                caller.poll();
                return caller.received.ends_with(end);
            });
    }

    void read_until_closed(raw_caller& caller)
    {
        run_until(
            [&]
            {
                caller.poll();
                return caller.closed;
            });
    }
};

inline std::string const get = "GET /stock?part=a%26b&n=1+2 HTTP/1.1\r\n"
                               "host: x\r\nX-Chat-Id: c1\r\n\r\n";

inline std::string post(std::string const& body)
{
    return "POST /book HTTP/1.1\r\nhost: x\r\ncontent-length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace bramleyarch::testing

/// Fixture for tests of the HTTP client against a scripted server.
#pragma once

#include "http/client.hpp"
#include "raw_server.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bramleyarch::test
{

using namespace std::chrono_literals;

/// Collects what a client reports about its requests.
struct recording
{
    std::vector<std::uint64_t> sent;
    std::optional<http::response_head> head;
    std::string body;
    std::size_t body_events = 0;
    std::size_t ends = 0;
    bool ended_by_close = false;
    std::vector<http::response_failed> failures;

    [[nodiscard]] bool over() const
    {
        return ends + failures.size() > 0;
    }
};

inline void record(recording& into, http::client_event event)
{
    if (auto* e = std::get_if<http::request_sent>(&event))
        into.sent.push_back(e->id);
    if (auto* e = std::get_if<http::response_head>(&event))
        into.head = std::move(*e);
    if (auto* e = std::get_if<http::response_bytes>(&event))
    {
        into.body += e->bytes;
        ++into.body_events;
    }
    if (auto* e = std::get_if<http::response_end>(&event))
    {
        ++into.ends;
        into.ended_by_close = e->by_close;
    }
    if (auto* e = std::get_if<http::response_failed>(&event))
        into.failures.push_back(std::move(*e));
}

/// A client on a loop of its own, and what it reports.
struct client_fixture
{
    recording seen;
    std::vector<http::server_checked> checked;
    http::client_ptr client =
        http::make_client({.on_event = [this](http::client_event e)
                           { record(seen, std::move(e)); },
                           .on_checked = [this](http::server_checked found)
                           { checked.push_back(found); }})
            .value();

    template <class Condition>
    void run_until(Condition done)
    {
        auto const limit = std::chrono::steady_clock::now() + 20s;
        while (!done() && std::chrono::steady_clock::now() < limit)
            http::wait(*client, 100ms);
        BOOST_REQUIRE(done());
    }

    /// Runs for `time`, to see that nothing more happens.
    void run_for(duration time)
    {
        auto const limit = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < limit)
            http::wait(*client, limit - std::chrono::steady_clock::now());
    }

    void finish()
    {
        run_until([this] { return seen.over(); });
        run_for(10ms);
        BOOST_TEST(seen.ends + seen.failures.size() == 1U);
    }
};

inline http::client_request request_to(std::uint16_t port,
                                       std::string body = "order")
{
    return {
        .id = 7,
        .to = {"127.0.0.1", port},
        .method = "POST",
        .target = "/v1/book?bin=4%2F5",
        .headers = {{"content-type", "text/plain"}, {"idempotency-key", "k1"}},
        .body = std::make_shared<std::string const>(std::move(body))};
}

inline std::string chunk(std::string const& bytes)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

inline std::string const chunked_head =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    "transfer-encoding: chunked\r\n\r\n";

} // namespace bramleyarch::test

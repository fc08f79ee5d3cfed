#include "control/http_calls.hpp"

#include "http/client.hpp"

#include <chrono>
#include <optional>

namespace bramleyarch::control
{

namespace
{

/// Longest body of an answer; many times a configuration.
constexpr std::size_t max_answer_bytes = 16U << 20;

/// A call on its way.
struct running_call
{
    http_answer answer;
    bool sent = false;
    std::optional<result<http_answer>> outcome;
};

void handle(running_call& call, http::request_sent const&)
{
    call.sent = true;
}

void handle(running_call& call, http::response_head const& head)
{
    call.answer.status = head.status;
}

void handle(running_call& call, http::response_bytes const& bytes)
{
    if (call.outcome)
        return;
    call.answer.body += bytes.bytes;
    if (call.answer.body.size() <= max_answer_bytes)
        return;
    call.answer = {};
    call.outcome =
        fail(error_kind::platform_timeout, "the answer exceeds the size limit");
}

void handle(running_call& call, http::response_end const&)
{
    if (!call.outcome)
        call.outcome = std::move(call.answer);
}

void handle(running_call& call, http::response_failed const& failed)
{
    if (call.outcome)
        return;
    auto const kind = failed.sent || call.sent
                          ? error_kind::platform_timeout
                          : error_kind::platform_unavailable;
    call.outcome = fail(kind, failed.cause.detail);
}

bool all_done(std::vector<running_call> const& calls)
{
    for (auto const& call : calls)
    {
        if (!call.outcome)
            return false;
    }
    return true;
}

http::client_request make_request(http_call const& call, std::uint64_t id,
                                  duration limit)
{
    http::client_request request{.id = id,
                                 .to = call.to,
                                 .method = call.method,
                                 .target = call.target,
                                 .connect_limit = limit,
                                 .silence_limit = limit};
    if (call.body.empty())
        return request;
    request.headers = {{"content-type", "application/json"}};
    request.body = std::make_shared<std::string const>(call.body);
    return request;
}

std::vector<result<http_answer>> outcomes_of(std::vector<running_call> running)
{
    std::vector<result<http_answer>> outcomes;
    for (auto& call : running)
    {
        auto const kind = call.sent ? error_kind::platform_timeout
                                    : error_kind::platform_unavailable;
        if (!call.outcome)
            call.outcome = fail(kind, "no answer in time");
        outcomes.push_back(std::move(*call.outcome));
    }
    return outcomes;
}

} // namespace

std::vector<result<http_answer>> run_calls(std::vector<http_call> const& calls,
                                           duration limit)
{
    std::vector<running_call> running(calls.size());
    auto const on_event = [&running](http::client_event const& event) {
        std::visit([&](auto const& e) { handle(running.at(e.id - 1), e); },
                   event);
    };
    auto const client = http::make_client({.on_event = on_event});
    if (!client)
    {
        for (auto& call : running)
            call.outcome =
                fail(error_kind::platform_unavailable, client.error().detail);
        return outcomes_of(std::move(running));
    }
    auto const end = std::chrono::steady_clock::now() + limit;
    for (std::size_t i = 0; i < calls.size(); ++i)
        http::open(*client.value(), make_request(calls[i], i + 1, limit));
    while (!all_done(running))
    {
        auto const left = end - std::chrono::steady_clock::now();
        if (left <= duration::zero())
            break;
        http::wait(*client.value(), left);
    }
    return outcomes_of(std::move(running));
}

} // namespace bramleyarch::control

#include "services/front/answers.hpp"

#include "common/request_id_text.hpp"

#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace bramleyarch::services
{

namespace
{

/// Taken bytes that are told to routing at once; well below the bytes that
/// may be under way.
constexpr std::uint32_t taken_step_bytes = initial_credit_bytes / 8;

std::optional<std::uint64_t> length_of(std::vector<header_field> const& headers)
{
    auto const text = find_header(headers, "content-length");
    std::uint64_t length = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, length);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return length;
}

open_request* request_of(front_state& state, attempt_id const& attempt)
{
    auto const found = state.requests.find(attempt.request);
    return found == state.requests.end() ? nullptr : &found->second;
}

void forget(front_state& state, open_request const& open)
{
    auto const id = open.id;
    state.ids.erase(open.exchange);
    state.requests.erase(id);
}

/// Ends an answer under way so that it can't be taken for a whole one.
void break_off(front_state& state, open_request const& open, problem const& p)
{
    // Another dialect's streams have no event of this kind.
    if (open.is_event_stream && !state.options.dialect.refuse)
    {
        http::send_bytes(
            *state.server, open.exchange,
            fmt::format("event: error\ndata: {}\n\n", problem_json(p)));
        http::break_answer(*state.server, open.exchange);
    }
    else
    {
        http::abort_answer(*state.server, open.exchange);
    }
}

/// A part of the answer is missing: nothing that follows can be sent.
void lose_answer(front_state& state, open_request const& open,
                 std::string detail)
{
    count(state.counted, counter::sequence_gaps);
    send(state.routing, cancel_request{open.id});
    break_off(state, open,
              {.cause = {error_kind::answer_incomplete, std::move(detail)},
               .known = outcome::failed,
               .request = open.id});
    forget(state, open);
}

bool is_late(open_request const& open, attempt_id const& attempt)
{
    return open.head_sent && attempt != open.attempt;
}

void pass(front_state& state, open_request& open, answer_head head)
{
    if (open.head_sent)
    {
        count(state.counted, counter::late_answers_dropped);
        return;
    }
    open.head_sent = true;
    open.attempt = head.attempt;
    open.is_event_stream = find_header(head.headers, "content-type")
                               .starts_with("text/event-stream");
    auto const length = length_of(head.headers);
    if (state.options.dialect.prepare_head)
    {
        state.options.dialect.prepare_head(head);
    }
    else
    {
        head.headers.push_back({"x-bramley-server", head.server.value});
        head.headers.push_back({"x-request-id", to_text(open.id)});
    }
    http::start_answer(*state.server, open.exchange,
                       {.status = head.status,
                        .headers = std::move(head.headers),
                        .length = length});
}

void pass(front_state& state, open_request& open, answer_chunk const& chunk)
{
    if (is_late(open, chunk.attempt) || chunk.sequence < open.chunks)
    {
        count(state.counted, counter::late_answers_dropped);
        return;
    }
    if (!open.head_sent || chunk.sequence > open.chunks)
    {
        lose_answer(state, open, "a part of the answer is missing");
        return;
    }
    ++open.chunks;
    open.bytes += chunk.bytes.size();
    http::send_bytes(*state.server, open.exchange, chunk.bytes);
}

void pass(front_state& state, open_request& open, answer_end const& end)
{
    if (is_late(open, end.attempt))
    {
        count(state.counted, counter::late_answers_dropped);
        return;
    }
    if (!open.head_sent || end.chunks != open.chunks || end.bytes != open.bytes)
    {
        lose_answer(state, open, "the answer is shorter than it says");
        return;
    }
    http::end_answer(*state.server, open.exchange);
    forget(state, open);
}

void pass(front_state& state, open_request& open, answer_error error)
{
    problem const p{.cause = std::move(error.cause),
                    .known = error.known,
                    .retry_after = error.retry_after,
                    .request = open.id};
    if (open.head_sent)
        break_off(state, open, p);
    else
        refuse(state, open.exchange, p);
    forget(state, open);
}

} // namespace

void pass_answer(front_state& state, answer_message message)
{
    auto const attempt =
        std::visit([](auto const& part) { return part.attempt; }, message);
    auto* const open = request_of(state, attempt);
    if (!open)
    {
        count(state.counted, counter::late_answers_dropped);
        return;
    }
    std::visit([&](auto&& part)
               { pass(state, *open, std::forward<decltype(part)>(part)); },
               std::move(message));
}

void refuse(front_state& state, http::exchange_id exchange, problem const& p)
{
    if (state.options.dialect.refuse)
    {
        auto text = state.options.dialect.refuse(p);
        http::send_answer(
            *state.server, exchange,
            {.status = text.status, .headers = std::move(text.headers)},
            text.body);
        return;
    }
    http::send_answer(*state.server, exchange,
                      {.status = status_of(p), .headers = problem_headers(p)},
                      problem_json(p));
}

void note_taken(front_state& state, http::bytes_taken const& taken)
{
    auto const found = state.ids.find(taken.id);
    if (found == state.ids.end())
        return;
    auto& open = state.requests.at(found->second);
    open.taken += static_cast<std::uint32_t>(taken.bytes);
    if (open.taken < taken_step_bytes)
        return;
    send(state.routing,
         answer_bytes_consumed{.request = open.id,
                               .bytes = std::exchange(open.taken, 0)});
}

void note_left(front_state& state, http::exchange_id exchange)
{
    count(state.counted, counter::callers_gone);
    auto const found = state.ids.find(exchange);
    if (found == state.ids.end())
        return;
    send(state.routing, cancel_request{found->second});
    forget(state, state.requests.at(found->second));
}

} // namespace bramleyarch::services

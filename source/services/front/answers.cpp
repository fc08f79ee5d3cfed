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

/// Consumed bytes are reported to the routing service in steps of at least
/// this part of the bytes that may be in flight.
constexpr std::uint32_t consumed_report_part = 8;

/// Returns std::nullopt if the content length is missing or malformed.
std::optional<std::uint64_t>
parse_content_length(std::vector<header_field> const& headers)
{
    auto const text = find_header(headers, "content-length");
    std::uint64_t length = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, length);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return length;
}

/// Returns null if the request has ended.
open_request* find_request(front_state& state, attempt_id const& attempt)
{
    auto const found = state.requests.find(attempt.request);
    return found == state.requests.end() ? nullptr : &found->second;
}

void remove_request(front_state& state, open_request const& open)
{
    auto const id = open.id;
    state.request_ids.erase(open.exchange);
    state.requests.erase(id);
}

/// Returns whether an event can be added to an answer whose head was sent: not
/// inside an event, which it would become a part of, and not in a body of
/// stated length, which it would fill up. Dialects have no error event.
bool can_add_error_event(front_state const& state, open_request const& open)
{
    return open.is_event_stream && !open.has_length &&
           !decisions::is_inside_event(open.cursor) &&
           !state.options.dialect.make_refusal;
}

/// Ends an answer whose head was sent, so that the caller cannot mistake it
/// for a complete one. Event streams get a last event with the problem where
/// one can be added.
void end_incomplete_answer(front_state& state, open_request const& open,
                           problem_details const& problem)
{
    if (can_add_error_event(state, open))
        http::send_bytes(
            *state.server, open.exchange,
            fmt::format("event: error\ndata: {}\n\n", problem_json(problem)));
    // What the caller's connection has not taken yet still belongs to it.
    http::break_answer(*state.server, open.exchange);
}

/// Cancels a request and ends its answer after a part of it got lost, because
/// no later part can be sent without a gap.
void fail_incomplete_answer(front_state& state, open_request const& open,
                            std::string detail)
{
    count(state.telemetry_sink, counter::sequence_gaps);
    send(state.routing, cancel_request{open.id});
    end_incomplete_answer(
        state, open,
        {.cause = {error_kind::answer_incomplete, std::move(detail)},
         .known_outcome = outcome::failed,
         .request = open.id});
    remove_request(state, open);
}

/// Whether a part belongs to another attempt than the one that is forwarded.
bool is_from_other_attempt(open_request const& open, attempt_id const& attempt)
{
    return open.head_sent && attempt != open.attempt;
}

void forward_part(front_state& state, open_request& open, answer_head head)
{
    if (open.head_sent)
    {
        count(state.telemetry_sink, counter::late_answers_dropped);
        return;
    }
    open.head_sent = true;
    open.attempt = head.attempt;
    open.is_event_stream = find_header(head.headers, "content-type")
                               .starts_with("text/event-stream");
    auto const length = parse_content_length(head.headers);
    open.has_length = length.has_value();
    if (state.options.dialect.rewrite_head)
    {
        state.options.dialect.rewrite_head(head);
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

void forward_part(front_state& state, open_request& open,
                  answer_chunk const& chunk)
{
    if (is_from_other_attempt(open, chunk.attempt) ||
        chunk.sequence < open.chunks)
    {
        count(state.telemetry_sink, counter::late_answers_dropped);
        return;
    }
    if (!open.head_sent || chunk.sequence > open.chunks)
    {
        fail_incomplete_answer(state, open, "a chunk of the answer is missing");
        return;
    }
    ++open.chunks;
    open.bytes += chunk.bytes.size();
    if (open.is_event_stream)
        decisions::follow_events(open.cursor, chunk.bytes);
    http::send_bytes(*state.server, open.exchange, chunk.bytes);
}

void forward_part(front_state& state, open_request& open, answer_end const& end)
{
    if (is_from_other_attempt(open, end.attempt))
    {
        count(state.telemetry_sink, counter::late_answers_dropped);
        return;
    }
    if (!open.head_sent || end.chunks != open.chunks || end.bytes != open.bytes)
    {
        fail_incomplete_answer(state, open,
                               "the answer does not have its stated number of "
                               "chunks and bytes");
        return;
    }
    http::end_answer(*state.server, open.exchange);
    remove_request(state, open);
}

void forward_part(front_state& state, open_request& open, answer_error error)
{
    problem_details const problem{.cause = std::move(error.cause),
                                  .known_outcome = error.known,
                                  .retry_after = error.retry_after,
                                  .request = open.id};
    if (open.head_sent)
        end_incomplete_answer(state, open, problem);
    else
        refuse(state, open.exchange, problem);
    remove_request(state, open);
}

} // namespace

void forward_answer(front_state& state, answer_message message)
{
    auto const attempt =
        std::visit([](auto const& part) { return part.attempt; }, message);
    auto* const open = find_request(state, attempt);
    if (!open)
    {
        count(state.telemetry_sink, counter::late_answers_dropped);
        return;
    }
    std::visit(
        [&](auto&& part)
        { forward_part(state, *open, std::forward<decltype(part)>(part)); },
        std::move(message));
}

void refuse(front_state& state, http::exchange_id exchange,
            problem_details const& problem)
{
    if (state.options.dialect.make_refusal)
    {
        auto response = state.options.dialect.make_refusal(problem);
        http::send_answer(
            *state.server, exchange,
            {.status = response.status, .headers = std::move(response.headers)},
            response.body);
        return;
    }
    http::send_answer(
        *state.server, exchange,
        {.status = status_of(problem), .headers = problem_headers(problem)},
        problem_json(problem));
}

void record_consumed_bytes(front_state& state,
                           http::bytes_taken const& consumed)
{
    auto const found = state.request_ids.find(consumed.id);
    if (found == state.request_ids.end())
        return;
    auto& open = state.requests.at(found->second);
    open.unreported_bytes += static_cast<std::uint32_t>(consumed.bytes);
    if (open.unreported_bytes <
        state.options.memory.answer_credit / consumed_report_part)
        return;
    send(state.routing, answer_bytes_consumed{
                            .request = open.id,
                            .bytes = std::exchange(open.unreported_bytes, 0)});
}

void cancel_abandoned_request(front_state& state, http::exchange_id exchange)
{
    count(state.telemetry_sink, counter::callers_gone);
    auto const found = state.request_ids.find(exchange);
    if (found == state.request_ids.end())
        return;
    send(state.routing, cancel_request{found->second});
    remove_request(state, state.requests.at(found->second));
}

} // namespace bramleyarch::services

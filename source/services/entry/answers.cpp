#include "services/entry/entry_parts.hpp"

#include "common/request_id_text.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

constexpr int first_failure_status = 500;

/// All parts of an answer bear this number, whichever attempt they came from.
constexpr std::uint32_t answer_number = 1;

attempt_id answer_id(entry_request const& r)
{
    return {r.request.id, answer_number};
}

/// The current attempt is over; its server has one request less.
void release_server(entry_state& state, entry_context& ctx, entry_request& r)
{
    cancel(ctx, std::exchange(r.silence_timer, 0));
    if (auto* const view = server_of(state, r); view && view->own > 0)
        --view->own;
    r.server = {};
}

void pass_head(entry_state& state, entry_context& ctx, entry_request& r)
{
    auto head = std::move(*r.head);
    r.head.reset();
    r.stage = request_stage::answering;
    sample(state.counted, latency_kind::first_byte,
           now(ctx) - r.request.terms.received);
    r.reply(answer_head{.attempt = answer_id(r),
                        .status = head.status,
                        .headers = std::move(head.headers),
                        .server = r.server});
}

void pass_bytes(entry_request& r, std::string bytes)
{
    if (bytes.empty())
        return;
    auto const size = bytes.size();
    r.reply(answer_chunk{.attempt = answer_id(r),
                         .sequence = r.chunks++,
                         .bytes = std::move(bytes)});
    r.bytes += size;
}

/// Streams that may go on elsewhere are passed on in whole events.
std::string passable(entry_request& r, std::string bytes)
{
    if (!r.request.terms.resumable)
        return bytes;
    return decisions::extract_events(r.cursor, bytes);
}

void finish(entry_state& state, entry_context& ctx, entry_request& r)
{
    auto const at = now(ctx);
    count(state.counted, counter::requests_answered);
    sample(state.counted, latency_kind::whole_answer,
           at - r.request.terms.received);
    log(state.counted, log_severity::info, "request_answered",
        fmt::format("request={} server={} attempts={} chunks={} bytes={} "
                    "took_ms={} outcome=answered",
                    to_text(r.request.id), r.server.value, r.sent, r.chunks,
                    r.bytes, to_ms(at - r.request.terms.received)));
    clear_suspicion(state, r);
    r.reply(answer_end{
        .attempt = answer_id(r), .chunks = r.chunks, .bytes = r.bytes});
    forget(state, ctx, r);
}

bool is_genuine_success(int status)
{
    return status >= 200 && status < 300;
}

/// An answer that another server may better: a failure of a request that may
/// run again.
bool is_worth_another(entry_state& state, entry_request const& r, time_point at)
{
    return r.request.kind == request_kind::idempotent &&
           r.sent < r.request.terms.max_attempts &&
           time_left(state, r, at) > state.options.deadline_margin &&
           has_alternative(state, r, at);
}

void on_event(entry_state& state, entry_context&, entry_request& r,
              backend_send_started const&)
{
    ++r.sent;
    count(state.counted, counter::offers_sent);
}

void refuse_answer(entry_state& state, entry_context& ctx, entry_request& r,
                   answer_kind standing, int status)
{
    auto* const view = server_of(state, r);
    if (view && standing == answer_kind::misdirected)
        view->misdirected = true;
    if (view && standing == answer_kind::foreign)
        note_failure(state, *view, now(ctx), "foreign_answer");
    if (standing == answer_kind::foreign)
        r.may_have_run = true;
    // What did not run took no place of another attempt.
    if (standing == answer_kind::misdirected)
        --r.sent;
    auto const detail = fmt::format("server {} answered {} ({})",
                                    r.server.value, status, to_name(standing));
    log(state.counted, log_severity::info, "attempt_failed",
        fmt::format("request={} attempt={} server={} status={} standing={}",
                    to_text(r.request.id), r.attempt, r.server.value, status,
                    to_name(standing)));
    drop_attempt(state, ctx, r);
    try_again(state, ctx, r,
              {standing == answer_kind::foreign ? error_kind::server_protocol
                                                : error_kind::queue_full,
               detail});
}

void on_event(entry_state& state, entry_context& ctx, entry_request& r,
              backend_head head)
{
    auto const facts =
        state.options.dialect.parse_head(r.request, head.status, head.headers);
    auto* const view = server_of(state, r);
    if (view && facts.load)
    {
        view->stated = facts.load;
        view->stated_at = now(ctx);
    }
    if (facts.kind != answer_kind::genuine)
    {
        refuse_answer(state, ctx, r, facts.kind, head.status);
        return;
    }
    r.may_have_run = true;
    cancel(ctx, std::exchange(r.silence_timer, 0));
    if (view)
        note_answer(*view);
    if (r.stage == request_stage::answering)
    {
        // A stream that goes on: the caller has the head of its first server.
        if (!is_genuine_success(head.status))
            refuse_answer(state, ctx, r, answer_kind::foreign, head.status);
        return;
    }
    if (head.status >= first_failure_status &&
        is_worth_another(state, r, now(ctx)) &&
        decisions::acquire_retry(state.retries[r.request.service],
                                 state.options.retries, fleet_of(state),
                                 now(ctx)))
    {
        log(state.counted, log_severity::info, "attempt_failed",
            fmt::format("request={} attempt={} server={} status={}",
                        to_text(r.request.id), r.attempt, r.server.value,
                        head.status));
        drop_attempt(state, ctx, r);
        send_attempt(state, ctx, r);
        return;
    }
    r.head = std::move(head);
}

void on_event(entry_state& state, entry_context& ctx, entry_request& r,
              backend_chunk chunk)
{
    auto const size = chunk.bytes.size();
    if (r.stage == request_stage::sending && !r.request.terms.streaming)
    {
        r.held += chunk.bytes;
        if (r.held.size() <= state.options.max_held_answer_bytes)
        {
            send(state.backend,
                 grant_backend_credit{{r.request.id, r.attempt},
                                      static_cast<std::uint32_t>(size)});
            return;
        }
        chunk.bytes = std::exchange(r.held, {});
    }
    else if (r.request.terms.streaming)
    {
        chunk.bytes = passable(r, std::move(chunk.bytes));
    }
    // Bytes that are held or dropped here are not the caller's to take.
    if (size > chunk.bytes.size())
        send(state.backend,
             grant_backend_credit{
                 {r.request.id, r.attempt},
                 static_cast<std::uint32_t>(size - chunk.bytes.size())});
    if (chunk.bytes.empty())
        return;
    if (r.head)
        pass_head(state, ctx, r);
    pass_bytes(r, std::move(chunk.bytes));
}

void on_event(entry_state& state, entry_context& ctx, entry_request& r,
              backend_end const&)
{
    if (r.head)
        pass_head(state, ctx, r);
    if (!r.held.empty())
        pass_bytes(r, std::exchange(r.held, {}));
    if (!r.cursor.partial.empty())
        pass_bytes(r, std::exchange(r.cursor.partial, {}));
    finish(state, ctx, r);
}

void on_event(entry_state& state, entry_context& ctx, entry_request& r,
              backend_failed const& failed)
{
    auto const at = now(ctx);
    auto* const view = server_of(state, r);
    if (failed.sent)
        r.may_have_run = true;
    // A kept connection that the server had closed says nothing of the server.
    if (view && !failed.kept_connection)
    {
        note_failure(state, *view, at, to_name(failed.cause.kind));
        if (failed.sent && failed.cause.kind == error_kind::server_closed)
            suspect_request(state, r, *view, at);
    }
    log(state.counted, log_severity::info, "attempt_failed",
        fmt::format("request={} attempt={} server={} reason={} detail=\"{}\" "
                    "sent={} kept_connection={} after_ms={}",
                    to_text(r.request.id), r.attempt, r.server.value,
                    to_name(failed.cause.kind), failed.cause.detail,
                    failed.sent, failed.kept_connection,
                    to_ms(at - r.attempt_at)));
    if (failed.kept_connection && !r.tried.empty())
        r.tried.pop_back();
    release_server(state, ctx, r);
    bool const started = r.stage == request_stage::answering;
    if (started && !r.request.terms.resumable)
    {
        end_request(state, ctx, r, failed.cause);
        return;
    }
    if (started)
        count(state.counted, counter::resumes);
    try_again(state, ctx, r, failed.cause);
}

/// Probes belong to no attempt; they are taken before.
void on_event(entry_state&, entry_context&, entry_request&,
              server_probed const&)
{
}

attempt_id attempt_of(attempt_event const& event)
{
    return std::visit(
        [](auto const& e) -> attempt_id
        {
            if constexpr (requires { e.attempt; })
                return e.attempt;
            else
                return {};
        },
        event);
}

outcome outcome_of(entry_request const& r)
{
    if (r.stage == request_stage::answering)
        return outcome::failed;
    // Bytes of an attempt that is under way may be leaving just now.
    bool const under_way = !r.server.empty();
    return r.may_have_run || under_way ? outcome::unknown : outcome::not_run;
}

counter counter_of(outcome known)
{
    switch (known)
    {
    case outcome::not_run:
        return counter::requests_not_run;
    case outcome::unknown:
        return counter::requests_unknown;
    default:
        return counter::requests_failed;
    }
}

} // namespace

void take_attempt_event(entry_state& state, entry_context& ctx,
                        attempt_event event)
{
    if (auto const* const probed = std::get_if<server_probed>(&event))
    {
        take_probe(state, ctx, *probed);
        return;
    }
    auto const id = attempt_of(event);
    auto const found = state.requests.find(id.request);
    if (found == state.requests.end() || found->second.attempt != id.number ||
        found->second.server.empty())
    {
        count(state.counted, counter::late_answers_dropped);
        return;
    }
    bool const answers = std::holds_alternative<backend_head>(event) ||
                         std::holds_alternative<backend_chunk>(event);
    if (answers)
    {
        found->second.byte_at = now(ctx);
        if (auto* const view = server_of(state, found->second))
            view->heard_at = now(ctx);
    }
    std::visit(
        [&](auto&& e)
        { on_event(state, ctx, found->second, std::forward<decltype(e)>(e)); },
        std::move(event));
}

void end_request(entry_state& state, entry_context& ctx, entry_request& r,
                 error cause, duration retry_after)
{
    auto const known = outcome_of(r);
    count(state.counted, counter_of(known));
    log(state.counted, log_severity::info, "request_ended",
        fmt::format(
            "request={} caller_id={} route={} reason={} detail=\"{}\" "
            "outcome={} attempts={} took_ms={} retry_after_ms={}",
            to_text(r.request.id), field_text(r.request.terms.caller_id),
            r.request.terms.route, to_name(cause.kind), cause.detail,
            to_name(known), r.sent, to_ms(now(ctx) - r.request.terms.received),
            to_ms(retry_after)));
    r.reply(answer_error{.attempt = answer_id(r),
                         .cause = std::move(cause),
                         .known = known,
                         .retry_after = known == outcome::not_run
                                            ? retry_after
                                            : duration::zero()});
    drop_attempt(state, ctx, r);
    forget(state, ctx, r);
}

void forget(entry_state& state, entry_context& ctx, entry_request& r)
{
    if (!r.server.empty())
        release_server(state, ctx, r);
    cancel(ctx, r.silence_timer);
    cancel(ctx, r.deadline_timer);
    auto const id = r.request.id;
    state.requests.erase(id);
}

} // namespace bramleyarch::services

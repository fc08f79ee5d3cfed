/// Ends of attempts and requests.
#include "services/entry/entry_parts.hpp"

#include "common/request_id_text.hpp"

#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

outcome failure_outcome(entry_request const& request)
{
    if (request.stage == request_stage::forwarding_answer)
        return outcome::failed;
    // An attempt in flight may be sending the request at this moment.
    bool const in_flight = !request.current_server.empty();
    return request.may_have_run || in_flight ? outcome::unknown
                                             : outcome::not_run;
}

counter outcome_counter(outcome known)
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

void release_attempt(entry_state& state, entry_context& ctx,
                     entry_request& request)
{
    record_rollout_silence(state, request, now(ctx));
    cancel(ctx, std::exchange(request.silence_timer, 0));
    if (auto* const server = find_current_server(state, request);
        server && server->local_in_flight > 0)
        --server->local_in_flight;
    record_attempt_end(state, ctx, request);
    request.current_server = {};
}

void complete_request(entry_state& state, entry_context& ctx,
                      entry_request& request, bool by_close)
{
    auto const at = now(ctx);
    auto const& terms = request.routed.terms;
    record_rollout_end(state, request, false, at);
    count(state.telemetry_sink, counter::requests_answered);
    sample(state.telemetry_sink, latency_kind::whole_answer,
           at - terms.received);
    log(state.telemetry_sink, log_severity::info, "request_answered",
        fmt::format("request={} server={} attempts={} chunks={} bytes={} "
                    "max_tokens={} first_byte_ms={} took_ms={} by_close={} "
                    "outcome=answered",
                    to_text(request.routed.id), request.current_server.value,
                    request.sent_attempts, request.forwarded_chunks,
                    request.forwarded_bytes, terms.answer_tokens,
                    to_ms(request.first_byte_at - terms.received),
                    to_ms(at - terms.received), by_close));
    if (is_success(request.attempt_status))
        decisions::record_answer_time(
            state.answer_times, terms.route,
            {.took = at - terms.received,
             .first_byte = request.first_byte_at - terms.received,
             .max_tokens = terms.answer_tokens},
            at);
    record_whole_answer(state, request, by_close, at);
    request.reply(answer_end{.attempt = answer_id(request),
                             .chunks = request.forwarded_chunks,
                             .bytes = request.forwarded_bytes});
    remove_request(state, ctx, request);
}

void fail_request(entry_state& state, entry_context& ctx,
                  entry_request& request, error cause, duration retry_after)
{
    auto const known = failure_outcome(request);
    if (cause.kind == error_kind::deadline_exceeded)
        record_rollout_end(state, request, true, now(ctx));
    count(state.telemetry_sink, outcome_counter(known));
    log(state.telemetry_sink, log_severity::info, "request_ended",
        fmt::format("request={} caller_id={} route={} reason={} detail=\"{}\" "
                    "outcome={} attempts={} chunks={} took_ms={} "
                    "retry_after_ms={}",
                    to_text(request.routed.id),
                    field_text(request.routed.terms.caller_id),
                    request.routed.terms.route, to_name(cause.kind),
                    cause.detail, to_name(known), request.sent_attempts,
                    request.forwarded_chunks,
                    to_ms(now(ctx) - request.routed.terms.received),
                    to_ms(retry_after)));
    request.reply(answer_error{.attempt = answer_id(request),
                               .cause = std::move(cause),
                               .known = known,
                               .retry_after = known == outcome::not_run
                                                  ? retry_after
                                                  : duration::zero()});
    abort_current_attempt(state, ctx, request);
    remove_request(state, ctx, request);
}

void remove_request(entry_state& state, entry_context& ctx,
                    entry_request& request)
{
    if (!request.current_server.empty())
        release_attempt(state, ctx, request);
    remove_from_waiting(state, request);
    cancel(ctx, request.silence_timer);
    cancel(ctx, request.deadline_timer);
    auto const id = request.routed.id;
    state.requests.erase(id);
}

} // namespace bramleyarch::services

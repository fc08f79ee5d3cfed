/// Answers that the caller must not receive.
#include "services/entry/entry_parts.hpp"

#include "common/request_id_text.hpp"

#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

/// Logs an attempt whose answer is not used.
void log_rejected(entry_state& state, entry_request const& request,
                  std::string_view reason, int status)
{
    log(state.telemetry_sink, log_severity::info, "attempt_failed",
        fmt::format("request={} attempt={} server={} status={} standing={} "
                    "answer_bytes={}",
                    to_text(request.routed.id), request.attempt_number,
                    request.current_server.value, status, reason,
                    request.attempt_bytes));
}

} // namespace

void reject_answer(entry_state& state, entry_context& ctx,
                   entry_request& request, answer_kind kind, int status)
{
    auto* const server = find_current_server(state, request);
    if (server && kind == answer_kind::misdirected)
        server->misdirected = true;
    if (server && kind == answer_kind::foreign)
        record_server_failure(state, *server, now(ctx), "foreign_answer");
    if (kind == answer_kind::foreign)
    {
        request.may_have_run = true;
        count(state.telemetry_sink, counter::answers_foreign);
        record_rollout_end(state, request, true, now(ctx));
    }
    // The attempt reached another server and ran nowhere, so it does not count
    // towards the attempt limit.
    if (kind == answer_kind::misdirected)
        --request.sent_attempts;
    auto const detail =
        fmt::format("server {} answered {} ({})", request.current_server.value,
                    status, to_name(kind));
    log_rejected(state, request, to_name(kind), status);
    abort_current_attempt(state, ctx, request);
    retry_or_fail(state, ctx, request,
                  {kind == answer_kind::foreign ? error_kind::server_protocol
                                                : error_kind::queue_full,
                   detail});
}

void reject_continuation(entry_state& state, entry_context& ctx,
                         entry_request& request, std::string_view reason)
{
    bool const restarted =
        request.cursor.continued == decisions::continuation::restarted;
    count(state.telemetry_sink, restarted ? counter::streams_restarted
                                          : counter::streams_not_continued);
    if (auto* const server = find_current_server(state, request))
        record_server_failure(state, *server, now(ctx), reason);
    log_rejected(state, request, reason, request.attempt_status);
    auto detail = fmt::format("server {} did not go on with the stream: {}",
                              request.current_server.value, reason);
    abort_current_attempt(state, ctx, request);
    retry_or_fail(state, ctx, request,
                  {error_kind::server_protocol, std::move(detail)});
}

void count_broken_answer(entry_state& state, backend_failed const& failed)
{
    if (failed.cause.kind == error_kind::server_protocol)
        count(state.telemetry_sink, counter::answers_malformed);
    else if (failed.progress == answer_progress::in_head)
        count(state.telemetry_sink, counter::answers_cut_in_head);
    else if (failed.progress == answer_progress::in_body)
        count(state.telemetry_sink, counter::answers_cut_in_body);
}

} // namespace bramleyarch::services

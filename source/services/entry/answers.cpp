#include "services/entry/entry_parts.hpp"

#include "common/request_id_text.hpp"

#include <fmt/format.h>
#include <optional>
#include <utility>

namespace bramleyarch::services
{

namespace
{

constexpr int min_server_error_status = 500;

/// Returns the ids of a prompt's parts, separated by commas.
std::string prompt_text(std::vector<prompt_part> const& prompt)
{
    std::string text;
    for (auto const& part : prompt)
        text += fmt::format("{}{:x}", text.empty() ? "" : ",", part.id);
    return text;
}

void forward_head(entry_state& state, entry_context& ctx,
                  entry_request& request)
{
    auto head = std::move(*request.buffered_head);
    request.buffered_head.reset();
    request.stage = request_stage::forwarding_answer;
    request.forwarded_status = head.status;
    request.forwarded_type = find_header(head.headers, "content-type");
    // The events of another server may have another length in total.
    if (request.routed.terms.resumable)
        std::erase_if(head.headers, [](header_field const& field)
                      { return field.name == "content-length"; });
    if (request.first_byte_at == time_point{})
        request.first_byte_at = now(ctx);
    sample(state.telemetry_sink, latency_kind::first_byte,
           now(ctx) - request.routed.terms.received);
    request.reply(answer_head{.attempt = answer_id(request),
                              .status = head.status,
                              .headers = std::move(head.headers),
                              .server = request.current_server});
}

void forward_bytes(entry_request& request, std::string bytes)
{
    if (bytes.empty())
        return;
    auto const size = bytes.size();
    request.reply(answer_chunk{.attempt = answer_id(request),
                               .sequence = request.forwarded_chunks++,
                               .bytes = std::move(bytes)});
    request.forwarded_bytes += size;
}

/// Returns the bytes that can be forwarded now. Resumable streams are forwarded
/// in whole events, so that another server can continue them.
std::string extract_forwardable_bytes(entry_request& request, std::string bytes)
{
    if (request.routed.terms.resumable)
        return decisions::extract_events(request.cursor, bytes);
    decisions::follow_events(request.cursor, bytes);
    return bytes;
}

/// Returns whether a server error should be retried at another server instead
/// of being forwarded.
bool should_retry_error(entry_state& state, entry_request const& request,
                        time_point at)
{
    return request.routed.kind == request_kind::idempotent &&
           request.sent_attempts < request.routed.terms.max_attempts &&
           remaining_time(state, request, at) > state.options.deadline_margin &&
           has_untried_server(state, request, at);
}

void handle_event(entry_state& state, entry_context&, entry_request& request,
                  backend_send_started const&)
{
    ++request.sent_attempts;
    count(state.telemetry_sink, counter::offers_sent);
}

/// Returns whether the head is one of the stream that the caller receives.
bool continues_stream(entry_request const& request, backend_head const& head)
{
    return head.status == request.forwarded_status &&
           find_header(head.headers, "content-type") == request.forwarded_type;
}

/// Records what the server of the current attempt announces in its answer. The
/// server may not be listed any more.
void record_announcements(entry_state& state, entry_request const& request,
                          parsed_head const& head, time_point at)
{
    auto& announcements = state.announcements;
    if (head.leaving &&
        decisions::record_leaving(announcements, request.server_run, at))
        log(state.telemetry_sink, log_severity::info, "server_leaves",
            fmt::format("server={}", request.current_server.value));
    if (head.wanted_pause <= duration::zero())
        return;
    decisions::record_pause(announcements, request.server_run,
                            head.wanted_pause, at);
    log(state.telemetry_sink, log_severity::info, "server_wants_pause",
        fmt::format("server={} pause_ms={}", request.current_server.value,
                    to_ms(head.wanted_pause)));
}

void handle_event(entry_state& state, entry_context& ctx,
                  entry_request& request, backend_head head)
{
    auto const parsed = state.options.dialect.parse_head(
        request.routed, head.status, head.headers);
    auto* const server = find_current_server(state, request);
    if (server)
        record_load_report(state, *server, parsed, now(ctx));
    if (parsed.kind != answer_kind::foreign)
        record_announcements(state, request, parsed, now(ctx));
    record_stated_limit(state, request, parsed, now(ctx));
    if (parsed.kind != answer_kind::genuine)
    {
        reject_answer(state, ctx, request, parsed.kind, head.status);
        return;
    }
    request.may_have_run = true;
    request.attempt_status = head.status;
    if (server)
        record_server_answer(*server);
    if (request.stage == request_stage::forwarding_answer)
    {
        // The caller already has the head of the first server's answer.
        if (!continues_stream(request, head))
            reject_continuation(state, ctx, request, "other_head");
        return;
    }
    if (head.status >= min_server_error_status &&
        should_retry_error(state, request, now(ctx)) &&
        decisions::acquire_retry(state.retry_shares[request.routed.service],
                                 state.options.retry_share, router_count(state),
                                 now(ctx)))
    {
        log(state.telemetry_sink, log_severity::info, "attempt_failed",
            fmt::format("request={} attempt={} server={} status={}",
                        to_text(request.routed.id), request.attempt_number,
                        request.current_server.value, head.status));
        record_rollout_end(state, request, true, now(ctx));
        abort_current_attempt(state, ctx, request);
        send_attempt(state, ctx, request);
        return;
    }
    request.buffered_head = std::move(head);
}

/// Returns whether the server sends an event without end.
bool is_event_too_long(entry_state const& state, entry_request const& request)
{
    return request.cursor.partial.size() >
           state.options.max_buffered_answer_bytes;
}

/// Forwards bytes of the answer, after its head.
void forward_answer_bytes(entry_state& state, entry_context& ctx,
                          entry_request& request, std::string bytes)
{
    if (bytes.empty())
        return;
    if (request.buffered_head)
        forward_head(state, ctx, request);
    forward_bytes(request, std::move(bytes));
}

void grant_credit(entry_state& state, entry_request const& request,
                  std::size_t bytes)
{
    send(state.backend,
         grant_backend_credit{{request.routed.id, request.attempt_number},
                              static_cast<std::uint32_t>(bytes)});
}

std::size_t held_bytes(entry_state const& state)
{
    std::size_t bytes = 0;
    for (auto const& [id, request] : state.requests)
        bytes += request.is_held ? request.buffered_body.size() : 0;
    return bytes;
}

/// Keeps bytes of an answer back until it is whole. Fails the request, which
/// removes `request`, if too many bytes are kept back.
void hold_bytes(entry_state& state, entry_context& ctx, entry_request& request,
                std::string const& bytes, std::size_t received)
{
    if (request.first_byte_at == time_point{})
        request.first_byte_at = now(ctx);
    request.buffered_body += bytes;
    if (held_bytes(state) > state.options.max_held_bytes)
        fail_request(state, ctx, request,
                     {error_kind::draining,
                      "the answer is too large to be kept back until it is "
                      "whole"});
    else
        grant_credit(state, request, received);
}

void handle_event(entry_state& state, entry_context& ctx,
                  entry_request& request, backend_chunk chunk)
{
    auto const size = chunk.bytes.size();
    request.attempt_bytes += size;
    record_rollout_first_byte(state, request, now(ctx));
    if (is_success(request.attempt_status) &&
        decisions::record_answer_bytes(request.attempt_answer,
                                       state.crashing_parts.options, now(ctx)))
        clear_prompt_suspects(state, request.routed.terms.prompt, now(ctx));
    if (request.stage == request_stage::awaiting_answer &&
        !request.routed.terms.streaming)
    {
        if (request.is_held)
        {
            hold_bytes(state, ctx, request, chunk.bytes, size);
            return;
        }
        request.buffered_body += chunk.bytes;
        if (request.buffered_body.size() <=
            state.options.max_buffered_answer_bytes)
        {
            grant_credit(state, request, size);
            return;
        }
        chunk.bytes = std::exchange(request.buffered_body, {});
    }
    else if (request.routed.terms.streaming)
    {
        chunk.bytes =
            extract_forwardable_bytes(request, std::move(chunk.bytes));
    }
    if (decisions::is_other_stream(request.cursor))
    {
        reject_continuation(state, ctx, request,
                            to_name(request.cursor.continued));
        return;
    }
    // A body that goes out step by step has begun.
    cancel(ctx, std::exchange(request.silence_timer, 0));
    bool const is_held =
        request.is_held && request.stage == request_stage::awaiting_answer;
    // The caller grants credit only for the bytes that are forwarded to it.
    if (!is_held && size > chunk.bytes.size())
        grant_credit(state, request, size - chunk.bytes.size());
    if (is_event_too_long(state, request))
    {
        count(state.telemetry_sink, counter::events_too_long);
        if (!is_held)
            forward_answer_bytes(state, ctx, request, std::move(chunk.bytes));
        reject_answer(state, ctx, request, answer_kind::foreign,
                      request.attempt_status);
        return;
    }
    if (is_held)
        hold_bytes(state, ctx, request, chunk.bytes, size);
    else
        forward_answer_bytes(state, ctx, request, std::move(chunk.bytes));
}

void handle_event(entry_state& state, entry_context& ctx,
                  entry_request& request, backend_failed const& failed)
{
    auto const at = now(ctx);
    auto* const server = find_current_server(state, request);
    if (failed.sent)
        request.may_have_run = true;
    count_broken_answer(state, failed);
    // A kept connection that the server had closed meanwhile is no failure of
    // the server.
    bool const is_stale =
        failed.kept_connection &&
        at - request.attempt_started_at < state.options.max_stale_close_delay;
    bool const had_no_connection =
        failed.cause.kind == error_kind::too_many_connections;
    if (server && !is_stale && !had_no_connection)
    {
        record_server_failure(state, *server, at, to_name(failed.cause.kind));
        if (failed.sent && failed.cause.kind == error_kind::server_closed)
            record_possible_crash(state, request, *server,
                                  /*is_answered=*/false, at);
    }
    log(state.telemetry_sink, log_severity::info, "attempt_failed",
        fmt::format("request={} attempt={} server={} reason={} detail=\"{}\" "
                    "sent={} kept_connection={} after_ms={} progress={} "
                    "answer_bytes={} prompt={}",
                    to_text(request.routed.id), request.attempt_number,
                    request.current_server.value, to_name(failed.cause.kind),
                    failed.cause.detail, failed.sent, failed.kept_connection,
                    to_ms(at - request.attempt_started_at),
                    to_name(failed.progress), request.attempt_bytes,
                    prompt_text(request.routed.terms.prompt)));
    if (is_stale && !request.tried_servers.empty())
        request.tried_servers.pop_back();
    auto const server_of_attempt = request.current_server;
    if (!is_stale && !had_no_connection)
        record_rollout_end(state, request, true, at);
    release_attempt(state, ctx, request);
    if (request.stage == request_stage::forwarding_answer &&
        can_go_on_elsewhere(request))
        count(state.telemetry_sink, counter::resumes);
    retry_or_fail(state, ctx, request, failed.cause);
    if (failed.cause.kind == error_kind::server_connect_failed)
        confirm_crashes(state, ctx, server_of_attempt);
}

/// Returns why the end of a stream does not make it whole, if it doesn't. A
/// stream whose end is the end of its connection can end anywhere.
std::optional<error> incomplete_stream(entry_request const& request)
{
    if (!request.routed.terms.streaming || !is_success(request.attempt_status))
        return std::nullopt;
    if (decisions::is_inside_event(request.cursor))
        return error{error_kind::server_closed, "the stream ended in an event"};
    bool const resumed_by_caller = request.routed.resume_offset > 0;
    bool const has_events = request.stage == request_stage::forwarding_answer ||
                            !request.buffered_body.empty();
    if (!has_events && !resumed_by_caller)
        return error{error_kind::server_protocol,
                     "the stream ended without an event"};
    return std::nullopt;
}

/// Completes the request, unless the answer is a stream that was broken off.
void handle_event(entry_state& state, entry_context& ctx,
                  entry_request& request, backend_end const& end)
{
    if (request.stage == request_stage::forwarding_answer &&
        request.cursor.continued == decisions::continuation::awaited)
    {
        reject_continuation(state, ctx, request, "no_event");
        return;
    }
    if (auto cause = incomplete_stream(request))
    {
        handle_event(state, ctx, request,
                     backend_failed{.attempt = end.attempt,
                                    .cause = *std::move(cause),
                                    .sent = true,
                                    .progress = answer_progress::in_body});
        return;
    }
    if (request.buffered_head)
        forward_head(state, ctx, request);
    if (!request.buffered_body.empty())
        forward_bytes(request, std::exchange(request.buffered_body, {}));
    if (!request.cursor.partial.empty())
        forward_bytes(request, std::exchange(request.cursor.partial, {}));
    complete_request(state, ctx, request, end.by_close);
}

/// Does nothing: probe results belong to no attempt and are handled in
/// `handle_attempt_event`.
void handle_event(entry_state&, entry_context&, entry_request&,
                  server_probed const&)
{
}

attempt_id attempt_id_of(attempt_event const& event)
{
    return std::visit(
        [](auto const& alternative) -> attempt_id
        {
            if constexpr (requires { alternative.attempt; })
                return alternative.attempt;
            else
                return {};
        },
        event);
}

} // namespace

void handle_attempt_event(entry_state& state, entry_context& ctx,
                          attempt_event event)
{
    if (auto const* const probed = std::get_if<server_probed>(&event))
    {
        handle_probe_result(state, ctx, *probed);
        return;
    }
    auto const id = attempt_id_of(event);
    auto const found = state.requests.find(id.request);
    if (found == state.requests.end() ||
        found->second.attempt_number != id.number ||
        found->second.current_server.empty())
    {
        count(state.telemetry_sink, counter::late_answers_dropped);
        return;
    }
    bool const has_answer_bytes = std::holds_alternative<backend_head>(event) ||
                                  std::holds_alternative<backend_chunk>(event);
    if (has_answer_bytes)
    {
        if (auto* const server = find_current_server(state, found->second))
        {
            record_byte_time(state, *server, found->second, now(ctx));
            server->last_response_at = now(ctx);
        }
        found->second.last_byte_at = now(ctx);
    }
    std::visit(
        [&](auto&& alternative)
        {
            handle_event(state, ctx, found->second,
                         std::forward<decltype(alternative)>(alternative));
        },
        std::move(event));
}

} // namespace bramleyarch::services

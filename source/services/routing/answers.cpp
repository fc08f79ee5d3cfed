#include "services/routing/routing_parts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace bramleyarch::services::routing
{

namespace
{

constexpr std::string_view resumable_header = "x-resumable";
constexpr std::string_view resume_offset_header = "x-resume-offset";

bool is_resumable(answer_head const& head)
{
    auto const text = find_header(head.headers, resumable_header);
    return text == "1" || text == "true";
}

/// Returns whether the answer starts at `offset`. An answer without a stated
/// offset starts at 0.
bool starts_at_offset(answer_head const& head, std::uint64_t offset)
{
    auto const text = find_header(head.headers, resume_offset_header);
    if (text.empty())
        return offset == 0;
    std::uint64_t stated = 0;
    auto const parsed =
        std::from_chars(text.data(), text.data() + text.size(), stated);
    return parsed.ec == std::errc{} && stated == offset;
}

attempt_id attempt_of(owner_reply const& reply)
{
    return std::visit([](auto const& part) { return part.attempt; }, reply);
}

/// Cancels an attempt whose answer is out of order and handles it as failed.
void abort_attempt(routing_state& state, routing_context& ctx,
                   pending_request& pending, std::string detail)
{
    count(state.metrics, counter::sequence_gaps);
    send_to_owner(state, pending, cancel_attempt{current_attempt(pending)});
    handle_attempt_end(state, ctx, pending,
                       {error_kind::answer_incomplete, std::move(detail)},
                       outcome::unknown);
}

/// Returns whether another round of offers may find room: the server is at the
/// load bound, which changes, or its owner no longer accepts requests, and the
/// next update of the members names another one.
bool may_find_room_later(redirect const& reply)
{
    if (reply.cause == error_kind::queue_full)
        return reply.load.in_flight < reply.load.limit;
    return reply.cause == error_kind::no_eligible_server ||
           reply.cause == error_kind::owner_lost ||
           reply.cause == error_kind::draining;
}

void handle_reply(routing_state& state, routing_context& ctx,
                  pending_request& pending, redirect reply)
{
    decisions::record_redirect(pending.latch);
    pending.retry_after = std::max(pending.retry_after, reply.retry_after);
    if (pending.head_sent)
    {
        pending.awaits_owner = true;
        pending.owner = {};
        return;
    }
    pending.may_find_room = pending.may_find_room || may_find_room_later(reply);
    auto const owner = pending.owner;
    detach_from_server(state, pending);
    record_exact_load(state, owner, reply.load, now(ctx));
    bool const idempotent = pending.request.kind == request_kind::idempotent;
    if (decisions::may_offer_again(pending.latch, idempotent))
        offer_to_next_candidate(state, ctx, pending);
    else
        end_with_error(state, ctx, pending,
                       {reply.cause, "redirected after it may have run"},
                       outcome::unknown);
}

void handle_reply(routing_state& state, routing_context& ctx,
                  pending_request& pending, admitted reply)
{
    if (pending.latch.stage != decisions::attempt_stage::offered)
        return;
    decisions::record_admission(pending.latch);
    record_exact_load(state, pending.owner, reply.load, now(ctx));
}

void handle_reply(routing_state& state, routing_context& ctx,
                  pending_request& pending, answer_head head)
{
    if (pending.latch.stage == decisions::attempt_stage::answering)
    {
        abort_attempt(state, ctx, pending, "the server sent a second head");
        return;
    }
    decisions::record_answer_start(pending.latch);
    if (pending.head_sent)
    {
        if (!starts_at_offset(head, pending.request.resume_offset))
            abort_attempt(state, ctx, pending,
                          "the answer did not resume at the offset");
        return;
    }
    sample(state.metrics, latency_kind::first_byte,
           now(ctx) - pending.received);
    pending.head_sent = true;
    pending.resumable = is_resumable(head);
    pending.reported_attempt = head.attempt;
    pending.reply(std::move(head));
}

void handle_reply(routing_state& state, routing_context& ctx,
                  pending_request& pending, answer_chunk chunk)
{
    bool const in_order =
        pending.latch.stage == decisions::attempt_stage::answering &&
        chunk.sequence == pending.attempt_chunks;
    if (!in_order)
    {
        abort_attempt(state, ctx, pending,
                      fmt::format("chunk {} instead of {}", chunk.sequence,
                                  pending.attempt_chunks));
        return;
    }
    ++pending.attempt_chunks;
    pending.attempt_bytes += chunk.bytes.size();
    pending.bytes += chunk.bytes.size();
    chunk.sequence = pending.chunks++;
    chunk.attempt = pending.reported_attempt;
    pending.reply(std::move(chunk));
}

void handle_reply(routing_state& state, routing_context& ctx,
                  pending_request& pending, answer_end end)
{
    bool const complete =
        pending.latch.stage == decisions::attempt_stage::answering &&
        end.chunks == pending.attempt_chunks &&
        end.bytes == pending.attempt_bytes;
    if (!complete)
    {
        abort_attempt(state, ctx, pending,
                      fmt::format("end after {} of {} chunks",
                                  pending.attempt_chunks, end.chunks));
        return;
    }
    end_answered(state, ctx, pending);
}

void handle_reply(routing_state& state, routing_context& ctx,
                  pending_request& pending, answer_error reply)
{
    pending.retry_after = std::max(pending.retry_after, reply.retry_after);
    handle_attempt_end(state, ctx, pending, std::move(reply.cause),
                       reply.known);
}

} // namespace

void handle_owner_reply(routing_state& state, routing_context& ctx,
                        owner_reply_received received)
{
    auto const attempt = attempt_of(received.reply);
    auto* pending = find_pending(state, attempt.request);
    bool const current = pending && attempt == current_attempt(*pending) &&
                         received.origin == pending->owner;
    if (!current)
    {
        count(state.metrics, counter::late_answers_dropped);
        return;
    }
    std::visit(
        [&](auto&& part) {
            handle_reply(state, ctx, *pending,
                         std::forward<decltype(part)>(part));
        },
        std::move(received.reply));
}

} // namespace bramleyarch::services::routing

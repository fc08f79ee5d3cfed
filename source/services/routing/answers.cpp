#include "services/routing/routing_parts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace bramleyarch::services::entry
{

namespace
{

constexpr std::string_view resumable_header = "x-resumable";
constexpr std::string_view resume_offset_header = "x-resume-offset";

bool states_resumable(answer_head const& head)
{
    auto const text = find_header(head.headers, resumable_header);
    return text == "1" || text == "true";
}

/// True when the server states that the answer begins at `offset`; the start
/// need not be stated.
bool resumes_at(answer_head const& head, std::uint64_t offset)
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

/// The owner broke the order of an answer: stop it and treat it as failed.
void break_off(routing_state& state, routing_context& ctx,
               pending_request& pending, std::string detail)
{
    count(state.metrics, counter::sequence_gaps);
    send_to_owner(state, pending, cancel_attempt{current_attempt(pending)});
    attempt_ended(state, ctx, pending,
                  {error_kind::answer_incomplete, std::move(detail)},
                  outcome::unknown);
}

/// Whether another round of offers may end better: the server is at the bound,
/// which moves, or its owner closed it, which the member lists will tell.
bool may_find_room_later(redirect const& reply)
{
    if (reply.cause == error_kind::queue_full)
        return reply.load.in_flight < reply.load.limit;
    return reply.cause == error_kind::no_eligible_server ||
           reply.cause == error_kind::owner_lost ||
           reply.cause == error_kind::draining;
}

void take(routing_state& state, routing_context& ctx, pending_request& pending,
          redirect reply)
{
    decisions::record_redirect(pending.latch);
    pending.retry_after = std::max(pending.retry_after, reply.retry_after);
    if (pending.head_sent)
    {
        pending.awaits_owner = true;
        pending.owner = {};
        return;
    }
    pending.met_bound = pending.met_bound || may_find_room_later(reply);
    auto const owner = pending.owner;
    leave_server(state, pending);
    note_exact_load(state, owner, reply.load, now(ctx));
    bool const idempotent = pending.request.kind == request_kind::idempotent;
    if (decisions::may_offer_again(pending.latch, idempotent))
        offer_next(state, ctx, pending);
    else
        end_with_error(state, ctx, pending,
                       {reply.cause, "redirected after it may have run"},
                       outcome::unknown);
}

void take(routing_state& state, routing_context& ctx, pending_request& pending,
          admitted reply)
{
    if (pending.latch.stage != decisions::attempt_stage::offered)
        return;
    decisions::record_admission(pending.latch);
    note_exact_load(state, pending.owner, reply.load, now(ctx));
}

void take(routing_state& state, routing_context& ctx, pending_request& pending,
          answer_head head)
{
    if (pending.latch.stage == decisions::attempt_stage::answering)
    {
        break_off(state, ctx, pending, "a second head");
        return;
    }
    decisions::record_answer_start(pending.latch);
    if (pending.head_sent)
    {
        if (!resumes_at(head, pending.request.resume_offset))
            break_off(state, ctx, pending, "the answer did not resume");
        return;
    }
    sample(state.metrics, latency_kind::first_byte,
           now(ctx) - pending.received);
    pending.head_sent = true;
    pending.resumable = states_resumable(head);
    pending.shown_attempt = head.attempt;
    pending.reply(std::move(head));
}

void take(routing_state& state, routing_context& ctx, pending_request& pending,
          answer_chunk chunk)
{
    bool const in_order =
        pending.latch.stage == decisions::attempt_stage::answering &&
        chunk.sequence == pending.attempt_chunks;
    if (!in_order)
    {
        break_off(state, ctx, pending,
                  fmt::format("chunk {} instead of {}", chunk.sequence,
                              pending.attempt_chunks));
        return;
    }
    ++pending.attempt_chunks;
    pending.attempt_bytes += chunk.bytes.size();
    pending.bytes += chunk.bytes.size();
    chunk.sequence = pending.chunks++;
    chunk.attempt = pending.shown_attempt;
    pending.reply(std::move(chunk));
}

void take(routing_state& state, routing_context& ctx, pending_request& pending,
          answer_end end)
{
    bool const complete =
        pending.latch.stage == decisions::attempt_stage::answering &&
        end.chunks == pending.attempt_chunks &&
        end.bytes == pending.attempt_bytes;
    if (!complete)
    {
        break_off(state, ctx, pending,
                  fmt::format("end after {} of {} chunks",
                              pending.attempt_chunks, end.chunks));
        return;
    }
    end_answered(state, ctx, pending);
}

void take(routing_state& state, routing_context& ctx, pending_request& pending,
          answer_error reply)
{
    pending.retry_after = std::max(pending.retry_after, reply.retry_after);
    attempt_ended(state, ctx, pending, std::move(reply.cause), reply.known);
}

} // namespace

void take_reply(routing_state& state, routing_context& ctx,
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
        [&](auto&& part)
        { take(state, ctx, *pending, std::forward<decltype(part)>(part)); },
        std::move(received.reply));
}

} // namespace bramleyarch::services::entry

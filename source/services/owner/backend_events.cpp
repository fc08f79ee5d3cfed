#include "services/owner/owner_parts.hpp"

#include <fmt/format.h>

#include <utility>

namespace bramleyarch::services::owning
{

namespace
{

/// Weight of a new sample in the mean time of service.
constexpr int service_samples = 8;

/// Tells the breaker and slow start what a failure says about the server.
void blame_server(owner_state& state, owner_context& ctx, owned_server& server,
                  owned_attempt const& attempt, error_kind kind)
{
    auto& breaker = server.breaker;
    bool opened = false;
    switch (kind)
    {
    case error_kind::server_connect_failed:
    case error_kind::server_closed:
    case error_kind::server_protocol:
        opened = decisions::record_failure(breaker, state.options.breaker,
                                           now(ctx), draw_unit(state));
        break;
    case error_kind::server_silent:
        opened = decisions::record_timeout(breaker, state.options.breaker,
                                           attempt.dispatched, now(ctx),
                                           draw_unit(state));
        break;
    default:
        decisions::record_inconclusive(breaker);
        return;
    }
    constexpr std::uint32_t failures_to_cold = 2;
    // A refused connection: the process is gone, the next one is cold.
    bool const gone = kind == error_kind::server_connect_failed ||
                      breaker.failures >= failures_to_cold;
    if (gone && decisions::reset_to_cold(
                    server.slow_start, decisions::cold_cause::connect_failures))
    {
        note_cold(state, server);
    }
    if (!opened)
        return;
    count(state.metrics, counter::breaker_opened);
    record(state.metrics,
           {.kind = event_kind::breaker_opened,
            .request = attempt.asked.attempt.request,
            .server = server.config.id,
            .cause = fmt::format("{} failures in a row, last: {}",
                                 breaker.failures, to_name(kind))});
    redirect_queue(state, server, error_kind::server_connect_failed);
}

void count_failure(owner_state& state, error_kind kind)
{
    if (kind == error_kind::server_connect_failed)
        count(state.metrics, counter::backend_connect_failed);
    else if (kind == error_kind::server_closed)
        count(state.metrics, counter::backend_closed_early);
    else if (kind == error_kind::server_silent)
        count(state.metrics, counter::backend_silent);
}

void note_answered(owner_state& state, owner_context& ctx, owned_server& server,
                   owned_attempt const& attempt)
{
    auto const took = now(ctx) - attempt.dispatched;
    server.mean_service =
        server.mean_service == duration::zero()
            ? took
            : server.mean_service +
                  (took - server.mean_service) / service_samples;
    if (!decisions::record_answer(server.slow_start))
        return;
    record(state.metrics, {.kind = event_kind::server_warm,
                           .server = server.config.id,
                           .cause = "enough answers completed"});
}

} // namespace

void remember_outcome(owner_state& state, owned_attempt const& attempt,
                      outcome known)
{
    if (!needs_claim(attempt))
        return;
    auto const& request = attempt.asked.request;
    record(state.metrics, {.kind = event_kind::outcome_recorded,
                           .request = attempt.asked.attempt.request,
                           .server = attempt.asked.server,
                           .team = request.team,
                           .cause = std::string{to_name(known)}});
    kernel::send(state.claims, record_outcome{.attempt = attempt.asked.attempt,
                                              .team = request.team,
                                              .key = *request.key,
                                              .known = known});
}

void take_sent(owner_state& state, backend_send_started const& sent)
{
    auto* attempt = find_attempt(state, sent.attempt);
    if (!attempt || attempt->phase != attempt_phase::dispatched)
        return;
    attempt->sent = true;
    record(state.metrics,
           {.kind = event_kind::attempt_sent,
            .request = sent.attempt.request,
            .server = attempt->asked.server,
            .team = attempt->asked.request.team,
            .cause = fmt::format("attempt {}", sent.attempt.number)});
}

void take_head(owner_state& state, owner_context& ctx, backend_head head)
{
    auto* attempt = find_attempt(state, head.attempt);
    if (!attempt || attempt->answering)
        return;
    attempt->sent = true;
    attempt->answering = true;
    if (auto* server = find_server(state, attempt->asked.server))
    {
        bool const was_open =
            server->breaker.state != decisions::breaker_state::closed;
        decisions::record_success(server->breaker, now(ctx));
        if (was_open)
            record(state.metrics, {.kind = event_kind::breaker_closed,
                                   .server = server->config.id,
                                   .cause = "the probe was answered"});
        if (decisions::record_first_byte(server->slow_start,
                                         state.options.slow_start,
                                         now(ctx) - attempt->dispatched))
        {
            note_cold(state, *server);
        }
    }
    if (!attempt->detached)
        reply_to(state, attempt->origin,
                 answer_head{.attempt = head.attempt,
                             .status = head.status,
                             .headers = std::move(head.headers),
                             .server = attempt->asked.server});
}

void take_chunk(owner_state& state, owner_context& ctx, backend_chunk chunk)
{
    auto* attempt = find_attempt(state, chunk.attempt);
    if (!attempt)
        return;
    if (auto* server = find_server(state, attempt->asked.server))
        server->breaker.last_response_at = now(ctx);
    auto const size = chunk.bytes.size();
    if (attempt->detached)
    {
        kernel::send(state.backend,
                     grant_backend_credit{chunk.attempt,
                                          static_cast<std::uint32_t>(size)});
        return;
    }
    answer_chunk part{.attempt = chunk.attempt,
                      .sequence = attempt->chunks,
                      .bytes = std::move(chunk.bytes)};
    ++attempt->chunks;
    attempt->bytes += size;
    reply_to(state, attempt->origin, std::move(part));
}

void take_end(owner_state& state, owner_context& ctx, backend_end const& end)
{
    auto* attempt = find_attempt(state, end.attempt);
    if (!attempt)
        return;
    if (auto* server = find_server(state, attempt->asked.server))
        note_answered(state, ctx, *server, *attempt);
    clear_suspect(state, attempt->asked.request.body_fingerprint);
    remember_outcome(state, *attempt, outcome::answered);
    if (!attempt->detached)
        reply_to(state, attempt->origin,
                 answer_end{.attempt = end.attempt,
                            .chunks = attempt->chunks,
                            .bytes = attempt->bytes});
    end_attempt(state, ctx, end.attempt);
}

void take_failure(owner_state& state, owner_context& ctx,
                  backend_failed failure)
{
    auto* attempt = find_attempt(state, failure.attempt);
    if (!attempt || attempt->phase != attempt_phase::dispatched)
        return;
    attempt->sent = attempt->sent || failure.sent;
    auto const kind = failure.cause.kind;
    count_failure(state, kind);
    if (auto* server = find_server(state, attempt->asked.server))
    {
        if (attempt->sent && kind == error_kind::server_closed)
            note_closed(state, ctx, *server, *attempt);
        blame_server(state, ctx, *server, *attempt, kind);
        if (kind == error_kind::server_connect_failed)
            note_death(state, ctx, *server);
    }
    if (!attempt->sent)
    {
        give_up_unsent(state, ctx, *attempt, std::move(failure.cause));
        return;
    }
    auto const known = attempt->answering ? outcome::failed : outcome::unknown;
    remember_outcome(state, *attempt, known);
    fail_attempt(state, ctx, *attempt, std::move(failure.cause), known);
}

} // namespace bramleyarch::services::owning

#include "services/owner/owner_parts.hpp"

#include <fmt/format.h>

#include <utility>

namespace bramleyarch::services::owning
{

namespace
{

/// A new sample has a weight of 1/8 in the mean service time.
constexpr int mean_service_samples = 8;

/// Updates the breaker and slow start after a failed attempt.
void record_server_failure(owner_state& state, owner_context& ctx,
                           owned_server& server, owned_attempt const& attempt,
                           error_kind kind)
{
    auto& breaker = server.breaker;
    bool opened = false;
    switch (kind)
    {
    case error_kind::server_connect_failed:
    case error_kind::server_closed:
    case error_kind::server_protocol:
        opened = decisions::record_failure(breaker, state.options.breaker,
                                           now(ctx), random_fraction(state));
        break;
    case error_kind::server_silent:
        opened = decisions::record_timeout(breaker, state.options.breaker,
                                           attempt.dispatched_at, now(ctx),
                                           random_fraction(state));
        break;
    default:
        decisions::record_inconclusive(breaker);
        return;
    }
    constexpr std::uint32_t failures_to_cold = 2;
    // A refused connection means that the server's process has ended. The
    // next process starts cold.
    bool const may_have_restarted = kind == error_kind::server_connect_failed ||
                                    breaker.failures >= failures_to_cold;
    if (may_have_restarted &&
        decisions::reset_to_cold(server.slow_start,
                                 decisions::cold_cause::connect_failures))
    {
        record_server_cold(state, server);
    }
    if (!opened)
        return;
    count(state.telemetry_sink, counter::breaker_opened);
    record(state.telemetry_sink,
           {.kind = event_kind::breaker_opened,
            .request = attempt.offered.attempt.request,
            .server = server.config.id,
            .cause = fmt::format("{} failures in a row, last: {}",
                                 breaker.failures, to_name(kind))});
    redirect_queue(state, server, error_kind::server_connect_failed);
}

void count_failure(owner_state& state, error_kind kind)
{
    if (kind == error_kind::server_connect_failed)
        count(state.telemetry_sink, counter::backend_connect_failed);
    else if (kind == error_kind::server_closed)
        count(state.telemetry_sink, counter::backend_closed_early);
    else if (kind == error_kind::server_silent)
        count(state.telemetry_sink, counter::backend_silent);
}

void record_completed_answer(owner_state& state, owner_context& ctx,
                             owned_server& server, owned_attempt const& attempt)
{
    auto const service_time = now(ctx) - attempt.dispatched_at;
    server.mean_service =
        server.mean_service == duration::zero()
            ? service_time
            : server.mean_service +
                  (service_time - server.mean_service) / mean_service_samples;
    if (!decisions::record_answer(server.slow_start))
        return;
    record(state.telemetry_sink, {.kind = event_kind::server_warm,
                                  .server = server.config.id,
                                  .cause = "enough answers completed"});
}

} // namespace

void record_claim_outcome(owner_state& state, owned_attempt const& attempt,
                          outcome known)
{
    if (!needs_claim(attempt))
        return;
    auto const& request = attempt.offered.request;
    record(state.telemetry_sink, {.kind = event_kind::outcome_recorded,
                                  .request = attempt.offered.attempt.request,
                                  .server = attempt.offered.server,
                                  .team = request.team,
                                  .cause = std::string{to_name(known)}});
    kernel::send(state.claims,
                 record_outcome{.attempt = attempt.offered.attempt,
                                .team = request.team,
                                .key = *request.key,
                                .known = known});
}

void handle_send_started(owner_state& state, backend_send_started const& sent)
{
    auto* attempt = find_attempt(state, sent.attempt);
    if (!attempt || attempt->phase != attempt_phase::dispatched)
        return;
    attempt->sent = true;
    record(state.telemetry_sink,
           {.kind = event_kind::attempt_sent,
            .request = sent.attempt.request,
            .server = attempt->offered.server,
            .team = attempt->offered.request.team,
            .cause = fmt::format("attempt {}", sent.attempt.number)});
}

void handle_backend_head(owner_state& state, owner_context& ctx,
                         backend_head head)
{
    auto* attempt = find_attempt(state, head.attempt);
    if (!attempt || attempt->answering)
        return;
    attempt->sent = true;
    attempt->answering = true;
    if (auto* server = find_server(state, attempt->offered.server))
    {
        bool const was_open =
            server->breaker.state != decisions::breaker_state::closed;
        decisions::record_success(server->breaker, now(ctx));
        if (was_open)
            record(state.telemetry_sink, {.kind = event_kind::breaker_closed,
                                          .server = server->config.id,
                                          .cause = "the probe was answered"});
        if (decisions::record_first_byte(server->slow_start,
                                         state.options.slow_start,
                                         now(ctx) - attempt->dispatched_at))
        {
            record_server_cold(state, *server);
        }
    }
    if (!attempt->detached)
        reply_to(state, attempt->origin,
                 answer_head{.attempt = head.attempt,
                             .status = head.status,
                             .headers = std::move(head.headers),
                             .server = attempt->offered.server});
}

void handle_backend_chunk(owner_state& state, owner_context& ctx,
                          backend_chunk chunk)
{
    auto* attempt = find_attempt(state, chunk.attempt);
    if (!attempt)
        return;
    if (auto* server = find_server(state, attempt->offered.server))
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
                      .sequence = attempt->chunks_sent,
                      .bytes = std::move(chunk.bytes)};
    ++attempt->chunks_sent;
    attempt->bytes_sent += size;
    reply_to(state, attempt->origin, std::move(part));
}

void handle_backend_end(owner_state& state, owner_context& ctx,
                        backend_end const& end)
{
    auto* attempt = find_attempt(state, end.attempt);
    if (!attempt)
        return;
    if (auto* server = find_server(state, attempt->offered.server))
        record_completed_answer(state, ctx, *server, *attempt);
    record_completed_body(state, attempt->offered.request.body_fingerprint);
    record_claim_outcome(state, *attempt, outcome::answered);
    if (!attempt->detached)
        reply_to(state, attempt->origin,
                 answer_end{.attempt = end.attempt,
                            .chunks = attempt->chunks_sent,
                            .bytes = attempt->bytes_sent});
    end_attempt(state, ctx, end.attempt);
}

void handle_backend_failure(owner_state& state, owner_context& ctx,
                            backend_failed failure)
{
    auto* attempt = find_attempt(state, failure.attempt);
    if (!attempt || attempt->phase != attempt_phase::dispatched)
        return;
    attempt->sent = attempt->sent || failure.sent;
    auto const kind = failure.cause.kind;
    count_failure(state, kind);
    if (auto* server = find_server(state, attempt->offered.server))
    {
        if (attempt->sent && kind == error_kind::server_closed)
            record_closed_connection(state, ctx, *server, *attempt);
        record_server_failure(state, ctx, *server, *attempt, kind);
        if (kind == error_kind::server_connect_failed)
            handle_server_death(state, ctx, *server);
    }
    if (!attempt->sent)
    {
        fail_unsent_attempt(state, ctx, *attempt, std::move(failure.cause));
        return;
    }
    auto const known = attempt->answering ? outcome::failed : outcome::unknown;
    record_claim_outcome(state, *attempt, known);
    fail_attempt(state, ctx, *attempt, std::move(failure.cause), known);
}

} // namespace bramleyarch::services::owning

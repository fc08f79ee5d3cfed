#include "services/owner/owner_parts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace bramleyarch::services::owning
{

namespace
{

using decisions::admission;
using decisions::body_status;

constexpr duration min_retry_after = std::chrono::milliseconds{200};

/// Sums the loads of the server's service over this router and the other
/// owners.
decisions::load_totals service_load_totals(owner_state const& state,
                                           owned_server const& server,
                                           time_point at)
{
    auto const remote_loads = state.remote_loads.find(server.service);
    auto totals = remote_loads == state.remote_loads.end()
                      ? decisions::load_totals{}
                      : decisions::sum_remote_owner_loads(
                            remote_loads->second, state.options.admission, at);
    for (auto const& [id, local] : state.servers)
    {
        bool const included =
            local.owned && local.in_service &&
            local.service == server.service &&
            local.breaker.state == decisions::breaker_state::closed;
        if (!included)
            continue;
        totals.in_flight += local.in_flight + local.remote_in_flight;
        totals.limit += decisions::effective_limit(local.slow_start,
                                                   state.options.slow_start);
    }
    return totals;
}

admission decide_server_admission(owner_state& state, owned_server& server,
                                  time_point at)
{
    if (server.isolated_attempt || server.admission_held_until)
        return admission::at_limit;
    if (server.remote_in_flight_at + state.options.remote_in_flight_ttl < at)
        server.remote_in_flight = 0;
    decisions::server_occupancy const occupancy{
        .in_flight = server.in_flight,
        .remote_in_flight = server.remote_in_flight,
        .limit = current_limit(state, server, at),
        .usable = decisions::may_send(server.breaker, at)};
    auto const decided = decisions::decide_admission(
        occupancy,
        decisions::mean_utilisation(service_load_totals(state, server, at)),
        state.options.admission);
    if (decided == admission::at_limit && decisions::is_cold(server.slow_start))
    {
        count(state.telemetry_sink, counter::slow_start_limited);
    }
    return decided;
}

/// Returns the delay after which a redirected request may be offered again: the
/// expected wait in the queue, plus a random part of up to the same length, so
/// that requests do not return at the same time.
duration retry_after(owner_state& state, owned_server const& server)
{
    auto const wait_per_request =
        server.mean_service / std::max(server.slow_start.limit, 1U);
    auto const wait = std::max(
        min_retry_after,
        wait_per_request * static_cast<std::int64_t>(server.queue.size + 1));
    return wait +
           duration{static_cast<std::int64_t>(
               random_fraction(state) * static_cast<double>(wait.count()))};
}

void redirect_offer(owner_state& state, router_id const& origin,
                    offer const& offered, error_kind cause, server_load load,
                    std::string_view reason, duration after = {})
{
    count(state.telemetry_sink, counter::offers_redirected);
    record(state.telemetry_sink,
           {.kind = event_kind::offer_redirected,
            .request = offered.attempt.request,
            .server = offered.server,
            .team = offered.request.team,
            .config = state.config ? state.config->version : 0,
            .cause = fmt::format("{}: {}", to_name(cause), reason)});
    reply_to(state, origin,
             redirect{.attempt = offered.attempt,
                      .cause = cause,
                      .load = std::move(load),
                      .retry_after = after});
}

void refuse_offer(owner_state& state, router_id const& origin,
                  offer const& offered, error cause)
{
    count(state.telemetry_sink, counter::offers_refused);
    record(state.telemetry_sink, {.kind = event_kind::request_refused,
                                  .request = offered.attempt.request,
                                  .server = offered.server,
                                  .team = offered.request.team,
                                  .cause = describe(cause)});
    reply_to(state, origin,
             answer_error{.attempt = offered.attempt,
                          .cause = std::move(cause),
                          .known = outcome::not_run});
}

std::uint32_t weight_of(owner_state const& state, team_id const& team)
{
    if (!state.config)
        return 1;
    for (auto const& known : state.config->teams)
    {
        if (known.id == team)
            return std::max(known.weight, 1U);
    }
    return 1;
}

void redirect_displaced(owner_state& state, owned_server& server,
                        attempt_id const& id)
{
    auto* attempt = find_attempt(state, id);
    if (!attempt)
        return;
    redirect_offer(state, attempt->origin, attempt->offered,
                   error_kind::queue_full, load_of(state, server),
                   "displaced by a request of a team below its share",
                   retry_after(state, server));
    state.attempts.erase(id);
}

void queue_offer(owner_state& state, owner_context& ctx, owned_server& server,
                 router_id const& origin, offer offered)
{
    auto const& request = offered.request;
    auto outcome =
        decisions::enqueue(server.queue,
                           {.attempt = offered.attempt,
                            .team = request.team,
                            .weight = weight_of(state, request.team),
                            .priority = request.priority,
                            .deadline = request.deadline,
                            .enqueued_at = now(ctx)},
                           {.mean_service_time = server.mean_service,
                            .limit = decisions::effective_limit(
                                server.slow_start, state.options.slow_start)},
                           now(ctx));
    if (outcome.result != decisions::enqueue_result::queued)
    {
        redirect_offer(state, origin, offered, error_kind::queue_full,
                       load_of(state, server), to_name(outcome.result),
                       retry_after(state, server));
        return;
    }
    count(state.telemetry_sink, counter::offers_queued);
    record(state.telemetry_sink,
           {.kind = event_kind::offer_queued,
            .request = offered.attempt.request,
            .server = server.config.id,
            .team = request.team,
            .cause = fmt::format("{} waiting, {} in flight", server.queue.size,
                                 server.in_flight)});
    auto const id = offered.attempt;
    state.attempts.insert_or_assign(id,
                                    owned_attempt{.origin = origin,
                                                  .offered = std::move(offered),
                                                  .received_at = now(ctx)});
    if (outcome.displaced)
        redirect_displaced(state, server, outcome.displaced->attempt);
}

void admit_offer(owner_state& state, owner_context& ctx, owned_server& server,
                 router_id const& origin, offer offered)
{
    auto const id = offered.attempt;
    auto const [entry, added] = state.attempts.insert_or_assign(
        id, owned_attempt{.origin = origin,
                          .offered = std::move(offered),
                          .received_at = now(ctx)});
    start_admitted_attempt(state, ctx, server, entry->second);
}

/// Accepts an offer that must run alone on the server, since its body may crash
/// it. Nothing else is admitted until the attempt has ended.
void isolate_offer(owner_state& state, owner_context& ctx, owned_server& server,
                   router_id const& origin, offer offered)
{
    auto const id = offered.attempt;
    if (server.isolated_attempt)
    {
        redirect_offer(state, origin, offered, error_kind::queue_full,
                       load_of(state, server),
                       "another suspect body runs alone or waits",
                       retry_after(state, server));
        return;
    }
    server.isolated_attempt = id;
    state.attempts.insert_or_assign(id,
                                    owned_attempt{.origin = origin,
                                                  .offered = std::move(offered),
                                                  .received_at = now(ctx)});
    admit_queued_requests(state, ctx, server);
}

/// Returns the reason to redirect an offer regardless of the load, or
/// std::nullopt if the server may accept offers.
std::optional<error_kind> redirect_cause(owner_state const& state,
                                         owned_server const* server)
{
    if (!server || !server->owned)
        return error_kind::owner_lost;
    if (state.draining)
        return error_kind::draining;
    if (!server->in_service)
        return error_kind::no_eligible_server;
    return std::nullopt;
}

error_kind error_kind_of(admission decided)
{
    return decided == admission::breaker_open
               ? error_kind::server_connect_failed
               : error_kind::queue_full;
}

/// Returns true if the offer may wait in the queue. None may wait while the
/// breaker is open, and otherwise any may while admission is held. An offer for
/// the server that holds the chat's prefix may wait at the load bound while the
/// queue is short.
bool may_wait(owned_server const& server, offer const& offered,
              admission decided)
{
    constexpr std::uint32_t limit_per_queued_request = 4;
    if (decided == admission::breaker_open)
        return false;
    if (server.admission_held_until)
        return true;
    auto const max_short_queue =
        std::max(1U, server.slow_start.limit / limit_per_queued_request);
    if (offered.may_wait_at_bound && server.queue.size < max_short_queue)
        return true;
    return offered.may_queue && decided != admission::at_load_bound;
}

void admit_or_queue_offer(owner_state& state, owner_context& ctx,
                          owned_server& server, router_id const& origin,
                          offer offered)
{
    auto const status = decisions::status_of(
        state.suspect_bodies, offered.request.body_fingerprint, now(ctx));
    if (status == body_status::suspect || offered.must_run_alone)
    {
        isolate_offer(state, ctx, server, origin, std::move(offered));
        return;
    }
    auto decided = decide_server_admission(state, server, now(ctx));
    if (decided == admission::admit && server.queue.size == 0)
    {
        admit_offer(state, ctx, server, origin, std::move(offered));
        return;
    }
    if (may_wait(server, offered, decided))
    {
        queue_offer(state, ctx, server, origin, std::move(offered));
        admit_queued_requests(state, ctx, server);
        return;
    }
    redirect_offer(state, origin, offered, error_kind_of(decided),
                   load_of(state, server),
                   decided == admission::admit ? "other requests are queued"
                                               : to_name(decided),
                   retry_after(state, server));
}

void start_isolated_attempt(owner_state& state, owner_context& ctx,
                            owned_server& server)
{
    auto* attempt = find_attempt(state, *server.isolated_attempt);
    bool const ready = attempt && attempt->phase == attempt_phase::queued &&
                       server.in_flight == 0 && !server.admission_held_until &&
                       decisions::may_send(server.breaker, now(ctx));
    if (ready)
        start_admitted_attempt(state, ctx, server, *attempt);
}

} // namespace

void handle_offer(owner_state& state, owner_context& ctx, router_id origin,
                  offer offered)
{
    if (state.attempts.contains(offered.attempt))
        return;
    auto* server = find_server(state, offered.server);
    if (auto const cause = redirect_cause(state, server))
    {
        auto const load = server ? load_of(state, *server)
                                 : server_load{.server = offered.server};
        redirect_offer(state, origin, offered, *cause, load,
                       "this router admits nothing to the server");
        return;
    }
    if (offered.request.deadline <= now(ctx))
    {
        refuse_offer(
            state, origin, offered,
            {error_kind::deadline_exceeded, "before the request was admitted"});
        return;
    }
    auto const status = decisions::status_of(
        state.suspect_bodies, offered.request.body_fingerprint, now(ctx));
    if (status == body_status::quarantined)
    {
        refuse_offer(
            state, origin, offered,
            {error_kind::quarantined, "the request body is quarantined"});
        return;
    }
    admit_or_queue_offer(state, ctx, *server, origin, std::move(offered));
}

void admit_queued_requests(owner_state& state, owner_context& ctx,
                           owned_server& server)
{
    if (server.isolated_attempt)
    {
        start_isolated_attempt(state, ctx, server);
        return;
    }
    while (server.queue.size > 0 &&
           decide_server_admission(state, server, now(ctx)) == admission::admit)
    {
        auto const next = decisions::dequeue(server.queue);
        auto* attempt = next ? find_attempt(state, next->attempt) : nullptr;
        if (attempt)
            start_admitted_attempt(state, ctx, server, *attempt);
    }
}

void refuse_expired_requests(owner_state& state, owner_context& ctx,
                             owned_server& server)
{
    auto expired = decisions::remove_expired_requests(server.queue, now(ctx));
    std::vector<attempt_id> ids;
    for (auto const& waiting : expired)
        ids.push_back(waiting.attempt);
    if (auto* isolated_attempt =
            server.isolated_attempt
                ? find_attempt(state, *server.isolated_attempt)
                : nullptr;
        isolated_attempt && isolated_attempt->phase == attempt_phase::queued &&
        isolated_attempt->offered.request.deadline <= now(ctx))
    {
        ids.push_back(*server.isolated_attempt);
        server.isolated_attempt.reset();
    }
    for (auto const& id : ids)
    {
        auto const* attempt = find_attempt(state, id);
        if (!attempt)
            continue;
        count(state.telemetry_sink, counter::queue_expired);
        refuse_offer(
            state, attempt->origin, attempt->offered,
            {error_kind::deadline_exceeded, "while the request was queued"});
        state.attempts.erase(id);
    }
}

void redirect_queue_at_load_bound(owner_state& state, owner_context& ctx,
                                  owned_server& server)
{
    bool const at_load_bound =
        server.queue.size > 0 &&
        decide_server_admission(state, server, now(ctx)) ==
            admission::at_load_bound;
    if (at_load_bound)
        redirect_queue(state, server, error_kind::queue_full);
}

void redirect_queue(owner_state& state, owned_server& server, error_kind cause)
{
    std::vector<attempt_id> ids;
    for (auto const& waiting : decisions::remove_all_requests(server.queue))
        ids.push_back(waiting.attempt);
    auto const* isolated_attempt =
        server.isolated_attempt ? find_attempt(state, *server.isolated_attempt)
                                : nullptr;
    if (isolated_attempt && isolated_attempt->phase == attempt_phase::queued)
    {
        ids.push_back(*server.isolated_attempt);
        server.isolated_attempt.reset();
    }
    for (auto const& id : ids)
    {
        auto const* attempt = find_attempt(state, id);
        if (!attempt)
            continue;
        redirect_offer(state, attempt->origin, attempt->offered, cause,
                       load_of(state, server),
                       "all queued requests are redirected");
        state.attempts.erase(id);
    }
}

} // namespace bramleyarch::services::owning

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

constexpr duration least_retry_after = std::chrono::milliseconds{200};

/// Loads of the server's service: reported by others and counted here.
decisions::load_totals totals_of(owner_state const& state,
                                 owned_server const& server, time_point at)
{
    auto const foreign = state.foreign.find(server.service);
    auto totals = foreign == state.foreign.end()
                      ? decisions::load_totals{}
                      : decisions::sum_remote_owner_loads(
                            foreign->second, state.options.admission, at);
    for (auto const& [id, own] : state.servers)
    {
        bool const counts =
            own.owned && own.in_service && own.service == server.service &&
            own.breaker.state == decisions::breaker_state::closed;
        if (!counts)
            continue;
        totals.in_flight += own.in_flight + own.others;
        totals.limit += decisions::effective_limit(own.slow_start,
                                                   state.options.slow_start);
    }
    return totals;
}

admission decide(owner_state& state, owned_server& server, time_point at)
{
    if (server.trial || server.held_until)
        return admission::at_limit;
    if (server.others_seen + state.options.report_ttl < at)
        server.others = 0;
    decisions::server_occupancy const occupancy{
        .in_flight = server.in_flight,
        .remote_in_flight = server.others,
        .limit = current_limit(state, server, at),
        .usable = decisions::may_send(server.breaker, at)};
    auto const decided = decisions::decide_admission(
        occupancy, decisions::mean_utilisation(totals_of(state, server, at)),
        state.options.admission);
    if (decided == admission::at_limit && decisions::is_cold(server.slow_start))
    {
        count(state.metrics, counter::slow_start_limited);
    }
    return decided;
}

/// Time after which a refused caller may try again: the wait of the queue,
/// and up to as much again so that callers do not return together.
duration retry_after(owner_state& state, owned_server const& server)
{
    auto const each =
        server.mean_service / std::max(server.slow_start.limit, 1U);
    auto const wait =
        std::max(least_retry_after,
                 each * static_cast<std::int64_t>(server.queue.size + 1));
    return wait + duration{static_cast<std::int64_t>(
                      draw_unit(state) * static_cast<double>(wait.count()))};
}

void redirect_offer(owner_state& state, router_id const& origin,
                    offer const& asked, error_kind cause, server_load load,
                    std::string_view reason, duration after = {})
{
    count(state.metrics, counter::offers_redirected);
    record(state.metrics,
           {.kind = event_kind::offer_redirected,
            .request = asked.attempt.request,
            .server = asked.server,
            .team = asked.request.team,
            .config = state.config ? state.config->version : 0,
            .cause = fmt::format("{}: {}", to_name(cause), reason)});
    reply_to(state, origin,
             redirect{.attempt = asked.attempt,
                      .cause = cause,
                      .load = std::move(load),
                      .retry_after = after});
}

void refuse_offer(owner_state& state, router_id const& origin,
                  offer const& asked, error cause)
{
    count(state.metrics, counter::offers_refused);
    record(state.metrics, {.kind = event_kind::request_refused,
                           .request = asked.attempt.request,
                           .server = asked.server,
                           .team = asked.request.team,
                           .cause = describe(cause)});
    reply_to(state, origin,
             answer_error{.attempt = asked.attempt,
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
    redirect_offer(state, attempt->origin, attempt->asked,
                   error_kind::queue_full, load_of(state, server),
                   "displaced by a team below its share",
                   retry_after(state, server));
    state.attempts.erase(id);
}

void queue_offer(owner_state& state, owner_context& ctx, owned_server& server,
                 router_id const& origin, offer asked)
{
    auto const& request = asked.request;
    auto outcome =
        decisions::enqueue(server.queue,
                           {.attempt = asked.attempt,
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
        redirect_offer(state, origin, asked, error_kind::queue_full,
                       load_of(state, server), to_name(outcome.result),
                       retry_after(state, server));
        return;
    }
    count(state.metrics, counter::offers_queued);
    record(state.metrics,
           {.kind = event_kind::offer_queued,
            .request = asked.attempt.request,
            .server = server.config.id,
            .team = request.team,
            .cause = fmt::format("{} waiting, {} in flight", server.queue.size,
                                 server.in_flight)});
    auto const id = asked.attempt;
    state.attempts.insert_or_assign(id, owned_attempt{.origin = origin,
                                                      .asked = std::move(asked),
                                                      .entered = now(ctx)});
    if (outcome.displaced)
        redirect_displaced(state, server, outcome.displaced->attempt);
}

void admit_offer(owner_state& state, owner_context& ctx, owned_server& server,
                 router_id const& origin, offer asked)
{
    auto const id = asked.attempt;
    auto const [entry, added] = state.attempts.insert_or_assign(
        id, owned_attempt{.origin = origin,
                          .asked = std::move(asked),
                          .entered = now(ctx)});
    begin_attempt(state, ctx, server, entry->second);
}

/// A suspect body runs alone: nothing else is admitted until it has ended.
void hold_trial(owner_state& state, owner_context& ctx, owned_server& server,
                router_id const& origin, offer asked)
{
    auto const id = asked.attempt;
    if (server.trial)
    {
        redirect_offer(state, origin, asked, error_kind::queue_full,
                       load_of(state, server), "another suspect body waits",
                       retry_after(state, server));
        return;
    }
    server.trial = id;
    state.attempts.insert_or_assign(id, owned_attempt{.origin = origin,
                                                      .asked = std::move(asked),
                                                      .entered = now(ctx)});
    serve_queue(state, ctx, server);
}

/// Reason to send the offer back whatever the load.
std::optional<error_kind> closed_to(owner_state const& state,
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

error_kind kind_of(admission decided)
{
    return decided == admission::breaker_open
               ? error_kind::server_connect_failed
               : error_kind::queue_full;
}

/// A chat's prefix is worth a short wait, in a short queue.
bool may_wait(owned_server const& server, offer const& asked, admission decided)
{
    constexpr std::uint32_t limit_per_waiting = 4;
    if (decided == admission::breaker_open)
        return false;
    if (server.held_until)
        return true;
    auto const most = std::max(1U, server.slow_start.limit / limit_per_waiting);
    if (asked.may_wait_at_bound && server.queue.size < most)
        return true;
    return asked.may_queue && decided != admission::at_load_bound;
}

void place_offer(owner_state& state, owner_context& ctx, owned_server& server,
                 router_id const& origin, offer asked)
{
    auto const standing = decisions::status_of(
        state.bodies, asked.request.body_fingerprint, now(ctx));
    if (standing == body_status::suspect || asked.must_run_alone)
    {
        hold_trial(state, ctx, server, origin, std::move(asked));
        return;
    }
    auto decided = decide(state, server, now(ctx));
    if (decided == admission::admit && server.queue.size == 0)
    {
        admit_offer(state, ctx, server, origin, std::move(asked));
        return;
    }
    if (may_wait(server, asked, decided))
    {
        queue_offer(state, ctx, server, origin, std::move(asked));
        serve_queue(state, ctx, server);
        return;
    }
    redirect_offer(
        state, origin, asked, kind_of(decided), load_of(state, server),
        decided == admission::admit ? "others are waiting" : to_name(decided),
        retry_after(state, server));
}

void begin_trial(owner_state& state, owner_context& ctx, owned_server& server)
{
    auto* attempt = find_attempt(state, *server.trial);
    bool const ready = attempt && attempt->phase == attempt_phase::queued &&
                       server.in_flight == 0 && !server.held_until &&
                       decisions::may_send(server.breaker, now(ctx));
    if (ready)
        begin_attempt(state, ctx, server, *attempt);
}

} // namespace

void take_offer(owner_state& state, owner_context& ctx, router_id origin,
                offer asked)
{
    if (state.attempts.contains(asked.attempt))
        return;
    auto* server = find_server(state, asked.server);
    if (auto const cause = closed_to(state, server))
    {
        auto const load = server ? load_of(state, *server)
                                 : server_load{.server = asked.server};
        redirect_offer(state, origin, asked, *cause, load,
                       "this owner admits nothing there");
        return;
    }
    if (asked.request.deadline <= now(ctx))
    {
        refuse_offer(state, origin, asked,
                     {error_kind::deadline_exceeded, "before admission"});
        return;
    }
    auto const standing = decisions::status_of(
        state.bodies, asked.request.body_fingerprint, now(ctx));
    if (standing == body_status::quarantined)
    {
        refuse_offer(state, origin, asked,
                     {error_kind::quarantined, "body is quarantined"});
        return;
    }
    place_offer(state, ctx, *server, origin, std::move(asked));
}

void serve_queue(owner_state& state, owner_context& ctx, owned_server& server)
{
    if (server.trial)
    {
        begin_trial(state, ctx, server);
        return;
    }
    while (server.queue.size > 0 &&
           decide(state, server, now(ctx)) == admission::admit)
    {
        auto const next = decisions::dequeue(server.queue);
        auto* attempt = next ? find_attempt(state, next->attempt) : nullptr;
        if (attempt)
            begin_attempt(state, ctx, server, *attempt);
    }
}

void expire_queue(owner_state& state, owner_context& ctx, owned_server& server)
{
    auto expired = decisions::remove_expired_requests(server.queue, now(ctx));
    std::vector<attempt_id> ids;
    for (auto const& waiting : expired)
        ids.push_back(waiting.attempt);
    if (auto* trial =
            server.trial ? find_attempt(state, *server.trial) : nullptr;
        trial && trial->phase == attempt_phase::queued &&
        trial->asked.request.deadline <= now(ctx))
    {
        ids.push_back(*server.trial);
        server.trial.reset();
    }
    for (auto const& id : ids)
    {
        auto const* attempt = find_attempt(state, id);
        if (!attempt)
            continue;
        count(state.metrics, counter::queue_expired);
        refuse_offer(state, attempt->origin, attempt->asked,
                     {error_kind::deadline_exceeded, "while waiting"});
        state.attempts.erase(id);
    }
}

void release_bounded_queue(owner_state& state, owner_context& ctx,
                           owned_server& server)
{
    bool const elsewhere =
        server.queue.size > 0 &&
        decide(state, server, now(ctx)) == admission::at_load_bound;
    if (elsewhere)
        redirect_queue(state, server, error_kind::queue_full);
}

void redirect_queue(owner_state& state, owned_server& server, error_kind cause)
{
    std::vector<attempt_id> ids;
    for (auto const& waiting : decisions::remove_all_requests(server.queue))
        ids.push_back(waiting.attempt);
    auto const* trial =
        server.trial ? find_attempt(state, *server.trial) : nullptr;
    if (trial && trial->phase == attempt_phase::queued)
    {
        ids.push_back(*server.trial);
        server.trial.reset();
    }
    for (auto const& id : ids)
    {
        auto const* attempt = find_attempt(state, id);
        if (!attempt)
            continue;
        redirect_offer(state, attempt->origin, attempt->asked, cause,
                       load_of(state, server), "the queue is sent elsewhere");
        state.attempts.erase(id);
    }
}

} // namespace bramleyarch::services::owning

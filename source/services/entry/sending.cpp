#include "services/entry/entry_parts.hpp"

#include "common/digest.hpp"
#include "common/request_id_text.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

/// With less time left, an attempt is not sent.
constexpr duration min_attempt_time = std::chrono::milliseconds{5};

/// Added to the remaining time for the timeouts of the backend client, which
/// apply only if this service has not ended the attempt by the deadline.
constexpr duration backend_timeout_margin = std::chrono::seconds{5};

/// The servers that a request can be sent to now. Both vectors have the same
/// order.
struct eligible_servers
{
    std::vector<backend_server*> servers;
    std::vector<decisions::server_candidate> candidates;
};

/// Load of the listed servers of a service. Servers that state a limit do not
/// count, unless all do: what they do not take makes the mean of the others
/// rise, and prompts would leave servers that have room for them.
struct service_load
{
    double in_flight = 0;
    double servers = 0;
};

double mean_load(service_load const& load)
{
    return load.servers > 0 ? load.in_flight / load.servers : 0;
}

service_load total_load(entry_state const& state, service_id const& service)
{
    service_load all;
    service_load unlimited;
    for (auto const& [id, server] : state.servers)
    {
        if (server.listed.service != service)
            continue;
        auto const in_flight =
            server.local_in_flight + remote_in_flight(state, server);
        all.in_flight += in_flight;
        all.servers += 1;
        if (decisions::limit_of(state.request_limits, run_of(server)))
            continue;
        unlimited.in_flight += in_flight;
        unlimited.servers += 1;
    }
    return unlimited.servers > 0 ? unlimited : all;
}

/// Returns the prefix of the request's prompt that other requests share, with
/// the number of servers that its requests are spread over, or std::nullopt if
/// there is no shared prefix.
std::optional<decisions::shared_prefix>
shared_prefix_for(entry_state& state, entry_request const& request,
                  service_load const& load, time_point at)
{
    auto prefix = decisions::find_shared_prefix(request.routed.terms.prompt);
    if (!prefix)
        return prefix;
    auto& prompts = state.recent_prompts[request.routed.service];
    if (request.attempt_number == 0)
        decisions::record_prompt(prompts, prefix->key, at);
    auto const mean = mean_load(load);
    // Load that a server at the mean can take on before it reaches its bound.
    auto const room =
        decisions::load_bound(mean, state.options.server_choice) - mean;
    prefix->replicas = decisions::replica_count(
        decisions::request_share(prompts, prefix->key, at,
                                 state.options.hot_prompt),
        load.in_flight, room, state.options.hot_prompt);
    return prefix;
}

/// Returns the service that the request is sent to. A route that splits its
/// requests between services does so by the hash of the caller's request id, so
/// that a repeat goes to the same service.
service_id choose_service(entry_request const& request,
                          config::deployment const& deployment)
{
    auto const& rules = *deployment.rules;
    auto const route =
        std::find_if(rules.routes.begin(), rules.routes.end(),
                     [&request](config::route_rule const& rule)
                     { return rule.name == request.routed.terms.route; });
    if (route == rules.routes.end() || route->shares.empty())
        return request.routed.service;
    std::uint64_t total = 0;
    for (auto const& share : route->shares)
        total += share.weight;
    if (total == 0)
        return route->shares.front().service;
    auto position = name_hash(request.routed.terms.caller_id) % total;
    for (auto const& share : route->shares)
    {
        if (position < share.weight)
            return share.service;
        position -= share.weight;
    }
    return route->shares.back().service;
}

bool was_tried(entry_request const& request, server_id const& id)
{
    return std::find(request.tried_servers.begin(), request.tried_servers.end(),
                     id) != request.tried_servers.end();
}

} // namespace

bool is_in_use(entry_state const& state, service_id const& service,
               backend_server const& server)
{
    return server.listed.service == service && !server.listed.leaving &&
           !server.misdirected &&
           !decisions::is_leaving(state.announcements, run_of(server)) &&
           !state.deployment->taken_out.contains(server.listed.domain);
}

std::optional<duration> time_to_accept(entry_state const& state,
                                       backend_server const& server,
                                       time_point at)
{
    auto const run = run_of(server);
    auto const within_limit =
        decisions::time_to_send(state.request_limits, run, at);
    if (!within_limit)
        return std::nullopt;
    return std::max(*within_limit,
                    decisions::remaining_pause(state.announcements, run, at));
}

namespace
{

bool is_eligible(entry_state const& state, entry_request const& request,
                 backend_server const& server, time_point at)
{
    return is_in_use(state, request.routed.service, server) &&
           !was_tried(request, server.listed.id) &&
           may_run_at(state, request, server) &&
           time_to_accept(state, server, at) == duration::zero();
}

/// Returns the shortest time until a server of the service accepts a request of
/// this router; zero if other routers use all that the servers accept.
duration shortest_time_to_accept(entry_state const& state,
                                 service_id const& service, time_point at)
{
    std::optional<duration> shortest;
    for (auto const& [id, server] : state.servers)
    {
        if (!is_in_use(state, service, server))
            continue;
        if (auto const time = time_to_accept(state, server, at))
            shortest = std::min(shortest.value_or(*time), *time);
    }
    return shortest.value_or(duration::zero());
}

/// Returns whether a server of the service accepts no request of this router
/// now because of the limit that it states.
bool is_beyond_limits(entry_state const& state, service_id const& service,
                      time_point at)
{
    return std::ranges::any_of(
        state.servers,
        [&](auto const& entry)
        {
            auto const& server = entry.second;
            return is_in_use(state, service, server) &&
                   decisions::time_to_send(state.request_limits, run_of(server),
                                           at) != duration::zero();
        });
}

/// Returns whether this router may send one more request to the cold server
/// now.
bool may_use_cold_server(entry_state const& state, backend_server const& server,
                         time_point at)
{
    if (at < server.next_cold_send_at)
        return false;
    return decisions::may_send_to_cold_server(
        server.listed.id, state.options.self, state.other_routers,
        state.options.cold_share);
}

void add_candidate(entry_state const& state, eligible_servers& eligible,
                   backend_server& server)
{
    eligible.servers.push_back(&server);
    eligible.candidates.push_back(
        {.hash = server.hash,
         .load = static_cast<double>(server.local_in_flight +
                                     remote_in_flight(state, server)),
         .slots = std::max(server.listed.slots, 1U),
         .own_domain = server.listed.domain == state.options.domain});
}

/// Returns whether a server of the service states a limit.
bool has_limited_server(entry_state const& state, service_id const& service)
{
    return std::ranges::any_of(
        state.servers,
        [&](auto const& entry)
        {
            return entry.second.listed.service == service &&
                   decisions::limit_of(state.request_limits,
                                       run_of(entry.second));
        });
}

bool is_full(entry_state const& state, backend_server const& server)
{
    return server.local_in_flight + remote_in_flight(state, server) >=
           std::max(server.listed.slots, 1U);
}

/// Returns the warm servers that are not ejected. If there are none, returns
/// the cold servers within their rate; if there are none of these either, the
/// ejected servers. While servers of the service state limits, full servers are
/// left out: what the others do not take would make them fall behind.
eligible_servers find_eligible_servers(entry_state& state,
                                       entry_request const& request,
                                       time_point at)
{
    eligible_servers available;
    eligible_servers ejected;
    eligible_servers cold;
    bool const beside_limits =
        has_limited_server(state, request.routed.service);
    for (auto& [id, server] : state.servers)
    {
        if (!is_eligible(state, request, server, at) ||
            (beside_limits && is_full(state, server)))
            continue;
        if (server.cold_until > at)
        {
            if (may_use_cold_server(state, server, at))
                add_candidate(state, cold, server);
        }
        else if (server.ejected)
            add_candidate(state, ejected, server);
        else
            add_candidate(state, available, server);
    }
    if (!available.servers.empty())
        return available;
    return !cold.servers.empty() ? cold : ejected;
}

/// Leaves the candidates that state a limit to the prefixes whose first server
/// they are, as long as others have room.
void reserve_limited_servers(
    entry_state const& state, service_id const& service,
    eligible_servers& eligible,
    std::optional<decisions::shared_prefix> const& prefix)
{
    if (!prefix || decisions::count_limited(state.request_limits) == 0)
        return;
    std::uint64_t first = 0;
    std::uint64_t greatest_weight = 0;
    for (auto const& [id, server] : state.servers)
    {
        if (!is_in_use(state, service, server))
            continue;
        auto const weight = decisions::prefix_weight(*prefix, server.hash);
        if (weight < greatest_weight)
            continue;
        greatest_weight = weight;
        first = server.hash;
    }
    for (std::size_t i = 0; i < eligible.servers.size(); ++i)
    {
        auto const& server = *eligible.servers[i];
        eligible.candidates[i].overflow_only =
            server.hash != first &&
            decisions::limit_of(state.request_limits, run_of(server));
    }
}

/// Returns the index of a candidate whose limit no router has heard lately. In
/// a large fleet few routers may send to it, and their prompts lead elsewhere,
/// so that the end of the limit would be noticed late.
std::optional<std::size_t>
find_unconfirmed_limit(entry_state const& state,
                       eligible_servers const& eligible, time_point at)
{
    for (std::size_t i = 0; i < eligible.servers.size(); ++i)
    {
        if (decisions::needs_refresh(state.request_limits,
                                     run_of(*eligible.servers[i]), at))
            return i;
    }
    return std::nullopt;
}

/// Sets the earliest time of the next request to a cold server, so that it
/// stays within its rate.
void schedule_next_cold_send(entry_state& state, backend_server& server,
                             time_point at)
{
    if (server.cold_until <= at)
        return;
    auto const rule =
        state.deployment->rules->services.find(server.listed.service);
    auto const rate = rule == state.deployment->rules->services.end()
                          ? 0
                          : rule->second.cold_rate;
    server.next_cold_send_at =
        at + decisions::cold_send_interval(rate, state.options.cold_share);
}

/// Returns the server of the same service from which `chosen` can copy the
/// prompt's cache, or nullptr if no copy is likely or worth it.
backend_server const* find_prompt_copy_source(entry_state const& state,
                                              entry_request const& request,
                                              backend_server const& chosen)
{
    std::vector<backend_server const*> servers;
    std::vector<decisions::copy_source> sources;
    for (auto const& [id, server] : state.servers)
    {
        if (server.listed.service != chosen.listed.service)
            continue;
        servers.push_back(&server);
        sources.push_back(
            {.hash = server.hash,
             .started_ms = server.listed.born,
             .reachable = !server.ejected && !server.misdirected});
    }
    auto const found = decisions::find_copy_source(
        sources, chosen.hash,
        decisions::find_shared_prefix(request.routed.terms.prompt),
        state.options.prompt_copy);
    return found ? servers[*found] : nullptr;
}

/// Forgets an answer of which the caller has received nothing.
void reset_answer(entry_request& request)
{
    request.first_byte_at = {};
    request.cursor = {};
    // A caller that resumes a stream has received it up to this event.
    if (request.routed.terms.resumable && request.routed.resume_offset > 0)
        request.cursor.last_id = request.routed.resume_offset;
}

void dispatch_attempt(entry_state& state, entry_context& ctx,
                      entry_request& request, backend_server& server,
                      decisions::server_choice const& choice)
{
    auto const at = now(ctx);
    auto const time_left = remaining_time(state, request, at);
    ++request.attempt_number;
    request.current_server = server.listed.id;
    request.server_run = run_of(server);
    request.tried_servers.push_back(server.listed.id);
    request.attempt_started_at = at;
    request.buffered_head.reset();
    request.buffered_body.clear();
    request.attempt_status = 0;
    request.attempt_bytes = 0;
    request.attempt_answer = {};
    if (request.stage == request_stage::awaiting_answer)
        reset_answer(request);
    decisions::begin_continuation(request.cursor);
    ++server.local_in_flight;
    schedule_next_cold_send(state, server, at);
    decisions::record_send(state.request_limits, request.server_run, at);
    record_rollout_send(state, request, server, at);
    auto const resume_after = request.cursor.last_id;
    auto const* const copy_source =
        find_prompt_copy_source(state, request, server);
    attempt_parameters parameters{.time_left = time_left,
                                  .resume_after = resume_after};
    parameters.priority = priority_of(state, request);
    if (copy_source)
        parameters.copy_from = copy_source->listed.address;
    log(state.telemetry_sink, log_severity::info, "attempt",
        fmt::format(
            "request={} caller_id={} route={} attempt={} server={} "
            "choice={} own={} peers={} left_ms={} rules={}{}{}{}{}",
            to_text(request.routed.id),
            field_text(request.routed.terms.caller_id),
            request.routed.terms.route, request.attempt_number,
            request.current_server.value, to_name(choice.cause),
            server.local_in_flight, remote_in_flight(state, server),
            to_ms(time_left), state.deployment->rules->version,
            resume_after ? fmt::format(" resume_after={}", *resume_after) : "",
            copy_source ? " copy_from=" + copy_source->listed.id.value : "",
            pace_text(state, request, server, at), limit_text(state, server)));
    send(state.backend,
         dispatch{.attempt = {request.routed.id, request.attempt_number},
                  .server = request.current_server,
                  .address = server.listed.address,
                  .method = request.routed.method,
                  .target = request.routed.target,
                  .headers = state.options.dialect.make_attempt_headers(
                      request.routed, server.listed, parameters),
                  .body = request.routed.body,
                  .credit = state.options.answer_credit,
                  .silence_limit = time_left + backend_timeout_margin,
                  .deadline = at + time_left + backend_timeout_margin,
                  // The failure of the first attempt may have closed the
                  // other kept connections too.
                  .may_reuse = request.attempt_number == 1});
    cancel(ctx, std::exchange(request.silence_timer, 0));
    request.awaiting_first_byte_timeout = false;
    request.last_byte_at = at;
    request.silence_timer = schedule(
        ctx,
        scaled_latency_target(request, state.options.silence_target_factor,
                              state.options.min_silence),
        request_check_due{request.routed.id});
}

} // namespace

duration scaled_latency_target(entry_request const& request, double factor,
                               duration least)
{
    std::chrono::duration<double, duration::period> const target{
        static_cast<double>(request.routed.terms.latency_target.count())};
    return std::max(std::chrono::duration_cast<duration>(target * factor),
                    least);
}

bool has_untried_server(entry_state& state, entry_request const& request,
                        time_point at)
{
    return ends_before_stop(state, request, at) &&
           !find_eligible_servers(state, request, at).servers.empty();
}

duration remaining_time(entry_state const& state, entry_request const& request,
                        time_point at)
{
    auto const end = state.end_by
                         ? std::min(request.routed.deadline, *state.end_by)
                         : request.routed.deadline;
    return end - at - state.options.deadline_margin;
}

duration jittered_retry_after(entry_state& state, duration least)
{
    std::uniform_int_distribution<std::int64_t> distribution{least.count(),
                                                             2 * least.count()};
    return duration{distribution(state.random)};
}

void send_attempt(entry_state& state, entry_context& ctx,
                  entry_request& request)
{
    auto const at = now(ctx);
    auto const admission = admission_of(state, request, at);
    if (state.end_by)
        log_stop_admission(state, request, admission, at);
    request.is_held = admission == decisions::stop_admission::hold;
    if (admission == decisions::stop_admission::refuse)
    {
        fail_request(state, ctx, request,
                     {error_kind::draining,
                      "this instance stops before the answer would end"});
        return;
    }
    if (remaining_time(state, request, at) < min_attempt_time)
    {
        bool const is_stopped =
            state.end_by && *state.end_by < request.routed.deadline;
        fail_request(
            state, ctx, request,
            {is_stopped ? error_kind::draining : error_kind::deadline_exceeded,
             fmt::format("too little time left before the {} to send the "
                         "request",
                         is_stopped ? "stop ends" : "deadline")});
        return;
    }
    if (is_quarantined(state, request, at) && !start_trial(state, request, at))
    {
        refuse_crashing_request(state, ctx, request);
        return;
    }
    if (request.attempt_number == 0)
        request.routed.service = choose_service(request, *state.deployment);
    if (must_wait(state, ctx, request))
        return;
    choose_version(state, request, at);
    auto eligible = find_eligible_servers(state, request, at);
    if (eligible.servers.empty() && leave_new_version(request))
        eligible = find_eligible_servers(state, request, at);
    auto const load = total_load(state, request.routed.service);
    auto const prefix = shared_prefix_for(state, request, load, at);
    reserve_limited_servers(state, request.routed.service, eligible, prefix);
    auto choice = choose_server(state, request, eligible.candidates,
                                mean_load(load), prefix, at);
    if (auto const unconfirmed = find_unconfirmed_limit(state, eligible, at);
        unconfirmed && request.attempt_number == 0)
        choice = {*unconfirmed, decisions::choice_cause::overflow};
    if (!choice)
    {
        if (is_beyond_limits(state, request.routed.service, at))
            count(state.telemetry_sink, counter::requests_beyond_limits);
        auto cause = request.last_failure.detail.empty()
                         ? error{error_kind::no_eligible_server,
                                 request.routed.service.value}
                         : request.last_failure;
        fail_request(
            state, ctx, request, std::move(cause),
            shortest_time_to_accept(state, request.routed.service, at) +
                jittered_retry_after(state, state.options.min_retry_after));
        return;
    }
    dispatch_attempt(state, ctx, request, *eligible.servers[choice->index],
                     *choice);
}

void abort_current_attempt(entry_state& state, entry_context& ctx,
                           entry_request& request)
{
    record_rollout_silence(state, request, now(ctx));
    cancel(ctx, std::exchange(request.silence_timer, 0));
    if (request.attempt_number == 0 || request.current_server.empty())
        return;
    send(state.backend,
         abort_attempt{{request.routed.id, request.attempt_number}});
    if (auto* const server = find_current_server(state, request);
        server && server->local_in_flight > 0)
        --server->local_in_flight;
    record_attempt_end(state, ctx, request);
    request.current_server = {};
}

bool can_go_on_elsewhere(entry_request const& request)
{
    return request.stage == request_stage::awaiting_answer ||
           (request.routed.terms.resumable && request.cursor.last_id &&
            is_success(request.forwarded_status));
}

void retry_or_fail(entry_state& state, entry_context& ctx,
                   entry_request& request, error cause)
{
    request.last_failure = cause;
    bool const ran = request.may_have_run;
    bool const allowed =
        !ran || request.routed.kind == request_kind::idempotent;
    auto const at = now(ctx);
    if (!allowed || !can_go_on_elsewhere(request) ||
        request.sent_attempts >= request.routed.terms.max_attempts ||
        remaining_time(state, request, at) < min_attempt_time)
    {
        fail_request(
            state, ctx, request, std::move(cause),
            jittered_retry_after(state, state.options.min_retry_after));
        return;
    }
    // Attempts that reached no server do not count against the retry budget.
    bool const is_retry = request.sent_attempts > 0;
    if (is_retry && !decisions::acquire_retry(
                        state.retry_shares[request.routed.service],
                        state.options.retry_share, router_count(state), at))
    {
        count(state.telemetry_sink, counter::retries_denied);
        fail_request(
            state, ctx, request,
            {error_kind::retry_budget_exhausted, cause.detail},
            jittered_retry_after(state, state.options.min_retry_after));
        return;
    }
    count(state.telemetry_sink, counter::retries);
    send_attempt(state, ctx, request);
}

} // namespace bramleyarch::services

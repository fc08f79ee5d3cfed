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

/// Least time for which an attempt is worth sending.
constexpr duration least_attempt = std::chrono::milliseconds{5};

/// Longest silence of a backend server that no decision of this service ends.
constexpr duration silence_beyond_deadline = std::chrono::seconds{5};

/// The servers that may be sent a request now.
struct eligible_servers
{
    std::vector<server_view*> views;
    std::vector<decisions::server_candidate> options;
};

/// Requests at the servers of a service, all that are listed.
struct service_load
{
    double running = 0;
    double servers = 0;
};

double mean_of(service_load const& load)
{
    return load.servers > 0 ? load.running / load.servers : 0;
}

service_load load_of(entry_state const& state, service_id const& service)
{
    service_load load;
    for (auto const& [id, view] : state.servers)
    {
        if (view.listed.service != service)
            continue;
        load.running += view.own + peers_at(state, view);
        load.servers += 1;
    }
    return load;
}

/// The request's prompt and over how many servers it is spread now.
std::optional<decisions::shared_prefix> prompt_of(entry_state& state,
                                                  entry_request const& r,
                                                  service_load const& load,
                                                  time_point at)
{
    auto prompt = decisions::find_shared_prefix(r.request.terms.prompt);
    if (!prompt)
        return prompt;
    auto& heat = state.heats[r.request.service];
    if (r.attempt == 0)
        decisions::record_prompt(heat, prompt->key, at);
    auto const mean = mean_of(load);
    // What other prompts leave free of the server's bound.
    auto const room = decisions::load_bound(mean, state.options.choice) - mean;
    prompt->replicas = decisions::replica_count(
        decisions::request_share(heat, prompt->key, at, state.options.heat),
        load.running, room, state.options.heat);
    return prompt;
}

/// The service for a request: routes that share their requests between
/// services do so by the caller's id, so that a repeat goes the same way.
service_id pick_service(entry_request const& r, config::deployment const& known)
{
    auto const& rules = *known.rules;
    auto const route =
        std::find_if(rules.routes.begin(), rules.routes.end(),
                     [&r](config::route_rule const& rule)
                     { return rule.name == r.request.terms.route; });
    if (route == rules.routes.end() || route->shares.empty())
        return r.request.service;
    std::uint64_t total = 0;
    for (auto const& share : route->shares)
        total += share.weight;
    if (total == 0)
        return route->shares.front().service;
    auto at = name_hash(r.request.terms.caller_id) % total;
    for (auto const& share : route->shares)
    {
        if (at < share.weight)
            return share.service;
        at -= share.weight;
    }
    return route->shares.back().service;
}

bool was_tried(entry_request const& r, server_id const& id)
{
    return std::find(r.tried.begin(), r.tried.end(), id) != r.tried.end();
}

bool may_be_sent_to(entry_state const& state, entry_request const& r,
                    server_view const& view)
{
    return view.listed.service == r.request.service && !view.listed.leaving &&
           !view.misdirected &&
           !state.deployment->taken_out.contains(view.listed.domain) &&
           !was_tried(r, view.listed.id);
}

/// Whether a cold server can be sent one more request now.
bool cold_place(entry_state const& state, server_view const& view,
                time_point at)
{
    if (at < view.next_cold)
        return false;
    return decisions::may_send_to_cold_server(
        view.listed.id, state.options.self, state.other_routers,
        state.options.cold);
}

void add_option(entry_state const& state, eligible_servers& to,
                server_view& view)
{
    to.views.push_back(&view);
    to.options.push_back(
        {.hash = view.hash,
         .load = static_cast<double>(view.own + peers_at(state, view)),
         .slots = std::max(view.listed.slots, 1U),
         .own_domain = view.listed.domain == state.options.domain});
}

/// Warm servers in good standing; without any, cold ones as far as they bear
/// it; without those, servers left out for failures.
eligible_servers find_servers(entry_state& state, entry_request const& r,
                              time_point at)
{
    eligible_servers good;
    eligible_servers left_out;
    eligible_servers cold;
    for (auto& [id, view] : state.servers)
    {
        if (!may_be_sent_to(state, r, view))
            continue;
        if (view.cold_until > at)
        {
            if (cold_place(state, view, at))
                add_option(state, cold, view);
        }
        else if (view.left_out)
            add_option(state, left_out, view);
        else
            add_option(state, good, view);
    }
    if (!good.views.empty())
        return good;
    return !cold.views.empty() ? cold : left_out;
}

void note_cold_send(entry_state& state, server_view& view, time_point at)
{
    if (view.cold_until <= at)
        return;
    auto const rule =
        state.deployment->rules->services.find(view.listed.service);
    auto const rate = rule == state.deployment->rules->services.end()
                          ? 0
                          : rule->second.cold_rate;
    view.next_cold =
        at + decisions::cold_send_interval(rate, state.options.cold);
}

/// The server of the service from which the chosen one can copy the prompt.
server_view const* copy_source_of(entry_state const& state,
                                  entry_request const& r,
                                  server_view const& chosen)
{
    std::vector<server_view const*> views;
    std::vector<decisions::copy_source> sources;
    for (auto const& [id, view] : state.servers)
    {
        if (view.listed.service != chosen.listed.service)
            continue;
        views.push_back(&view);
        sources.push_back({.hash = view.hash,
                           .started_ms = view.listed.born,
                           .reachable = !view.left_out && !view.misdirected});
    }
    auto const found = decisions::find_copy_source(
        sources, chosen.hash,
        decisions::find_shared_prefix(r.request.terms.prompt),
        state.options.copies);
    return found ? views[*found] : nullptr;
}

void dispatch_to(entry_state& state, entry_context& ctx, entry_request& r,
                 server_view& view, decisions::server_choice const& choice)
{
    auto const at = now(ctx);
    auto const left = time_left(state, r, at);
    ++r.attempt;
    r.server = view.listed.id;
    r.tried.push_back(view.listed.id);
    r.attempt_at = at;
    r.head.reset();
    r.held.clear();
    decisions::discard_partial(r.cursor);
    ++view.own;
    note_cold_send(state, view, at);
    auto const resume = r.cursor.last_id;
    auto const* const copy = copy_source_of(state, r, view);
    attempt_parameters terms{.time_left = left, .resume_after = resume};
    if (copy)
        terms.copy_from = copy->listed.address;
    log(state.counted, log_severity::info, "attempt",
        fmt::format("request={} caller_id={} route={} attempt={} server={} "
                    "choice={} own={} peers={} left_ms={} rules={}{}{}",
                    to_text(r.request.id),
                    field_text(r.request.terms.caller_id),
                    r.request.terms.route, r.attempt, r.server.value,
                    to_name(choice.cause), view.own, peers_at(state, view),
                    to_ms(left), state.deployment->rules->version,
                    resume ? fmt::format(" resume_after={}", *resume) : "",
                    copy ? " copy_from=" + copy->listed.id.value : ""));
    send(state.backend,
         dispatch{.attempt = {r.request.id, r.attempt},
                  .server = r.server,
                  .address = view.listed.address,
                  .method = r.request.method,
                  .target = r.request.target,
                  .headers = state.options.dialect.make_attempt_headers(
                      r.request, view.listed, terms),
                  .body = r.request.body,
                  .credit = initial_credit_bytes,
                  .silence_limit = left + silence_beyond_deadline,
                  .deadline = at + left + silence_beyond_deadline,
                  // What lost the first attempt may have closed the kept
                  // connections too.
                  .may_reuse = r.attempt == 1});
    cancel(ctx, std::exchange(r.silence_timer, 0));
    r.first_byte_due = false;
    r.byte_at = at;
    r.silence_timer = schedule(
        ctx, of_target(r, state.options.dark_targets, state.options.dark_floor),
        request_check_due{r.request.id});
}

} // namespace

duration of_target(entry_request const& r, double targets, duration floor)
{
    std::chrono::duration<double, duration::period> const target{
        static_cast<double>(r.request.terms.latency_target.count())};
    return std::max(std::chrono::duration_cast<duration>(target * targets),
                    floor);
}

bool has_alternative(entry_state& state, entry_request const& r, time_point at)
{
    return !find_servers(state, r, at).views.empty();
}

duration time_left(entry_state const& state, entry_request const& r,
                   time_point at)
{
    return r.request.deadline - at - state.options.deadline_margin;
}

duration retry_hint(entry_state& state, duration least)
{
    std::uniform_int_distribution<std::int64_t> spread{least.count(),
                                                       2 * least.count()};
    return duration{spread(state.random)};
}

void send_attempt(entry_state& state, entry_context& ctx, entry_request& r)
{
    auto const at = now(ctx);
    if (time_left(state, r, at) < least_attempt)
    {
        end_request(state, ctx, r,
                    {error_kind::deadline_exceeded, "no time left to send"});
        return;
    }
    if (takes_servers_down(state, r, at))
    {
        count(state.counted, counter::quarantines);
        end_request(state, ctx, r,
                    {error_kind::quarantined, "in flight at each crash"},
                    state.options.crash_retry_after);
        return;
    }
    if (r.attempt == 0)
        r.request.service = pick_service(r, *state.deployment);
    auto const eligible = find_servers(state, r, at);
    auto const load = load_of(state, r.request.service);
    auto const choice = decisions::select_server(
        eligible.options, mean_of(load), prompt_of(state, r, load, at),
        state.options.choice, state.random());
    if (!choice)
    {
        auto cause =
            r.last_failure.detail.empty()
                ? error{error_kind::no_eligible_server, r.request.service.value}
                : r.last_failure;
        end_request(state, ctx, r, std::move(cause),
                    retry_hint(state, state.options.retry_after));
        return;
    }
    dispatch_to(state, ctx, r, *eligible.views[choice->index], *choice);
}

void drop_attempt(entry_state& state, entry_context& ctx, entry_request& r)
{
    cancel(ctx, std::exchange(r.silence_timer, 0));
    if (r.attempt == 0 || r.server.empty())
        return;
    send(state.backend, abort_attempt{{r.request.id, r.attempt}});
    if (auto* const view = server_of(state, r); view && view->own > 0)
        --view->own;
    r.server = {};
}

void try_again(entry_state& state, entry_context& ctx, entry_request& r,
               error cause)
{
    r.last_failure = cause;
    bool const ran = r.may_have_run;
    bool const allowed = !ran || r.request.kind == request_kind::idempotent;
    auto const at = now(ctx);
    if (!allowed || r.sent >= r.request.terms.max_attempts ||
        time_left(state, r, at) < least_attempt)
    {
        end_request(state, ctx, r, std::move(cause),
                    retry_hint(state, state.options.retry_after));
        return;
    }
    // An attempt that reached no server was no arrival there.
    bool const repeat = r.sent > 0;
    if (repeat &&
        !decisions::acquire_retry(state.retries[r.request.service],
                                  state.options.retries, fleet_of(state), at))
    {
        count(state.counted, counter::retries_denied);
        end_request(state, ctx, r,
                    {error_kind::retry_budget_exhausted, cause.detail},
                    retry_hint(state, state.options.retry_after));
        return;
    }
    count(state.counted, counter::retries);
    send_attempt(state, ctx, r);
}

} // namespace bramleyarch::services

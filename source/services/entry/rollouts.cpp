/// Rollouts: which version a request goes to, what its attempts show, and the
/// decisions that are written.
#include "services/entry/entry_parts.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

constexpr int min_failure_status = 500;

/// Tokens that a server may have to read of a prompt for its time to be
/// compared; about the length of a question and its instructions.
constexpr std::uint32_t max_uncached_tokens = 512;

/// Parts that are kept for each rollout, 1 MiB.
constexpr std::size_t max_cached_parts = 32'768;

service_rollout* find_rollout(entry_state& state, service_id const& service)
{
    auto const found = state.rollouts.find(service);
    return found == state.rollouts.end() ? nullptr : &found->second;
}

/// Returns the rollout whose evidence an attempt belongs to, or nullptr if it
/// has ended.
decisions::rollout* find_rollout_of(entry_state& state,
                                    entry_request const& request)
{
    if (!request.rollout)
        return nullptr;
    auto* const found = find_rollout(state, request.rollout->service);
    bool const is_same = found && found->rollout &&
                         found->rollout->order == request.rollout->order;
    return is_same ? &*found->rollout : nullptr;
}

bool is_new_version(service_rollout const& entry, backend_server const& server)
{
    return decisions::allows_version(entry.versions, server.listed.version) ==
           decisions::version_use::new_version;
}

bool is_in_service(backend_server const& server, service_id const& service)
{
    return server.listed.service == service && !server.listed.leaving;
}

/// Orders of services that the rules do not list change nothing.
std::optional<config::rollout_order>
order_of(entry_state& state, service_id const& service, service_rollout& entry)
{
    auto const& deployment = *state.deployment;
    auto const found = deployment.rollouts.find(service);
    if (found == deployment.rollouts.end())
        return std::nullopt;
    if (deployment.rules && deployment.rules->services.contains(service))
        return found->second;
    if (std::exchange(entry.ignored_order, found->second.changed) !=
        found->second.changed)
    {
        count(state.telemetry_sink, counter::rollouts_ignored);
        log(state.telemetry_sink, log_severity::warning, "rollout_ignored",
            fmt::format("service={} to={} order={} reason=unknown_service",
                        service.value, found->second.to_version,
                        found->second.changed));
    }
    return entry.versions.order;
}

void apply_status(entry_state& state, service_rollout& entry,
                  config::rollout_status const& status, time_point at)
{
    decisions::apply_status(entry.versions, status);
    if (!entry.rollout || !entry.versions.status ||
        !decisions::is_status_of_order(entry.versions))
        return;
    auto const before = entry.rollout->stored;
    decisions::apply_stored_state(*entry.rollout, entry.versions.status->state,
                                  at);
    if (before == entry.rollout->stored)
        return;
    log(state.telemetry_sink, log_severity::info, "rollout_status",
        fmt::format("service={} to={} order={} state={} status={} age_ms={}",
                    status.service.value, status.to_version,
                    entry.rollout->order, to_name(status.state), status.changed,
                    to_ms(at - entry.rollout->started_at)));
}

/// Starts the rollout of an order, or ends it if there is none.
void follow_order(entry_state& state, service_id const& service,
                  service_rollout& entry, time_point at)
{
    auto const order = order_of(state, service, entry);
    auto const former = entry.versions.order;
    decisions::apply_order(entry.versions, order);
    if (!order)
    {
        if (former)
            log(state.telemetry_sink, log_severity::info, "rollout_withdrawn",
                fmt::format("service={} to={} order={}", service.value,
                            former->to_version, former->changed));
        entry.rollout.reset();
        return;
    }
    if (entry.rollout && entry.rollout->order == order->changed)
        return;
    entry.rollout = decisions::make_rollout(
        {.plan = {.limits = state.options.exposure}}, *order,
        state.options.self, state.other_routers, at);
    entry.cached_parts.clear();
    count(state.telemetry_sink, counter::rollouts_started);
    log(state.telemetry_sink, log_severity::info, "rollout_ordered",
        fmt::format("service={} to={} order={} length_ms={} routers={} rank={}",
                    service.value, order->to_version, order->changed,
                    to_ms(order->length), entry.rollout->routers,
                    entry.rollout->rank));
}

/// Revision up to which this router knows the operators' records.
revision records_revision(config::deployment const& deployment)
{
    auto known = deployment.rules ? deployment.rules->version : revision{};
    for (auto const& [service, order] : deployment.rollouts)
        known = std::max(known, order.changed);
    return known;
}

void log_finding(entry_state& state, service_id const& service,
                 decisions::rollout const& rollout, time_point at)
{
    auto const& found = *rollout.finding;
    count(state.telemetry_sink, counter::rollout_versions_bad);
    log(state.telemetry_sink, log_severity::warning, "rollout_version_bad",
        fmt::format("service={} order={} cause={} route={:x} period_ms={} "
                    "new_bad={} new_answers={} old_bad={} old_answers={} "
                    "probability={:.2g} age_ms={} heard_ms_ago={}",
                    service.value, rollout.order, to_name(found.cause),
                    found.route, to_ms(found.period), found.new_bad,
                    found.new_answers, found.old_bad, found.old_answers,
                    found.probability, to_ms(at - rollout.started_at),
                    to_ms(at - rollout.book.heard_at)));
}

void log_step(entry_state& state, service_id const& service,
              decisions::rollout const& rollout, std::size_t new_servers,
              time_point at)
{
    auto const totals = decisions::totals_of(rollout, at);
    log(state.telemetry_sink, log_severity::info, "rollout_step",
        fmt::format(
            "service={} order={} step={} requests={:.0f} "
            "at_new_version={:.0f} per_s={:.1f} new_servers={} "
            "routers={} age_ms={} heard_ms_ago={}",
            service.value, rollout.order, to_name(rollout.step), totals.all,
            totals.new_version, totals.per_second, new_servers, rollout.routers,
            to_ms(at - rollout.started_at), to_ms(at - rollout.book.heard_at)));
}

void write_decision(entry_state& state, service_id const& service,
                    service_rollout const& entry, config::rollout_state written,
                    time_point at)
{
    auto const& rollout = *entry.rollout;
    auto const tested = decisions::total_of(rollout.sum, true);
    auto const old = decisions::total_of(rollout.sum, false);
    count(state.telemetry_sink, counter::rollout_decisions);
    log(state.telemetry_sink, log_severity::info, "rollout_decided",
        fmt::format("service={} to={} order={} state={} rank={} new_sent={} "
                    "new_failed={} new_slow={} old_sent={} old_failed={} "
                    "old_slow={} age_ms={} heard_ms_ago={}",
                    service.value, entry.versions.order->to_version,
                    rollout.order, to_name(written), rollout.rank, tested.sent,
                    tested.failed, tested.slow, old.sent, old.failed, old.slow,
                    to_ms(at - rollout.started_at),
                    to_ms(at - rollout.book.heard_at)));
    send(state.store_service,
         rollout_decision{.service = service,
                          .order = rollout.order,
                          .to_version = entry.versions.order->to_version,
                          .state = written});
}

/// Updates what limits the choice between the servers of the new version.
/// Returns the number of these servers.
std::size_t update_new_servers(entry_state& state, service_id const& service,
                               service_rollout& entry, time_point at)
{
    std::vector<std::uint64_t> fresh;
    double in_flight = 0;
    double servers = 0;
    for (auto const& [id, server] : state.servers)
    {
        if (!is_in_service(server, service))
            continue;
        if (is_new_version(entry, server))
            fresh.push_back(server.hash);
        in_flight += server.local_in_flight + remote_in_flight(state, server);
        servers += 1;
    }
    auto const& choice = state.options.server_choice;
    entry.load_limit = servers > 0 ? choice.limit_factor * in_flight / servers +
                                         choice.limit_slack
                                   : 0;
    auto const count = fresh.size();
    auto const& rollout = *entry.rollout;
    entry.canary =
        rollout.step == decisions::rollout_step::full ||
                rollout.step == decisions::rollout_step::streams
            ? std::move(fresh)
            : decisions::canary_servers(std::move(fresh), rollout.order,
                                        rollout.options.plan.canary_share,
                                        at - rollout.started_at);
    return count;
}

/// Hashes of the names of routes whose answers are streams.
std::vector<std::uint64_t> streaming_routes(entry_state const& state)
{
    std::vector<std::uint64_t> routes;
    if (!state.deployment || !state.deployment->rules)
        return routes;
    for (auto const& route : state.deployment->rules->routes)
    {
        if (route.streaming)
            routes.push_back(name_hash(route.name));
    }
    return routes;
}

void check_rollout(entry_state& state, service_id const& service,
                   service_rollout& entry, time_point at)
{
    auto& rollout = *entry.rollout;
    auto const new_servers = update_new_servers(state, service, entry, at);
    auto const checked = decisions::check(
        rollout,
        {.new_servers = new_servers, .streams = streaming_routes(state)}, at);
    if (checked.found_bad)
        log_finding(state, service, rollout, at);
    if (checked.step_changed)
    {
        update_new_servers(state, service, entry, at);
        log_step(state, service, rollout, new_servers, at);
    }
    if (checked.write)
        write_decision(state, service, entry, *checked.write, at);
}

/// Returns whether the server has read most of the prompt before, as far as
/// this router knows.
bool has_cached_prompt(service_rollout const& entry, std::uint64_t server,
                       std::vector<prompt_part> const& prompt)
{
    std::uint32_t uncached = 0;
    for (auto const& part : prompt)
    {
        if (!entry.cached_parts.contains(mix(server, part.id)))
            uncached += part.tokens;
    }
    return uncached <= max_uncached_tokens;
}

void record_cached_prompt(service_rollout& entry, std::uint64_t server,
                          std::vector<prompt_part> const& prompt)
{
    if (entry.cached_parts.size() + prompt.size() > max_cached_parts)
        entry.cached_parts.clear();
    for (auto const& part : prompt)
        entry.cached_parts.insert(mix(server, part.id));
}

} // namespace

void update_rollouts(entry_state& state, time_point at)
{
    auto const& deployment = *state.deployment;
    for (auto const& [service, order] : deployment.rollouts)
        state.rollouts[service];
    for (auto const& [service, status] : deployment.rollout_statuses)
        state.rollouts[service];
    for (auto const& [id, server] : deployment.servers)
        state.rollouts[server.service];
    for (auto& [service, entry] : state.rollouts)
    {
        // The status may end the order that is replaced.
        auto const status = deployment.rollout_statuses.find(service);
        bool const has_status = status != deployment.rollout_statuses.end();
        if (has_status)
            apply_status(state, entry, status->second, at);
        follow_order(state, service, entry, at);
        if (has_status)
            apply_status(state, entry, status->second, at);
    }
    for (auto const& [id, server] : deployment.servers)
        decisions::note_version(state.rollouts[server.service].versions,
                                server.version, server.changed,
                                !state.knows_versions, at);
    state.knows_versions = state.knows_versions || !deployment.servers.empty();
    for (auto& [service, entry] : state.rollouts)
    {
        decisions::release_held_versions(entry.versions,
                                         records_revision(deployment), at);
        if (entry.rollout)
            update_new_servers(state, service, entry, at);
    }
}

void update_rollout_routers(entry_state& state)
{
    for (auto& [service, entry] : state.rollouts)
    {
        if (entry.rollout)
            decisions::update_routers(*entry.rollout, state.options.self,
                                      state.other_routers, service);
    }
}

void apply_rollout_evidence(entry_state& state,
                            decisions::peer_heartbeat const& heartbeat,
                            time_point at)
{
    for (auto& [service, entry] : state.rollouts)
    {
        if (!entry.rollout)
            continue;
        decisions::record_contact(*entry.rollout, at);
        for (auto const& evidence : heartbeat.rollouts)
        {
            if (evidence.service == name_hash(service.value))
                decisions::apply_evidence(*entry.rollout, state.options.domain,
                                          heartbeat, evidence, at);
        }
    }
}

void apply_rollout_status(entry_state& state,
                          config::rollout_status const& status, time_point at)
{
    apply_status(state, state.rollouts[status.service], status, at);
}

void check_rollouts(entry_state& state, local_load_report& report,
                    time_point at)
{
    for (auto& [service, entry] : state.rollouts)
    {
        if (state.deployment)
            decisions::release_held_versions(
                entry.versions, records_revision(*state.deployment), at);
        if (!entry.rollout)
            continue;
        check_rollout(state, service, entry, at);
        report.local_rollouts.push_back(
            decisions::make_evidence(*entry.rollout, service, false, at));
        report.domain_rollouts.push_back(
            decisions::make_evidence(*entry.rollout, service, true, at));
    }
}

void choose_version(entry_state& state, entry_request& request, time_point at)
{
    request.wants_new_version = false;
    auto const* const entry = find_rollout(state, request.routed.service);
    if (!entry || !entry->rollout)
        return;
    auto const& rollout = *entry->rollout;
    // Another attempt goes to the version that is known to work.
    if (request.attempt_number > 0 &&
        rollout.step != decisions::rollout_step::full)
        return;
    std::uniform_real_distribution<> draw{0, 1};
    request.wants_new_version = decisions::prefers_new_version(
        rollout, name_hash(request.routed.terms.route),
        request.routed.terms.streaming, draw(state.random), at);
}

bool leave_new_version(entry_request& request)
{
    return std::exchange(request.wants_new_version, false);
}

bool may_run_at(entry_state const& state, entry_request const& request,
                backend_server const& server)
{
    auto const found = state.rollouts.find(server.listed.service);
    if (found == state.rollouts.end())
        return true;
    auto const& entry = found->second;
    auto const use =
        decisions::allows_version(entry.versions, server.listed.version);
    if (!request.wants_new_version)
        return use == decisions::version_use::allowed;
    if (use != decisions::version_use::new_version)
        return use == decisions::version_use::allowed &&
               entry.rollout->stored == config::rollout_state::succeeded;
    auto const load = server.local_in_flight + remote_in_flight(state, server);
    return load < entry.load_limit &&
           std::ranges::count(entry.canary, server.hash) > 0;
}

void record_rollout_send(entry_state& state, entry_request& request,
                         backend_server const& server, time_point at)
{
    request.wants_new_version = false;
    request.rollout.reset();
    auto* const entry = find_rollout(state, server.listed.service);
    if (!entry || !entry->rollout || decisions::is_decided(*entry->rollout))
        return;
    bool const comparable =
        server.cold_until <= at &&
        has_cached_prompt(*entry, server.hash, request.routed.terms.prompt);
    request.rollout = {.service = server.listed.service,
                       .order = entry->rollout->order,
                       .side = {name_hash(request.routed.terms.route),
                                is_new_version(*entry, server)},
                       .server = server.hash,
                       .comparable = comparable};
    decisions::record_event(entry->rollout->book, request.rollout->side,
                            decisions::rollout_event::sent);
}

void record_rollout_first_byte(entry_state& state, entry_request& request,
                               time_point at)
{
    auto* const rollout = find_rollout_of(state, request);
    if (!rollout || request.rollout->began ||
        request.attempt_status >= min_failure_status)
        return;
    auto& attempt = *request.rollout;
    attempt.began = true;
    record_cached_prompt(*find_rollout(state, attempt.service), attempt.server,
                         request.routed.terms.prompt);
    if (!attempt.comparable)
        return;
    auto const waited = at - request.attempt_started_at;
    decisions::record_first_byte(rollout->book, attempt.side, waited);
    if (waited > decisions::slow_after(*rollout, attempt.side.first,
                                       request.routed.terms.latency_target))
        decisions::record_event(rollout->book, attempt.side,
                                decisions::rollout_event::slow);
}

void record_rollout_end(entry_state& state, entry_request& request, bool failed,
                        time_point at)
{
    bool const is_failure =
        failed || request.attempt_status >= min_failure_status;
    if (!is_failure)
        record_rollout_first_byte(state, request, at);
    if (auto* const rollout = find_rollout_of(state, request))
        decisions::record_event(rollout->book, request.rollout->side,
                                is_failure
                                    ? decisions::rollout_event::failed
                                    : decisions::rollout_event::answered);
    request.rollout.reset();
}

void record_rollout_silence(entry_state& state, entry_request& request,
                            time_point at)
{
    auto* const rollout = find_rollout_of(state, request);
    if (rollout && !request.rollout->began && request.rollout->comparable &&
        at - request.attempt_started_at >
            decisions::slow_after(*rollout, request.rollout->side.first,
                                  request.routed.terms.latency_target))
        decisions::record_event(rollout->book, request.rollout->side,
                                decisions::rollout_event::slow);
    request.rollout.reset();
}

} // namespace bramleyarch::services

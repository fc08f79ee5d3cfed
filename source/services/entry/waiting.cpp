/// Requests that wait while their service is short of room.
#include "services/entry/entry_parts.hpp"

#include "common/digest.hpp"
#include "common/request_id_text.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

/// A service is short of room when the believed load of its usable servers is
/// at or above this multiple of their slots. In calm it is about a third.
constexpr double shortage_factor = 1;

/// Waiting requests, and the bytes of their bodies, of all services together; a
/// tenth of a router of 160 MB.
constexpr std::size_t max_waiting = 256;
constexpr std::size_t max_waiting_bytes = 16U << 20;

/// While requests wait, it is checked this often whether loads of other routers
/// have changed or time has run out; a fraction of the shortest objective.
constexpr duration check_interval = std::chrono::milliseconds{10};

/// Weight of the newest attempt in the moving averages of a service.
constexpr double newest_weight = 1.0 / 16;

/// A request's work is estimated from its tokens between these multiples of
/// the mean.
constexpr double min_work_ratio = 0.25;
constexpr double max_work_ratio = 4;

/// The work counts for at most this part of a request's time limit, so that an
/// estimate alone does not lead to a rejection.
constexpr double max_limit_part = 0.5;

/// Window of the arrivals that are reported.
constexpr double arrivals_window_s = 10;

/// Retry-After of requests that wait when the router stops: others serve them.
constexpr duration stop_retry_after = std::chrono::milliseconds{25};

/// The servers of a service that can be sent requests.
struct service_room
{
    double load = 0; ///< Requests in flight, of all routers, as believed.
    std::uint32_t slots = 0;
    std::uint32_t own = 0; ///< Requests in flight of this router.
};

service_room room_of(entry_state const& state, service_id const& service,
                     time_point at)
{
    service_room room;
    for (auto const& [id, server] : state.servers)
    {
        if (server.listed.service != service)
            continue;
        room.own += server.local_in_flight;
        if (!is_in_use(state, service, server) || server.ejected ||
            server.cold_until > at ||
            time_to_accept(state, server, at) != duration::zero())
            continue;
        room.load += server.local_in_flight + remote_in_flight(state, server);
        room.slots += std::max(server.listed.slots, 1U);
    }
    return room;
}

bool is_short_of_room(service_room const& room)
{
    return room.slots > 0 && room.load >= room.slots * shortage_factor;
}

/// What decides whether a request waits, with its inputs.
struct waiting_inputs
{
    service_room room;
    decisions::capacity_part part;
    decisions::serving_pace pace;
};

waiting_inputs inputs_of(entry_state const& state, service_id const& service,
                         service_waiting const& waiting, time_point at)
{
    waiting_inputs in{.room = room_of(state, service, at)};
    in.part = decisions::part_of(state.waiting.shares, name_hash(service.value),
                                 in.room.slots, waiting.hold,
                                 state.waiting.position, at);
    auto const own = static_cast<double>(in.room.own) +
                     static_cast<double>(waiting.queue.waiting.size());
    in.pace = {.hold = waiting.hold,
               .slots = static_cast<double>(in.part.allowed),
               .room_elsewhere = in.part.others_need + own < in.room.slots};
    return in;
}

/// Text of the inputs for log lines.
std::string text_of(waiting_inputs const& in, service_waiting const& waiting)
{
    return fmt::format(
        "load={} slots={} own={} allowed={} share={:.2f} own_need={:.1f} "
        "others_need={:.1f} unheard={:.1f} routers={:.0f} demand_age_ms={} "
        "hold_ms={} queued={}",
        in.room.load, in.room.slots, in.room.own, in.part.allowed, in.part.part,
        in.part.own_need, in.part.others_need, in.part.unheard, in.part.routers,
        to_ms(in.part.oldest), to_ms(waiting.hold),
        waiting.queue.waiting.size());
}

/// Logs the start and the end of a shortage.
void record_shortage(entry_state& state, service_id const& service,
                     service_waiting& waiting, waiting_inputs const& in)
{
    bool const is_short = is_short_of_room(in.room);
    if (std::exchange(waiting.is_short, is_short) != is_short)
        log(state.telemetry_sink, log_severity::info,
            is_short ? "shortage_began" : "shortage_ended",
            fmt::format("service={} {}", service.value, text_of(in, waiting)));
}

void decay_arrivals(service_waiting& waiting, time_point at)
{
    std::chrono::duration<double> const elapsed{at - waiting.arrivals_at};
    waiting.arrivals *= std::exp(-elapsed.count() / arrivals_window_s);
    waiting.arrivals_at = at;
}

duration scaled(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(time) * factor);
}

duration expected_work(service_waiting const& waiting,
                       entry_request const& request)
{
    auto const ratio =
        waiting.tokens > 0 ? request.routed.work / waiting.tokens : 1;
    auto const work =
        scaled(waiting.hold, std::clamp(ratio, min_work_ratio, max_work_ratio));
    auto const limit = request.routed.deadline - request.routed.terms.received;
    return std::min(work, scaled(limit, max_limit_part));
}

decisions::waiting_request describe(entry_state const& state,
                                    service_waiting const& waiting,
                                    entry_request const& request)
{
    auto const& routed = request.routed;
    auto const& terms = routed.terms;
    auto const deadline = routed.deadline - state.options.deadline_margin;
    return {.id = routed.id,
            .team = routed.team,
            .caller = terms.caller_id.empty() ? 0 : name_hash(terms.caller_id),
            .rank = terms.rank,
            .work = expected_work(waiting, request),
            .first_byte = waiting.first_byte,
            .bytes = routed.body ? routed.body->size() : 0,
            .since = terms.received,
            .objective = terms.latency_target > duration::zero()
                             ? terms.received + terms.latency_target
                             : deadline,
            .deadline = deadline};
}

/// Limits the queue to what all queues together may still take.
void limit_queue(entry_state const& state, service_waiting& waiting)
{
    std::size_t requests = 0;
    std::size_t bytes = 0;
    for (auto const& [service, other] : state.waiting.services)
    {
        requests += other.queue.waiting.size();
        bytes += other.queue.bytes;
    }
    auto& queue = waiting.queue;
    decisions::waiting_options const defaults;
    queue.options.max_requests = std::min(
        defaults.max_requests, queue.waiting.size() + max_waiting - requests);
    queue.options.max_bytes =
        std::min(defaults.max_bytes, queue.bytes + max_waiting_bytes - bytes);
}

/// Rejects a request that waits, with the reason and the time after which its
/// caller should return. `request` is removed.
void reject(entry_state& state, entry_context& ctx, entry_request& request,
            decisions::rejected_request const& rejected)
{
    auto const at = now(ctx);
    auto const& service = request.routed.service;
    auto const& waiting = state.waiting.services[service];
    count(state.telemetry_sink, counter::rejected_ahead);
    log(state.telemetry_sink, log_severity::info, "rejected_ahead",
        fmt::format("request={} service={} team={} rank={} cause={} "
                    "expected_wait_ms={} waited_ms={} objective_left_ms={} "
                    "left_ms={} retry_after_ms={} promises={} {}",
                    to_text(request.routed.id), service.value,
                    field_text(request.routed.team.value),
                    rejected.request.rank, to_name(rejected.cause),
                    to_ms(rejected.expected_wait),
                    to_ms(at - request.routed.terms.received),
                    to_ms(rejected.request.objective - at),
                    to_ms(rejected.request.deadline - at),
                    to_ms(rejected.retry_after), waiting.queue.promises.size(),
                    text_of(inputs_of(state, service, waiting, at), waiting)));
    fail_request(state, ctx, request,
                 {error_kind::queue_full,
                  fmt::format("{} is short of room ({}); expected wait {} ms",
                              service.value, to_name(rejected.cause),
                              to_ms(rejected.expected_wait))},
                 rejected.retry_after);
}

/// Schedules the next check of a queue, instead of the one that is due.
void check_after(entry_context& ctx, service_id const& service,
                 service_waiting& waiting, duration delay)
{
    cancel(ctx, waiting.timer);
    waiting.timer = schedule(ctx, delay, waiting_due{service});
}

/// Queues a request. Returns its own rejection, if it cannot be served in time;
/// other requests that are rejected are told at the next check.
std::optional<decisions::rejected_request>
queue_request(entry_state& state, entry_context& ctx, entry_request& request,
              waiting_inputs const& in)
{
    auto const at = now(ctx);
    auto const& service = request.routed.service;
    auto& waiting = state.waiting.services[service];
    limit_queue(state, waiting);
    auto const described = describe(state, waiting, request);
    auto const wait =
        decisions::expected_wait(waiting.queue, described, in.pace, at);
    request.waiting = waiting_stage::queued;
    std::optional<decisions::rejected_request> own;
    for (auto& rejected : decisions::enqueue(waiting.queue, described, in.pace,
                                             at, state.random()))
    {
        if (rejected.request.id == described.id)
            own = std::move(rejected);
        else
            waiting.rejected.push_back(std::move(rejected));
    }
    bool const is_urgent =
        !waiting.rejected.empty() || in.room.own < in.part.allowed;
    if (is_urgent || waiting.timer == 0)
        check_after(ctx, service, waiting,
                    is_urgent ? duration::zero() : check_interval);
    if (own)
        return own;
    bool const returned = waiting.queue.waiting.back().returned;
    count(state.telemetry_sink, counter::requests_waited);
    log(state.telemetry_sink, log_severity::info, "request_waits",
        fmt::format("request={} service={} team={} rank={} expected_wait_ms={} "
                    "objective_left_ms={} left_ms={} work_ms={} returned={} "
                    "team_excess={:.2f} {}",
                    to_text(request.routed.id), service.value,
                    field_text(described.team.value), described.rank,
                    to_ms(wait), to_ms(described.objective - at),
                    to_ms(described.deadline - at), to_ms(described.work),
                    returned,
                    decisions::team_excess(waiting.queue, described.team, at),
                    text_of(in, waiting)));
    return std::nullopt;
}

/// Returns whether a request will miss its objective if it is not sent now.
bool has_used_its_slack(decisions::waiting_queue const& queue, time_point at)
{
    return std::any_of(
        queue.waiting.begin(), queue.waiting.end(),
        [at](decisions::waiting_request const& request)
        {
            auto const slack = request.objective - request.first_byte - at;
            return slack >= duration::zero() && slack < check_interval;
        });
}

/// Returns whether the next request of the queue is sent now. A request that
/// has no slack left goes beyond the share of this router while servers are
/// believed to bear it.
bool may_send_next(entry_state const& state, service_waiting const& waiting,
                   waiting_inputs const& in, time_point at)
{
    if (waiting.queue.waiting.empty())
        return false;
    return state.options.waiting == waiting_mode::off ||
           !is_short_of_room(in.room) || in.room.own < in.part.allowed ||
           (in.room.load < in.part.room &&
            has_used_its_slack(waiting.queue, at));
}

void reject_each(entry_state& state, entry_context& ctx,
                 std::vector<decisions::rejected_request> const& all)
{
    for (auto const& rejected : all)
    {
        auto const found = state.requests.find(rejected.request.id);
        if (found != state.requests.end() &&
            found->second.waiting == waiting_stage::queued)
            reject(state, ctx, found->second, rejected);
    }
}

/// Sends a request that has left the queue.
void release(entry_state& state, entry_context& ctx,
             decisions::waiting_request const& next, waiting_inputs const& in)
{
    auto const found = state.requests.find(next.id);
    if (found == state.requests.end())
        return;
    auto const at = now(ctx);
    auto& request = found->second;
    request.waiting = waiting_stage::released;
    count(state.telemetry_sink, counter::sent_after_waiting);
    log(state.telemetry_sink, log_severity::info, "sent_after_waiting",
        fmt::format(
            "request={} service={} team={} rank={} waited_ms={} "
            "objective_left_ms={} left_ms={} returned={} {}",
            to_text(next.id), request.routed.service.value,
            field_text(next.team.value), next.rank,
            to_ms(at - request.routed.terms.received),
            to_ms(next.objective - at), to_ms(next.deadline - at),
            next.returned,
            text_of(in, state.waiting.services[request.routed.service])));
    send_attempt(state, ctx, request);
}

} // namespace

bool must_wait(entry_state& state, entry_context& ctx, entry_request& request)
{
    if (state.options.waiting == waiting_mode::off || state.draining)
        return false;
    if (std::exchange(request.waiting, waiting_stage::none) ==
        waiting_stage::released)
        return false;
    auto const at = now(ctx);
    auto& waiting = state.waiting.services[request.routed.service];
    if (request.attempt_number == 0)
    {
        decay_arrivals(waiting, at);
        waiting.arrivals += 1;
    }
    if (request.stage != request_stage::awaiting_answer ||
        request.may_have_run || request.is_trial)
        return false;
    auto const in = inputs_of(state, request.routed.service, waiting, at);
    record_shortage(state, request.routed.service, waiting, in);
    bool const has_room =
        !is_short_of_room(in.room) || in.room.own < in.part.allowed;
    if (has_room && waiting.queue.waiting.empty())
    {
        decisions::record_work(waiting.queue, request.routed.team,
                               expected_work(waiting, request), at);
        return false;
    }
    if (auto const own = queue_request(state, ctx, request, in))
        reject(state, ctx, request, *own);
    return true;
}

void send_waiting(entry_state& state, entry_context& ctx,
                  service_id const& service)
{
    auto const found = state.waiting.services.find(service);
    if (found == state.waiting.services.end())
        return;
    auto& waiting = found->second;
    waiting.timer = 0;
    auto const at = now(ctx);
    reject_each(state, ctx, std::exchange(waiting.rejected, {}));
    auto in = inputs_of(state, service, waiting, at);
    record_shortage(state, service, waiting, in);
    reject_each(state, ctx,
                decisions::remove_unservable(waiting.queue, in.pace, at,
                                             state.random()));
    while (may_send_next(state, waiting, in, at))
    {
        release(state, ctx, *decisions::dequeue(waiting.queue, at), in);
        in = inputs_of(state, service, waiting, at);
    }
    if (!waiting.queue.waiting.empty())
        check_after(ctx, service, waiting, check_interval);
}

void remove_from_waiting(entry_state& state, entry_request const& request)
{
    if (request.waiting != waiting_stage::queued)
        return;
    auto const found = state.waiting.services.find(request.routed.service);
    if (found != state.waiting.services.end())
        decisions::remove_waiting(found->second.queue, request.routed.id);
}

bool reject_expired_waiting(entry_state& state, entry_context& ctx,
                            entry_request& request)
{
    if (request.waiting != waiting_stage::queued)
        return false;
    auto const& waiting = state.waiting.services[request.routed.service];
    reject(state, ctx, request,
           {.request = describe(state, waiting, request),
            .cause = decisions::rejection_cause::misses_deadline,
            .retry_after =
                jittered_retry_after(state, state.options.min_retry_after)});
    return true;
}

void reject_all_waiting(entry_state& state, entry_context& ctx)
{
    std::vector<request_id> waiting;
    for (auto const& [id, request] : state.requests)
        if (request.waiting == waiting_stage::queued)
            waiting.push_back(id);
    for (auto const& id : waiting)
        fail_request(state, ctx, state.requests.at(id),
                     {error_kind::draining,
                      "this instance stops; the request was not sent"},
                     jittered_retry_after(state, stop_retry_after));
}

void record_attempt_end(entry_state& state, entry_context& ctx,
                        entry_request const& request)
{
    auto const found = state.waiting.services.find(request.routed.service);
    if (found == state.waiting.services.end())
        return;
    auto& waiting = found->second;
    auto const average = [](duration& mean, duration newest)
    {
        mean = mean > duration::zero()
                   ? mean + scaled(newest - mean, newest_weight)
                   : newest;
    };
    auto const started = request.attempt_started_at;
    if (is_success(request.attempt_status) && request.first_byte_at >= started)
    {
        average(waiting.hold, now(ctx) - started);
        average(waiting.first_byte, request.first_byte_at - started);
        auto const tokens = static_cast<double>(request.routed.work);
        waiting.tokens += waiting.tokens > 0
                              ? newest_weight * (tokens - waiting.tokens)
                              : tokens;
    }
    if (!waiting.queue.waiting.empty())
        check_after(ctx, found->first, waiting, duration::zero());
}

void record_demands(entry_state& state, entry_context& ctx,
                    decisions::peer_heartbeat const& heartbeat)
{
    // Also while the queues are off: they may be turned on by a reload, and
    // routers that were not heard of would be taken to be gone.
    decisions::apply_demands(state.waiting.shares, heartbeat, now(ctx));
}

void record_fleet(entry_state& state, time_point at)
{
    auto const& others = state.other_routers;
    auto const before = std::count_if(others.begin(), others.end(),
                                      [&state](router_id const& other)
                                      { return other < state.options.self; });
    state.waiting.position =
        (static_cast<double>(before) + 0.5) / router_count(state);
    decisions::set_routers(state.waiting.shares, others, at);
}

void add_demands(entry_state& state, entry_context& ctx,
                 local_load_report& report)
{
    if (state.options.waiting == waiting_mode::off)
        return;
    auto const at = now(ctx);
    decisions::refresh(state.waiting.shares, at);
    constexpr int ticks_per_line = 4; // One line per second.
    for (auto& [service, waiting] : state.waiting.services)
    {
        decay_arrivals(waiting, at);
        decisions::remove_expired(waiting.queue, at);
        decisions::service_demand const demand{
            .service = name_hash(service.value),
            .in_flight = room_of(state, service, at).own,
            .waiting = static_cast<std::uint32_t>(waiting.queue.waiting.size()),
            .arrivals_per_10_s =
                static_cast<std::uint32_t>(std::lround(waiting.arrivals))};
        decisions::record_sent_demand(state.waiting.shares, demand,
                                      waiting.hold, at);
        if (demand.in_flight + demand.waiting + demand.arrivals_per_10_s > 0)
            report.local_demands.push_back(demand);
        if (waiting.is_short && state.ticks % ticks_per_line == 0)
            log(state.telemetry_sink, log_severity::info, "shortage",
                fmt::format(
                    "service={} promises={} teams={} {}", service.value,
                    waiting.queue.promises.size(), waiting.queue.teams.size(),
                    text_of(inputs_of(state, service, waiting, at), waiting)));
    }
    report.domain_demands =
        decisions::domain_demands(state.waiting.shares, report.local_demands);
}

} // namespace bramleyarch::services

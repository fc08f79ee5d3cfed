#include "decisions/waiting_queue.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleyarch::decisions
{

namespace
{

/// Weight of the newest request in the mean work: an average over some twenty.
constexpr double mean_weight = 0.05;

/// Teams that have used less than this, in seconds, are forgotten.
constexpr double min_usage_s = 1e-4;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration from_seconds(double time)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{time});
}

double usage_at(waiting_queue const& queue, team_usage const& usage,
                time_point at)
{
    return usage.work_s * std::exp(-seconds(at - usage.updated) /
                                   seconds(queue.options.team_window));
}

/// Work that each team may have used, in seconds: an equal part and the
/// allowance. Without a limit while there is one team only.
std::optional<double> team_entitlement(waiting_queue const& queue,
                                       time_point at)
{
    double total = 0;
    std::size_t active = 0;
    for (auto const& [id, usage] : queue.teams)
    {
        auto const work = usage_at(queue, usage, at);
        total += work;
        active += work > min_usage_s || usage.waiting > 0 ? 1 : 0;
    }
    if (active < 2)
        return std::nullopt;
    return total / static_cast<double>(active) +
           queue.options.team_allowance * seconds(queue.mean_work);
}

double excess_over(std::optional<double> entitlement,
                   waiting_queue const& queue, team_id const& team,
                   time_point at)
{
    auto const found = queue.teams.find(team);
    if (!entitlement || *entitlement <= 0 || found == queue.teams.end())
        return 0;
    return std::max(usage_at(queue, found->second, at) / *entitlement - 1, 0.0);
}

/// Returns whether an answer can still be timely if the request is sent at
/// `sent`.
bool is_timely(waiting_request const& request, time_point sent)
{
    return sent + request.first_byte <= request.objective;
}

/// Returns the effect of the work: requests that need less go first.
double work_effect(waiting_queue const& queue, waiting_request const& request)
{
    if (request.work <= duration::zero() || queue.mean_work <= duration::zero())
        return 0;
    auto const limit = queue.options.max_work_effect;
    return std::clamp(
        std::log(seconds(queue.mean_work) / seconds(request.work)), -limit,
        limit);
}

double slack_effect(waiting_options const& options, duration slack)
{
    auto const counted =
        std::max(slack - options.slack_reserve, duration::zero());
    return std::min(seconds(counted) / seconds(options.slack_scale),
                    options.max_slack_effect);
}

double urgency_of(waiting_queue const& queue, waiting_request const& request,
                  std::optional<double> entitlement, time_point at)
{
    auto const& options = queue.options;
    bool const timely = is_timely(request, at);
    auto const slack = timely ? request.objective - at - request.first_byte
                              : request.deadline - at - request.work;
    return -options.rank_step * request.rank +
           (timely ? 0 : std::log(options.late_value)) -
           // A caller that was told to wait has no slack left to give.
           (request.returned ? 0 : slack_effect(options, slack)) +
           work_effect(queue, request) +
           (request.returned ? options.returned_effect : 0) +
           seconds(at - request.since) / seconds(options.ageing) -
           std::min(options.team_effect *
                        excess_over(entitlement, queue, request.team, at),
                    options.max_team_effect);
}

/// Returns the time between two requests that leave the queue.
duration leaving_interval(serving_pace const& pace)
{
    return from_seconds(seconds(pace.hold) / std::max(pace.slots, 1.0));
}

/// A request with its urgency and the time until it is expected to be sent.
struct planned_request
{
    std::size_t index = 0; ///< In `waiting_queue::waiting`.
    double urgency = 0;
    duration wait{};
};

/// Returns the requests in the order in which they would be sent from now on.
std::vector<planned_request> plan(waiting_queue const& queue,
                                  serving_pace const& pace, time_point at)
{
    std::vector<planned_request> planned;
    planned.reserve(queue.waiting.size());
    auto const entitlement = team_entitlement(queue, at);
    for (std::size_t i = 0; i < queue.waiting.size(); ++i)
        planned.push_back(
            {.index = i,
             .urgency = urgency_of(queue, queue.waiting[i], entitlement, at)});
    std::stable_sort(planned.begin(), planned.end(),
                     [](auto const& a, auto const& b)
                     { return a.urgency > b.urgency; });
    auto const interval = leaving_interval(pace);
    duration wait{};
    for (auto& entry : planned)
        entry.wait = wait += interval;
    return planned;
}

void remove_at(waiting_queue& queue, std::size_t index)
{
    auto const& request = queue.waiting[index];
    queue.bytes -= request.bytes;
    auto const team = queue.teams.find(request.team);
    if (team != queue.teams.end() && team->second.waiting > 0)
        --team->second.waiting;
    queue.waiting.erase(queue.waiting.begin() +
                        static_cast<std::ptrdiff_t>(index));
}

/// Returns when a rejected caller should return: once the requests ahead of it
/// have left, and after the callers that were promised as much before it. More
/// urgent callers return earlier, since less urgent ones don't count for them.
duration return_time(waiting_queue const& queue, waiting_request const& request,
                     duration wait, serving_pace const& pace, time_point at,
                     std::uint64_t draw)
{
    auto const& options = queue.options;
    auto const promised = std::count_if(
        queue.promises.begin(), queue.promises.end(),
        [&](auto const& entry)
        { return entry.second.due > at && entry.second.rank <= request.rank; });
    auto const base =
        wait + leaving_interval(pace) * static_cast<std::int64_t>(promised);
    constexpr double draws = 1024;
    auto const spread =
        1 + options.retry_spread *
                static_cast<double>(mix(draw, request.caller) % 1024) / draws;
    return std::clamp(from_seconds(seconds(base) * spread),
                      options.min_retry_after, options.max_retry_after);
}

/// Stores what the caller is told. The earliest promise makes room if there are
/// too many.
void record_promise(waiting_queue& queue, rejected_request const& rejected,
                    time_point at)
{
    auto const& request = rejected.request;
    if (request.caller == 0)
        return;
    if (queue.promises.size() >= queue.options.max_promises)
        queue.promises.erase(
            std::min_element(queue.promises.begin(), queue.promises.end(),
                             [](auto const& a, auto const& b)
                             { return a.second.due < b.second.due; }));
    queue.promises[request.caller] = {.due = at + rejected.retry_after,
                                      .first_try = request.since,
                                      .rank = request.rank};
}

/// Applies the promise that the caller was given, if there is one. A caller
/// that returns early keeps the promise and gains nothing.
void apply_promise(waiting_queue& queue, waiting_request& request,
                   time_point at)
{
    auto const found = queue.promises.find(request.caller);
    if (found == queue.promises.end() ||
        at + queue.options.early_return < found->second.due)
        return;
    request.since = std::min(request.since, found->second.first_try);
    request.returned = true;
    queue.promises.erase(found);
}

rejected_request reject(waiting_queue& queue, planned_request const& planned,
                        rejection_cause cause, serving_pace const& pace,
                        time_point at, std::uint64_t draw)
{
    rejected_request rejected{.request = queue.waiting[planned.index],
                              .cause = cause,
                              .expected_wait = planned.wait};
    rejected.retry_after =
        return_time(queue, rejected.request, planned.wait, pace, at, draw);
    remove_at(queue, planned.index);
    record_promise(queue, rejected, at);
    return rejected;
}

/// Returns why a request should not wait, or std::nullopt. `delays_timely`
/// tells whether a request after it becomes late by waiting for it.
std::optional<rejection_cause> cause_of(waiting_queue const& queue,
                                        planned_request const& planned,
                                        serving_pace const& pace,
                                        bool delays_timely, time_point at)
{
    auto const& request = queue.waiting[planned.index];
    auto const sent = at + planned.wait;
    if (sent + request.work > request.deadline)
        return rejection_cause::misses_deadline;
    if (is_timely(request, sent))
        return std::nullopt;
    if (pace.room_elsewhere && is_timely(request, at))
        return rejection_cause::misses_objective;
    if (delays_timely)
        return rejection_cause::delays_others;
    return std::nullopt;
}

/// Returns the first request of the plan that should not wait.
std::optional<std::pair<planned_request, rejection_cause>>
first_unservable(waiting_queue const& queue, serving_pace const& pace,
                 time_point at)
{
    auto const planned = plan(queue, pace, at);
    auto const interval = leaving_interval(pace);
    for (std::size_t i = 0; i < planned.size(); ++i)
    {
        bool const delays_timely = std::any_of(
            planned.begin() + static_cast<std::ptrdiff_t>(i) + 1, planned.end(),
            [&](planned_request const& later)
            {
                auto const& request = queue.waiting[later.index];
                return !is_timely(request, at + later.wait) &&
                       is_timely(request, at + later.wait - interval);
            });
        if (auto const cause =
                cause_of(queue, planned[i], pace, delays_timely, at))
            return std::pair{planned[i], *cause};
    }
    return std::nullopt;
}

bool is_over_limits(waiting_queue const& queue)
{
    return queue.waiting.size() > queue.options.max_requests ||
           queue.bytes > queue.options.max_bytes;
}

} // namespace

double team_excess(waiting_queue const& queue, team_id const& team,
                   time_point at)
{
    return excess_over(team_entitlement(queue, at), queue, team, at);
}

double urgency(waiting_queue const& queue, waiting_request const& request,
               time_point at)
{
    return urgency_of(queue, request, team_entitlement(queue, at), at);
}

duration urgency_bound(waiting_options const& options, std::uint32_t ranks)
{
    auto const effects = options.max_slack_effect -
                         std::log(options.late_value) +
                         2 * options.max_work_effect + options.returned_effect -
                         options.rank_step * ranks;
    return from_seconds(std::max(effects, 0.0) * seconds(options.ageing));
}

duration expected_wait(waiting_queue const& queue,
                       waiting_request const& request, serving_pace const& pace,
                       time_point at)
{
    auto const entitlement = team_entitlement(queue, at);
    auto const own = urgency_of(queue, request, entitlement, at);
    auto const ahead = std::count_if(
        queue.waiting.begin(), queue.waiting.end(),
        [&](waiting_request const& other)
        { return urgency_of(queue, other, entitlement, at) >= own; });
    return leaving_interval(pace) * (static_cast<std::int64_t>(ahead) + 1);
}

std::vector<rejected_request> remove_unservable(waiting_queue& queue,
                                                serving_pace const& pace,
                                                time_point at,
                                                std::uint64_t draw)
{
    std::vector<rejected_request> rejected;
    while (auto const found = first_unservable(queue, pace, at))
        rejected.push_back(
            reject(queue, found->first, found->second, pace, at, draw));
    return rejected;
}

std::vector<rejected_request> enqueue(waiting_queue& queue,
                                      waiting_request request,
                                      serving_pace const& pace, time_point at,
                                      std::uint64_t draw)
{
    apply_promise(queue, request, at);
    queue.bytes += request.bytes;
    ++queue.teams.try_emplace(request.team, team_usage{.updated = at})
          .first->second.waiting;
    queue.waiting.push_back(std::move(request));
    auto rejected = remove_unservable(queue, pace, at, draw);
    while (is_over_limits(queue))
        rejected.push_back(reject(queue, plan(queue, pace, at).back(),
                                  rejection_cause::no_room, pace, at, draw));
    return rejected;
}

std::optional<waiting_request> dequeue(waiting_queue& queue, time_point at)
{
    if (queue.waiting.empty())
        return std::nullopt;
    auto const index = plan(queue, {}, at).front().index;
    auto next = queue.waiting[index];
    remove_at(queue, index);
    record_work(queue, next.team, next.work, at);
    return next;
}

bool remove_waiting(waiting_queue& queue, request_id const& id)
{
    auto const found =
        std::find_if(queue.waiting.begin(), queue.waiting.end(),
                     [&](auto const& request) { return request.id == id; });
    if (found == queue.waiting.end())
        return false;
    remove_at(queue, static_cast<std::size_t>(found - queue.waiting.begin()));
    return true;
}

void record_work(waiting_queue& queue, team_id const& team, duration work,
                 time_point at)
{
    auto& usage = queue.teams[team];
    usage.work_s = usage_at(queue, usage, at) + seconds(work);
    usage.updated = at;
    auto const mean = seconds(queue.mean_work);
    queue.mean_work =
        mean > 0 ? from_seconds(mean + mean_weight * (seconds(work) - mean))
                 : work;
}

void remove_expired(waiting_queue& queue, time_point at)
{
    std::erase_if(
        queue.promises, [&](auto const& entry)
        { return at > entry.second.due + queue.options.promise_lifetime; });
    std::erase_if(queue.teams,
                  [&](auto const& entry)
                  {
                      return entry.second.waiting == 0 &&
                             usage_at(queue, entry.second, at) < min_usage_s;
                  });
}

} // namespace bramleyarch::decisions

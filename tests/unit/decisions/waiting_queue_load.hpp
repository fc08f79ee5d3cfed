/// Loads on one queue and rules that serve it, for the tests of the queue.
#pragma once

#include "decisions/waiting_queue.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace bramleyarch::test
{

using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

/// Requests of one kind; times in ms, rates per second.
struct traffic
{
    std::string team;
    std::uint32_t rank = 0;
    double rate = 0;
    double work = 25;
    double objective = 150;
    double deadline = 1000;
    double burst = 1; ///< Times the rate from the second to the third second.
};

struct load
{
    std::string name;
    std::vector<traffic> kinds;
    int slots = 6;
    int slots_after_2_s = 6; ///< Fewer when a server is lost.
};

struct arrival
{
    waiting_request request;
    time_point true_objective{}; ///< Counted from the first try.
    duration true_work{};
    double weight = 1;
    std::size_t kind = 0;
    bool is_return = false;
};

/// What became of the requests of one kind or of all.
struct tally
{
    int sent = 0;
    int timely = 0;
    int late = 0;
    int lost = 0;
    double value = 0; ///< Timely 1, late 0.15, times the weight of the rank.

    double late_share() const
    {
        return sent == 0 ? 0 : static_cast<double>(sent - timely) / sent;
    }
};

/// How the next request is chosen: by the queue, or by a greatest key.
using rule = std::function<double(waiting_request const&)>;

inline double ms(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

inline duration from_ms(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(value));
}

/// Returns the requests of a load in 6 s, in order of arrival. The work has an
/// exponential tail, cut off at five times its mean.
inline std::vector<arrival> arrivals_of(load const& l, std::uint64_t seed)
{
    constexpr double length_ms = 6000;
    std::mt19937_64 random{seed};
    std::vector<arrival> all;
    std::uint64_t id = 0;
    for (std::size_t kind = 0; kind < l.kinds.size(); ++kind)
    {
        auto const& t = l.kinds[kind];
        std::exponential_distribution<double> work{1 / t.work};
        for (double at = 0; at < length_ms;)
        {
            bool const bursts = at >= 2000 && at < 3000;
            auto const rate = t.rate * (bursts ? t.burst : 1) / 1000;
            at += std::exponential_distribution<double>{rate}(random);
            auto const since = time_point{} + from_ms(at);
            ++id;
            all.push_back(
                {.request = {.id = {1, id},
                             .team = {t.team},
                             .caller = id,
                             .rank = t.rank,
                             .work = from_ms(t.work),
                             .first_byte = from_ms(t.work),
                             .bytes = 100,
                             .since = since,
                             .objective = since + from_ms(t.objective),
                             .deadline = since + from_ms(t.deadline)},
                 .true_objective = since + from_ms(t.objective),
                 .true_work = from_ms(std::min(work(random), 5 * t.work)),
                 .weight = std::pow(0.25, t.rank),
                 .kind = kind});
        }
    }
    std::sort(all.begin(), all.end(),
              [](auto const& a, auto const& b)
              { return a.request.since < b.request.since; });
    return all;
}

/// Serves a load with the queue, or with `by` if there is one. Returns a tally
/// for each kind. Callers that are rejected return once when told, if that is
/// within a third of their time left. With `by`, requests are dropped when
/// their deadline can no longer be met.
inline std::vector<tally> serve(load const& l, std::uint64_t seed,
                                rule const& by = nullptr)
{
    std::vector<tally> tallies(l.kinds.size());
    std::map<time_point, std::vector<arrival>> coming;
    for (auto& a : arrivals_of(l, seed))
        coming[a.request.since].push_back(std::move(a));
    std::map<request_id, arrival> held;
    std::multimap<time_point, duration> running;
    waiting_queue queue;
    auto hold = 25ms + 0ns;
    auto const drop = [&](arrival const& a, duration told, time_point at)
    {
        if (a.is_return || told <= duration::zero() ||
            told > (a.request.deadline - at) / 3)
        {
            ++tallies[a.kind].lost;
            return;
        }
        auto again = a;
        again.is_return = true;
        again.request.objective += at + told - a.request.since;
        again.request.since = at + told;
        again.request.id.sequence += 1'000'000;
        coming[at + told].push_back(std::move(again));
    };
    auto const start = [&](arrival const& a, time_point at)
    {
        auto const end = at + a.true_work;
        running.emplace(end, a.true_work);
        hold += (a.true_work - hold) / 20;
        auto& t = tallies[a.kind];
        bool const timely = end <= a.true_objective;
        bool const lost = end > a.request.deadline;
        t.timely += timely ? 1 : 0;
        t.late += !timely && !lost ? 1 : 0;
        t.lost += lost ? 1 : 0;
        t.value += a.weight * (timely ? 1 : lost ? 0 : 0.15);
    };
    time_point at{};
    while (!coming.empty() || !queue.waiting.empty())
    {
        auto const next_end =
            running.empty() ? time_point::max() : running.begin()->first;
        auto const next_arrival =
            coming.empty() ? time_point::max() : coming.begin()->first;
        at = std::max(at, std::min(next_end, next_arrival));
        while (!running.empty() && running.begin()->first <= at)
            running.erase(running.begin());
        auto const slots = static_cast<std::size_t>(
            at >= time_point{} + 2s ? l.slots_after_2_s : l.slots);
        serving_pace const pace{.hold = hold,
                                .slots = static_cast<double>(slots)};
        if (!coming.empty() && coming.begin()->first <= at)
        {
            auto batch = std::move(coming.begin()->second);
            coming.erase(coming.begin());
            for (auto& a : batch)
            {
                tallies[a.kind].sent += a.is_return ? 0 : 1;
                held[a.request.id] = a;
                if (by)
                    queue.waiting.push_back(a.request);
                else
                    for (auto const& r :
                         enqueue(queue, a.request, pace, at, seed))
                        drop(held[r.request.id], r.retry_after, at);
            }
        }
        if (!by)
            for (auto const& r : remove_unservable(queue, pace, at, seed))
                drop(held[r.request.id], r.retry_after, at);
        while (running.size() < slots && !queue.waiting.empty())
        {
            if (!by)
            {
                start(held[dequeue(queue, at)->id], at);
                continue;
            }
            auto const best = std::max_element(
                queue.waiting.begin(), queue.waiting.end(),
                [&](auto const& a, auto const& b) { return by(a) < by(b); });
            auto const a = held[best->id];
            queue.waiting.erase(best);
            if (at + a.request.work > a.request.deadline)
                drop(a, {}, at);
            else
                start(a, at);
        }
    }
    return tallies;
}

inline tally sum(std::vector<tally> const& tallies)
{
    tally total;
    for (auto const& t : tallies)
    {
        total.sent += t.sent;
        total.timely += t.timely;
        total.late += t.late;
        total.lost += t.lost;
        total.value += t.value;
    }
    return total;
}

} // namespace bramleyarch::test

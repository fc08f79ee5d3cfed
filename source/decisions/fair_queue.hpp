/// Bounded queue of one backend server with weighted fair queueing between
/// teams.
///
/// Teams are served by virtual time in proportion to their weights, however
/// many requests they queue, so a surge of one team delays only that team.
/// Within a team, requests are ordered by priority and then by arrival.
#pragma once

#include "common/enum_names.hpp"
#include "common/ids.hpp"
#include "common/request.hpp"
#include "common/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace bramleyarch::decisions
{

struct queue_options
{
    std::size_t capacity = 64; ///< Waiting requests.
    bool fair = true;          ///< False: one queue in order of arrival.
};

struct queued_request
{
    attempt_id attempt;
    team_id team;
    std::uint32_t weight = 1; ///< Of the team.
    request_priority priority = request_priority::standard;
    time_point deadline{};
    time_point enqueued_at{};
};

/// Waiting requests of one team.
struct team_queue
{
    std::uint32_t weight = 1;
    /// Virtual time at which the team's next request starts.
    double next_start = 0;
    /// One queue per priority, in order of arrival.
    std::array<std::deque<queued_request>, enum_size<request_priority>()>
        waiting;
};

struct fair_queue
{
    queue_options options;
    std::map<team_id, team_queue> teams;
    double virtual_time = 0;
    std::size_t size = 0; ///< Waiting requests of all teams.
};

enum class enqueue_result
{
    queued,          ///< The request waits.
    full,            ///< No room, and the team already has its share of it.
    misses_deadline, ///< The expected wait ends after the deadline.
};

constexpr auto enum_names(enqueue_result)
{
    using r = enqueue_result;
    using row = enum_name<enqueue_result>;
    return std::array{
        row{r::queued, "queued"},
        row{r::full, "queue full"},
        row{r::misses_deadline, "would miss its deadline in the queue"},
    };
}

struct enqueue_outcome
{
    enqueue_result result = enqueue_result::queued;
    /// Request that was removed to make room: the last one of the team that is
    /// furthest above its share of the queue.
    std::optional<queued_request> displaced;
};

/// How fast the server serves requests from the queue.
struct service_rate
{
    /// Zero if unknown; the expected wait is then zero as well.
    duration mean_service_time{};
    std::uint32_t limit = 1; ///< Requests in flight at once.
};

/// Returns the number of waiting requests that would be served before
/// `request`, if it were queued now.
std::size_t requests_ahead(fair_queue const& queue,
                           queued_request const& request);

/// Returns the time that `request` would wait, if it were queued now.
duration expected_wait(fair_queue const& queue, queued_request const& request,
                       service_rate const& rate);

/// Queues `request` unless it would miss its deadline or finds no room. A full
/// queue makes room only for a team that is below its share.
enqueue_outcome enqueue(fair_queue& queue, queued_request request,
                        service_rate const& rate, time_point at);

/// Removes and returns the next request to serve, or returns std::nullopt if
/// the queue is empty.
std::optional<queued_request> dequeue(fair_queue& queue);

/// Removes one request. Returns false if it is not in the queue.
bool remove_request(fair_queue& queue, attempt_id const& attempt);

/// Removes and returns the requests whose deadline has passed.
std::vector<queued_request> remove_expired_requests(fair_queue& queue,
                                                    time_point at);

/// Removes and returns all requests.
std::vector<queued_request> remove_all_requests(fair_queue& queue);

} // namespace bramleyarch::decisions

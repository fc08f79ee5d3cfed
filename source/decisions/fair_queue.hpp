/// Bounded queue of one backend server, weighted fair between teams.
///
/// Teams share the server by weight in virtual time, whatever they queue, so
/// a surging team waits behind its own requests. Within a team, priority goes
/// first, then order of arrival.
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

/// Requests of one team, by priority and arrival.
struct team_queue
{
    std::uint32_t weight = 1;
    double next_start = 0; ///< Virtual time of the team's next request.
    std::array<std::deque<queued_request>, enum_size<request_priority>()>
        waiting;
};

struct fair_queue
{
    queue_options options;
    std::map<team_id, team_queue> teams;
    double virtual_time = 0;
    std::size_t size = 0;
};

/// What became of a request that asked to wait.
enum class enqueue_result
{
    queued,
    full,            ///< No room, and the team has its share of it.
    misses_deadline, ///< It would wait past its deadline.
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
    /// Removed to make room: the last request of the team furthest above its
    /// share of the queue.
    std::optional<queued_request> displaced;
};

/// How fast the server takes requests from the queue.
struct service_rate
{
    duration mean_service_time{}; ///< Zero: not known, no wait is foreseen.
    std::uint32_t limit = 1;      ///< Requests in flight at once.
};

/// Requests that would be served before a new one of this team and priority.
std::size_t requests_ahead(fair_queue const& queue,
                           queued_request const& request);

/// Time that a new request would wait.
duration expected_wait(fair_queue const& queue, queued_request const& request,
                       service_rate const& rate);

/// Lets `request` wait, unless it would miss its deadline or finds no room.
enqueue_outcome enqueue(fair_queue& queue, queued_request request,
                        service_rate const& rate, time_point at);

/// Takes the next request.
std::optional<queued_request> dequeue(fair_queue& queue);

/// Removes one request; false when it does not wait here.
bool remove_request(fair_queue& queue, attempt_id const& attempt);

/// Takes the requests whose deadline has passed.
std::vector<queued_request> remove_expired_requests(fair_queue& queue,
                                                    time_point at);

/// Takes all requests.
std::vector<queued_request> remove_all_requests(fair_queue& queue);

} // namespace bramleyarch::decisions

/// Bounded queue of the requests that wait at one router for one service.
///
/// The next request is the one whose further waiting costs callers most. Its
/// urgency is the logarithm of a weight, so that the inputs add up: the rank,
/// the time left to the objective, or to the deadline once the objective is
/// lost, the expected work, the time waited, and what the request's team has
/// used beyond its share. Requests that cannot be served in time are returned
/// for rejection, with the time after which their callers should return.
#pragma once

#include "common/enum_names.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bramleyarch::decisions
{

struct waiting_options
{
    /// Waiting requests and the bytes of their bodies, per service. They bound
    /// a queue to a small part of a router of 160 MB.
    std::size_t max_requests = 64;
    std::size_t max_bytes = 4U << 20;
    /// Urgency between two neighbouring ranks: ln 8, about as much as a lost
    /// objective costs. An urgent request that is late already and a timely one
    /// of the next rank are thus worth nearly the same.
    double rank_step = 2.08;
    /// Greatest effect of the work, each way. Twice this and the effect of a
    /// kept promise stay below `rank_step`, so that they decide only between
    /// requests of the same rank.
    double max_work_effect = 0.4;
    /// Effect of a caller that returned when it was told to. More than twice
    /// the effect of the work, so that it goes before others of its rank.
    double returned_effect = 0.85;
    /// Slack that is not counted: some work times of short requests, so that a
    /// request is urgent before its last possible moment.
    duration slack_reserve = std::chrono::milliseconds{30};
    /// Slack beyond the reserve that lowers the urgency by one; a third of the
    /// shortest objective of the deployments, 150 ms.
    duration slack_scale = std::chrono::milliseconds{50};
    double max_slack_effect = 4;
    /// Value of a late answer relative to a timely one; deployments state 4%
    /// to 30%.
    double late_value = 0.1;
    /// Waiting time that raises the urgency by one. The step between two ranks
    /// is waited off in 0.62 s, about the shortest deadline of the deployments.
    duration ageing = std::chrono::milliseconds{300};
    /// Urgency lost per share that a team has used beyond its own. With 2, the
    /// late answers of other teams rose by up to 3.8 points when one team sent
    /// at eight times its rate; with 4 by up to 0.5.
    double team_effect = 4;
    double max_team_effect = 8;
    /// Work that a team may use beyond its share, in multiples of the mean
    /// work. Without it a team's second request would count as a surge.
    double team_allowance = 2;
    /// Time constant of the work that teams have used.
    duration team_window = std::chrono::seconds{2};
    /// A caller's way back to a router takes some milliseconds.
    duration min_retry_after = std::chrono::milliseconds{25};
    duration max_retry_after = std::chrono::seconds{10};
    /// Part of a Retry-After by which it is spread at random.
    double retry_spread = 0.25;
    /// A caller that returns this much before the time it was told is counted
    /// as on time; covers rounding to milliseconds.
    duration early_return = std::chrono::milliseconds{2};
    /// A promise is discarded when its caller has not returned this long after
    /// the time it was told.
    duration promise_lifetime = std::chrono::seconds{1};
    std::size_t max_promises = 1024;
};

/// A request that waits.
struct waiting_request
{
    request_id id;
    team_id team;
    std::uint64_t caller = 0; ///< Hash of the caller's id of the request.
    std::uint32_t rank = 0;   ///< 0 is the most urgent.
    duration work{};          ///< Expected time that it holds a slot.
    /// Expected time from sending to what the objective counts: the first byte
    /// of the answer.
    duration first_byte{};
    std::size_t bytes = 0; ///< Of its body.
    /// Arrival; the first try of a caller that returned when told.
    time_point since{};
    time_point objective{};
    time_point deadline{};
    bool returned = false; ///< Its caller returned when it was told to.
};

/// How fast the requests of the queue are served.
struct serving_pace
{
    duration hold{};  ///< Mean time that a request holds a slot.
    double slots = 1; ///< Requests that this router may have in flight.
    /// Other routers have room for requests of the service.
    bool room_elsewhere = false;
};

enum class rejection_cause
{
    misses_deadline,  ///< Would be sent too late to end by its deadline.
    misses_objective, ///< Would be late here, but may be in time elsewhere.
    delays_others,    ///< Would be late and would make others late.
    no_room,          ///< The queue is full of more urgent requests.
};

constexpr auto enum_names(rejection_cause)
{
    using c = rejection_cause;
    using row = enum_name<rejection_cause>;
    return std::array{row{c::misses_deadline, "misses_deadline"},
                      row{c::misses_objective, "misses_objective"},
                      row{c::delays_others, "delays_others"},
                      row{c::no_room, "no_room"}};
}

struct rejected_request
{
    waiting_request request;
    rejection_cause cause = rejection_cause::no_room;
    duration expected_wait{};
    duration retry_after{};
};

/// What a rejected caller was told.
struct return_promise
{
    time_point due{};
    time_point first_try{};
    std::uint32_t rank = 0;
};

/// Work that a team has used, decayed over `team_window`.
struct team_usage
{
    double work_s = 0;
    time_point updated{};
    std::size_t waiting = 0; ///< Requests of the team that wait.
};

struct waiting_queue
{
    waiting_options options;
    std::vector<waiting_request> waiting; ///< In order of arrival.
    std::size_t bytes = 0;                ///< Of the waiting requests' bodies.
    std::map<team_id, team_usage> teams;
    /// By the hash of the caller's id of the request.
    std::unordered_map<std::uint64_t, return_promise> promises;
    duration mean_work{}; ///< Moving average of the requests sent.
};

/// Returns the urgency of a request; the greatest one goes next.
double urgency(waiting_queue const& queue, waiting_request const& request,
               time_point at);

/// Returns the time by which a less urgent request can have arrived after one
/// of a rank that is lower by `ranks`, and still go before it: until the slack
/// of the urgent one is used up, and while its objective is lost. Excess of the
/// urgent one's team is not included.
duration urgency_bound(waiting_options const& options, std::uint32_t ranks);

/// Returns the time that a request waits if it is queued now, which the
/// requests ahead of it determine.
duration expected_wait(waiting_queue const& queue,
                       waiting_request const& request, serving_pace const& pace,
                       time_point at);

/// Adds a request. A caller that returned when told has its first try counted
/// as its arrival, one that came back before has not. Returns the requests that
/// the queue can't serve now, which may include the new one. `draw` spreads
/// their Retry-After.
std::vector<rejected_request> enqueue(waiting_queue& queue,
                                      waiting_request request,
                                      serving_pace const& pace, time_point at,
                                      std::uint64_t draw);

/// Removes and returns the requests that cannot be served in time.
std::vector<rejected_request> remove_unservable(waiting_queue& queue,
                                                serving_pace const& pace,
                                                time_point at,
                                                std::uint64_t draw);

/// Removes and returns the next request, and charges its work to its team.
/// Returns std::nullopt if none waits.
std::optional<waiting_request> dequeue(waiting_queue& queue, time_point at);

/// Removes one request. Returns false if it does not wait.
bool remove_waiting(waiting_queue& queue, request_id const& id);

/// Charges work to a team for a request that is sent without waiting.
void record_work(waiting_queue& queue, team_id const& team, duration work,
                 time_point at);

/// Returns how many times its share a team has used beyond its share and the
/// allowance; 0 if it is within these. The share is an equal part of the work
/// of all teams that were served recently or have requests waiting.
double team_excess(waiting_queue const& queue, team_id const& team,
                   time_point at);

/// Removes the promises whose callers did not return, and teams without recent
/// work.
void remove_expired(waiting_queue& queue, time_point at);

} // namespace bramleyarch::decisions

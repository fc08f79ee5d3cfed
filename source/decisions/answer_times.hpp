/// How long the answers of each route take.
///
/// The answers of the last 30 to 60 s say what the next one is expected to
/// take: where requests state the most tokens that their answer may have, by
/// the slowest first byte and the slowest tokens, otherwise by the longest
/// answer. It is no bound: an answer may take longer.
#pragma once

#include "common/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace bramleyarch::decisions
{

struct answer_times_options
{
    /// The longest answers of this period and of the one before count.
    duration period = std::chrono::seconds{30};
    /// An answer may take this multiple of what the recorded ones say, plus
    /// `margin`.
    double safety_factor = 1.25;
    duration margin = std::chrono::milliseconds{100};
    /// Beyond this number, no further routes are followed.
    std::size_t max_routes = 4096;
};

/// A complete answer.
struct answer_sample
{
    duration took{};       ///< From the arrival of the request to the end.
    duration first_byte{}; ///< From the arrival of the request.
    /// Most tokens that the request allowed; 0 if it does not state them.
    std::uint32_t max_tokens = 0;
};

/// The longest times of the answers of one period, and the shortest.
struct time_bounds
{
    duration whole{};
    duration shortest_whole = duration::max();
    /// Of answers with a stated number of tokens only.
    duration first_byte{};
    /// From the first byte to the end, per stated token.
    std::chrono::duration<double, duration::period> per_token{};
};

/// The longest times of one route.
struct route_times
{
    time_point period_start{};
    time_bounds longest;
    std::optional<time_bounds> longest_before; ///< In the period before.
};

struct answer_times
{
    answer_times_options options;
    std::unordered_map<std::string, route_times> by_route;
};

/// Records an answer that ended at `at`.
void record_answer_time(answer_times& times, std::string const& route,
                        answer_sample const& sample, time_point at);

/// Returns the time that an answer on the route has to be given, or
/// std::nullopt if none has ended lately. `max_tokens` is the most tokens that
/// the request allows; 0 if it does not state them.
std::optional<duration> expected_answer_time(answer_times const& times,
                                             std::string const& route,
                                             std::uint32_t max_tokens,
                                             time_point at);

/// Returns the shortest time that an answer on the route took, or std::nullopt
/// if none has ended lately.
std::optional<duration> shortest_answer_time(answer_times const& times,
                                             std::string const& route,
                                             time_point at);

} // namespace bramleyarch::decisions

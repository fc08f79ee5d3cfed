/// How long the answers of each route take.
///
/// An instance that stops takes only requests whose answer will end before it
/// does. The longest answers of the last minute say how long that takes.
#pragma once

#include "common/time.hpp"

#include <optional>
#include <string>
#include <unordered_map>

namespace bramleyarch::decisions
{

struct answer_times_options
{
    /// The longest answers of this period and of the one before count.
    duration period = std::chrono::seconds{30};
    /// An answer may take this multiple of the longest one, plus `margin`.
    double safety_factor = 1.25;
    duration margin = std::chrono::milliseconds{100};
    /// Beyond this number, no further routes are followed.
    std::size_t max_routes = 4096;
};

/// The longest answers of one route.
struct route_times
{
    time_point period_start{};
    duration longest{};
    std::optional<duration> longest_before; ///< In the period before.
};

struct answer_times
{
    answer_times_options options;
    std::unordered_map<std::string, route_times> by_route;
};

/// Records the time from the arrival of a request to the end of its complete
/// answer.
void record_answer_time(answer_times& times, std::string const& route,
                        duration took, time_point at);

/// Returns the time that an answer on the route has to be given, or
/// std::nullopt if none has ended lately.
std::optional<duration> expected_answer_time(answer_times const& times,
                                             std::string const& route,
                                             time_point at);

} // namespace bramleyarch::decisions

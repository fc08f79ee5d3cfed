/// Admission to one backend server by its owner, from exact local counts.
#pragma once

#include "common/enum_names.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace bramleyarch::decisions
{

enum class admission
{
    admit,
    at_limit,      ///< At the limit of slow start or capacity.
    at_load_bound, ///< More would be over the multiple of the mean load.
    breaker_open,  ///< Circuit breaker open, or a probe is in flight.
};

constexpr auto enum_names(admission)
{
    using a = admission;
    using row = enum_name<admission>;
    return std::array{
        row{a::admit, "under limit and bound"},
        row{a::at_limit, "at its limit"},
        row{a::at_load_bound, "at the bound over the mean load"},
        row{a::breaker_open, "circuit breaker open"},
    };
}

/// Loads of the servers of one service that this owner does not own.
struct remote_owner_load
{
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    time_point reported_at{};
};

/// What the owner knows of one service's load besides its own counts.
struct remote_owner_loads
{
    std::unordered_map<server_id, remote_owner_load> servers;
};

/// Totals over the servers of one service that count towards the mean.
struct load_totals
{
    double in_flight = 0;
    double limit = 0;
};

struct admission_options
{
    std::uint32_t load_bound_percent = 125;
    bool bound_enabled = true;
    /// Reports of other owners count towards the mean for this long.
    duration remote_load_ttl = std::chrono::seconds{5};
};

/// Takes over what another owner reported.
void record_remote_owner_load(remote_owner_loads& loads,
                              server_id const& server, remote_owner_load load);

/// Adds the reports that are not older than the time limit.
load_totals sum_remote_owner_loads(remote_owner_loads const& loads,
                                   admission_options const& options,
                                   time_point at);

/// What is known of the server that the request is for.
struct server_occupancy
{
    std::uint32_t in_flight = 0; ///< Counted here.
    std::uint32_t remote_in_flight =
        0; ///< Held by other owners, by its report.
    std::uint32_t limit = 1;
    bool usable = true;
};

/// Limit while another router is seen to send to the server as well: half of
/// the capacity, so that two owners together keep to it.
std::uint32_t shared_ownership_limit(std::uint32_t limit,
                                     std::uint32_t capacity,
                                     std::uint32_t cold_capacity);

/// Mean of load over limit; nothing when no server is known.
std::optional<double> mean_utilisation(load_totals const& totals);

/// Decides on one more request. `mean` includes the server itself.
admission decide_admission(server_occupancy const& server,
                           std::optional<double> mean,
                           admission_options const& options);

/// Counts of requests in flight over the last seconds, so that a late report
/// of the server can be compared with what was counted at its time.
struct in_flight_history
{
    struct sample
    {
        time_point at{};
        std::uint32_t count = 0;
    };
    std::deque<sample> samples;
};

/// Notes that the count is `count` from `at` on.
void record_in_flight(in_flight_history& history, std::uint32_t count,
                      time_point at);

/// Highest count between `from` and now.
std::uint32_t peak_since(in_flight_history const& history, time_point from);

/// Requests that the server runs for other owners: what it reports for the
/// time `report_time` beyond the highest count here since then.
std::uint32_t estimate_remote_in_flight(in_flight_history const& history,
                                        std::uint32_t reported,
                                        time_point report_time);

} // namespace bramleyarch::decisions

/// Admission of requests to one backend server by the router that owns it.
///
/// The owner counts its own requests exactly and compares the load of the
/// server with the mean load of the service, which includes the loads that
/// other owners report.
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

/// Result of asking for one more request at a server.
enum class admission
{
    admit,         ///< The server may be sent the request.
    at_limit,      ///< The server is at its slow start limit or capacity.
    at_load_bound, ///< The load would exceed the allowed multiple of the mean.
    breaker_open,  ///< The circuit breaker is open, or its probe is in flight.
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

/// Load of one server, as its owner, another router, reported it.
struct remote_owner_load
{
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    /// When this router received the report.
    time_point reported_at{};
};

/// Newest reports on the servers of one service that other routers own.
struct remote_owner_loads
{
    std::unordered_map<server_id, remote_owner_load> servers;
};

/// Requests in flight and limits, summed over servers of one service.
struct load_totals
{
    double in_flight = 0;
    double limit = 0;
};

struct admission_options
{
    /// Highest utilisation of a server, in percent of the service's mean.
    std::uint32_t load_bound_percent = 125;
    bool bound_enabled = true;
    /// Reports of other owners that are older do not count towards the mean.
    duration remote_load_ttl = std::chrono::seconds{5};
};

/// Stores a report, replacing the previous one on the same server.
void record_remote_owner_load(remote_owner_loads& loads,
                              server_id const& server, remote_owner_load load);

/// Sums the reports that have not expired at `at`.
load_totals sum_remote_owner_loads(remote_owner_loads const& loads,
                                   admission_options const& options,
                                   time_point at);

/// Occupancy of the server that a request is to be admitted to.
struct server_occupancy
{
    /// Requests of this router, counted exactly.
    std::uint32_t in_flight = 0;
    /// Requests of other routers, estimated from the server's load report.
    std::uint32_t remote_in_flight = 0;
    std::uint32_t limit = 1;
    /// Whether the circuit breaker lets a request pass.
    bool usable = true;
};

/// Returns the limit to apply while another router is observed to send to the
/// server as well, as happens when ownership moves. It is at most half of the
/// capacity, so that two owners together stay within the capacity.
std::uint32_t shared_ownership_limit(std::uint32_t limit,
                                     std::uint32_t capacity,
                                     std::uint32_t cold_capacity);

/// Returns the mean of load over limit, or std::nullopt if the limits sum to
/// zero.
std::optional<double> mean_utilisation(load_totals const& totals);

/// Decides whether the server may be sent one more request. `mean` is the mean
/// utilisation of the service, the server included; without it the load bound
/// is not applied.
admission decide_admission(server_occupancy const& server,
                           std::optional<double> mean,
                           admission_options const& options);

/// Requests in flight over the last seconds. A load report arrives late and has
/// to be compared with the count at the time it was made.
struct in_flight_history
{
    struct sample
    {
        time_point at{};
        std::uint32_t count = 0;
    };
    /// In order of time.
    std::deque<sample> samples;
};

/// Records that `count` requests are in flight from `at` on.
void record_in_flight(in_flight_history& history, std::uint32_t count,
                      time_point at);

/// Returns the highest count between `from` and now.
std::uint32_t peak_since(in_flight_history const& history, time_point from);

/// Estimates how many requests of other routers the server runs: the number it
/// reported for `report_time`, less the peak of the local count since then.
std::uint32_t estimate_remote_in_flight(in_flight_history const& history,
                                        std::uint32_t reported,
                                        time_point report_time);

} // namespace bramleyarch::decisions

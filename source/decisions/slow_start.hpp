/// Slow start: limits the requests to a backend server that may be cold.
///
/// The limit starts at the server's cold capacity and grows with completed
/// answers, never with time alone. It is reset when the server restarts,
/// reports that it is cold, or takes much longer to the first byte than
/// before.
#pragma once

#include "common/enum_names.hpp"
#include "common/time.hpp"

#include <cstdint>

namespace bramleyarch::decisions
{

/// Why a server is treated as cold.
enum class cold_cause
{
    none,
    ownership_gained, ///< The owner has no information on the server yet.
    server_restarted, ///< The server's incarnation changed.
    reported,         ///< The server's load report says that it is cold.
    slow_first_byte,  ///< First bytes took much longer than the average.
    connect_failures, ///< Connections failed in a row.
};

constexpr auto enum_names(cold_cause)
{
    using c = cold_cause;
    using row = enum_name<cold_cause>;
    return std::array{
        row{c::none, "none"},
        row{c::ownership_gained, "ownership just gained"},
        row{c::server_restarted, "server restarted"},
        row{c::reported, "server reports that it is cold"},
        row{c::slow_first_byte, "first byte much slower than before"},
        row{c::connect_failures, "connections failed in a row"},
    };
}

struct slow_start_options
{
    bool enabled = true;
    /// A first byte is a latency spike if it takes more than this many times
    /// the average, and at least `min_spike`.
    double spike_factor = 4;
    duration min_spike = std::chrono::milliseconds{250};
    /// Number of consecutive spikes after which the server counts as cold.
    std::uint32_t spikes_to_cold = 2;
    /// Weight of a new sample in the moving average of first-byte times.
    double sample_weight = 0.1;
};

/// Slow start of one server.
struct slow_start
{
    std::uint32_t capacity = 1;
    std::uint32_t cold_capacity = 1;
    /// Requests that may be in flight at once.
    std::uint32_t limit = 1;
    /// Answers completed since the limit last grew or was reset.
    std::uint32_t answers = 0;
    std::uint64_t server_incarnation = 0; ///< 0: unknown.
    cold_cause cause = cold_cause::ownership_gained;
    bool reported_cold = false;
    /// The server is known to be warm. Each answer raises the limit by one, so
    /// that the limit doubles with each round of answers.
    bool doubling = false;
    /// Moving average in seconds; 0: no sample yet.
    double average_first_byte_s = 0;
    std::uint32_t spikes = 0; ///< Consecutive.
};

/// Returns the slow start of a server about which nothing is known.
slow_start make_slow_start(std::uint32_t capacity, std::uint32_t cold_capacity);

/// Sets the configured capacities and clamps the limit to them. A warm server
/// stays warm unless its capacity is raised.
void set_capacity(slow_start& state, std::uint32_t capacity,
                  std::uint32_t cold_capacity);

/// Resets the limit to the cold capacity. Returns true if that lowered the
/// limit.
bool reset_to_cold(slow_start& state, cold_cause cause);

/// Applies a load report of the server. Returns true if it lowered the limit.
/// An incarnation of 0 is unknown and never counts as a restart.
bool apply_load_report(slow_start& state, std::uint64_t server_incarnation,
                       bool cold);

/// Raises the limit of a server that is warm. To be called for a report made
/// after this router took over the server, by which it is warm and runs
/// `running` requests. The limit starts at that number, at most half of the
/// capacity, and doubles with each round of answers, which gives the previous
/// owner time to stop sending.
void start_warm(slow_start& state, std::uint32_t running);

/// Records that a first byte took `waited`. Returns true if that lowered the
/// limit.
bool record_first_byte(slow_start& state, slow_start_options const& options,
                       duration waited);

/// Records a completed answer. Returns true if the server became warm.
bool record_answer(slow_start& state);

/// Returns whether the limit is below the capacity.
bool is_cold(slow_start const& state);

/// Returns the number of requests that may be in flight now.
std::uint32_t effective_limit(slow_start const& state,
                              slow_start_options const& options);

} // namespace bramleyarch::decisions

/// Slow start: how many requests a backend server that may be cold can bear.
///
/// The limit begins at the server's cold capacity and grows with completed
/// answers, never with time alone. It goes back to the beginning when the
/// server was restarted, reports that it is cold, or takes much longer to the
/// first byte than it did.
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
    ownership_gained, ///< This owner knows nothing of it yet.
    server_restarted, ///< The server's incarnation changed.
    reported,         ///< The server says so.
    slow_first_byte,  ///< First-byte time jumped.
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
    /// A first byte slower than this many times the average is a jump.
    double jump_factor = 4;
    duration least_jump = std::chrono::milliseconds{250};
    std::uint32_t jumps_to_cold = 2; ///< Consecutive.
    /// Weight of a new sample in the average of first-byte times.
    double average_share = 0.1;
};

/// Slow start of one server. `limit` is what admission may use.
struct slow_start
{
    std::uint32_t capacity = 1;
    std::uint32_t cold_capacity = 1;
    std::uint32_t limit = 1;
    std::uint32_t answers = 0; ///< Completed since the limit last grew.
    std::uint64_t server_incarnation = 0;
    cold_cause cause = cold_cause::ownership_gained;
    bool reported_cold = false;
    bool doubling = false; ///< Known to be warm: each answer adds one.
    double average_first_byte_s = 0; ///< 0: no sample yet.
    std::uint32_t jumps = 0;         ///< Consecutive slow first bytes.
};

/// A server that this owner knows nothing of.
slow_start make_slow_start(std::uint32_t capacity, std::uint32_t cold_capacity);

/// New capacities by configuration; the limit stays within them.
void set_capacity(slow_start& s, std::uint32_t capacity,
                  std::uint32_t cold_capacity);

/// Goes back to the beginning. Returns true when that lowered the limit.
bool reset_to_cold(slow_start& s, cold_cause cause);

/// The server's report was read. Returns true when that lowered the limit.
/// An incarnation of 0 is not stated and changes nothing.
bool apply_load_report(slow_start& s, std::uint64_t server_incarnation,
                       bool cold);

/// A report that is newer than the take-over says that the server is warm and
/// runs `running` requests. The limit begins at what is proved and doubles
/// with each round of answers, so that a former owner has time to stop.
void start_warm(slow_start& s, std::uint32_t running);

/// A first byte came after `waited`. Returns true when that lowered the
/// limit.
bool record_first_byte(slow_start& s, slow_start_options const& options,
                       duration waited);

/// An answer was completed. Returns true when the server became warm.
bool record_answer(slow_start& s);

/// True while the limit is below the capacity.
bool is_cold(slow_start const& s);

/// Most requests in flight now.
std::uint32_t effective_limit(slow_start const& s,
                              slow_start_options const& options);

} // namespace bramleyarch::decisions

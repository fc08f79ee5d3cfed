/// Time of the runtime: a clock that tests can pause and advance.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace bramleyarch
{

using duration = std::chrono::nanoseconds;

/// Monotonic time; comparable only within one process.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Calendar time in UTC; may differ between processes.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

enum class clock_kind
{
    system, ///< Follows the machine's clocks.
    manual, ///< Moves only by `advance`.
};

/// The clock of one runtime. A manual clock starts at `origin`.
struct runtime_clock
{
    clock_kind kind = clock_kind::system;
    std::atomic<std::int64_t> manual_ns{0}; ///< Elapsed since `origin`.
    wall_time wall_origin{};                ///< Wall time at `origin`.
    time_point origin{};
};

/// Monotonic time of `clock`.
time_point now(runtime_clock const& clock);

/// Calendar time of `clock`.
wall_time wall_now(runtime_clock const& clock);

/// Moves a manual clock forward.
void advance(runtime_clock& clock, duration by);

/// Whole milliseconds, rounded down.
constexpr std::int64_t to_ms(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace bramleyarch

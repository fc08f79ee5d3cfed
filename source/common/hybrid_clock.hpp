/// Hybrid logical clock: orders events of processes whose clocks differ.
#pragma once

#include "common/event.hpp"
#include "common/time.hpp"

#include <algorithm>

namespace bramleyarch
{

/// Last time given out or seen.
struct hybrid_clock
{
    hybrid_time last;
};

/// Time of a local event; later than all times given or seen before.
inline hybrid_time tick(hybrid_clock& clock, wall_time at)
{
    auto const ms = static_cast<std::uint64_t>(to_ms(at.time_since_epoch()));
    if (ms > clock.last.wall_ms)
        clock.last = {ms, 0};
    else
        ++clock.last.logical;
    return clock.last;
}

/// Takes in a time that came with a message of another process.
inline void observe(hybrid_clock& clock, hybrid_time seen)
{
    clock.last = std::max(clock.last, seen);
}

} // namespace bramleyarch

#include "common/time.hpp"

namespace bramleyarch
{

time_point now(runtime_clock const& clock)
{
    if (clock.kind == clock_kind::system)
        return std::chrono::steady_clock::now();
    return clock.origin + duration{clock.manual_ns.load()};
}

wall_time wall_now(runtime_clock const& clock)
{
    if (clock.kind == clock_kind::system)
        return std::chrono::system_clock::now();
    return clock.wall_origin + duration{clock.manual_ns.load()};
}

void advance(runtime_clock& clock, duration by)
{
    clock.manual_ns.fetch_add(by.count());
}

} // namespace bramleyarch

#include "decisions/breaker.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

duration open_time(breaker const& breaker, breaker_options const& options,
                   double jitter)
{
    constexpr std::uint32_t max_doublings = 16;
    auto const doublings = std::min(breaker.openings, max_doublings);
    auto const time = std::min(options.max_open_time,
                               options.base_open_time * (1 << doublings));
    auto const extra = static_cast<double>(time.count()) * jitter / 2;
    return time + duration{static_cast<std::int64_t>(extra)};
}

} // namespace

bool may_send(breaker& breaker, time_point at)
{
    if (breaker.state == breaker_state::open && at >= breaker.open_until)
    {
        breaker.state = breaker_state::half_open;
        breaker.probe_in_flight = false;
    }
    if (breaker.state == breaker_state::half_open)
        return !breaker.probe_in_flight;
    return breaker.state == breaker_state::closed;
}

void record_sent(breaker& breaker)
{
    if (breaker.state == breaker_state::half_open)
        breaker.probe_in_flight = true;
}

void record_success(breaker& breaker, time_point at)
{
    breaker = {.last_response_at = at};
}

bool record_failure(breaker& breaker, breaker_options const& options,
                    time_point at, double jitter)
{
    ++breaker.failures;
    bool const opens = breaker.state == breaker_state::half_open ||
                       (breaker.state == breaker_state::closed &&
                        breaker.failures >= options.failures_to_open);
    if (!opens)
        return false;
    breaker.state = breaker_state::open;
    breaker.probe_in_flight = false;
    breaker.open_until = at + open_time(breaker, options, jitter);
    ++breaker.openings;
    return true;
}

bool record_timeout(breaker& breaker, breaker_options const& options,
                    time_point sent_at, time_point at, double jitter)
{
    if (breaker.last_response_at > sent_at)
    {
        record_inconclusive(breaker);
        return false;
    }
    return record_failure(breaker, options, at, jitter);
}

void record_inconclusive(breaker& breaker)
{
    breaker.probe_in_flight = false;
}

} // namespace bramleyarch::decisions

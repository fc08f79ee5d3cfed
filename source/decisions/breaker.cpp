#include "decisions/breaker.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

duration pause_of(breaker const& b, breaker_options const& options,
                  double jitter)
{
    constexpr std::uint32_t most_doublings = 16;
    auto const doublings = std::min(b.openings, most_doublings);
    auto const pause = std::min(options.max_open_time,
                                options.base_open_time * (1 << doublings));
    auto const extra = static_cast<double>(pause.count()) * jitter / 2;
    return pause + duration{static_cast<std::int64_t>(extra)};
}

} // namespace

bool may_send(breaker& b, time_point at)
{
    if (b.state == breaker_state::open && at >= b.reopens)
    {
        b.state = breaker_state::half_open;
        b.probing = false;
    }
    if (b.state == breaker_state::half_open)
        return !b.probing;
    return b.state == breaker_state::closed;
}

void record_sent(breaker& b)
{
    if (b.state == breaker_state::half_open)
        b.probing = true;
}

void record_success(breaker& b, time_point at)
{
    b = {.last_response_at = at};
}

bool record_failure(breaker& b, breaker_options const& options, time_point at,
                    double jitter)
{
    ++b.failures;
    bool const opens = b.state == breaker_state::half_open ||
                       (b.state == breaker_state::closed &&
                        b.failures >= options.failures_to_open);
    if (!opens)
        return false;
    b.state = breaker_state::open;
    b.probing = false;
    b.reopens = at + pause_of(b, options, jitter);
    ++b.openings;
    return true;
}

bool record_timeout(breaker& b, breaker_options const& options,
                    time_point sent_at, time_point at, double jitter)
{
    if (b.last_response_at > sent_at)
    {
        record_inconclusive(b);
        return false;
    }
    return record_failure(b, options, at, jitter);
}

void record_inconclusive(breaker& b)
{
    b.probing = false;
}

} // namespace bramleyarch::decisions

#include "decisions/slow_start.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

slow_start make_slow_start(std::uint32_t capacity, std::uint32_t cold_capacity)
{
    slow_start s;
    s.capacity = std::max(capacity, 1U);
    s.cold_capacity = std::clamp(cold_capacity, 1U, s.capacity);
    s.limit = s.cold_capacity;
    return s;
}

void set_capacity(slow_start& s, std::uint32_t capacity,
                  std::uint32_t cold_capacity)
{
    bool const warm = !is_cold(s);
    bool const raised = capacity > s.capacity;
    s.capacity = std::max(capacity, 1U);
    s.cold_capacity = std::clamp(cold_capacity, 1U, s.capacity);
    s.limit = std::clamp(s.limit, s.cold_capacity, s.capacity);
    if (warm && !raised)
        s.limit = s.capacity;
}

bool reset_to_cold(slow_start& s, cold_cause cause)
{
    bool const lowered = s.limit > s.cold_capacity;
    s.limit = s.cold_capacity;
    s.answers = 0;
    s.jumps = 0;
    s.doubling = false;
    s.average_first_byte_s = 0;
    s.cause = cause;
    return lowered;
}

bool apply_load_report(slow_start& s, std::uint64_t server_incarnation,
                       bool cold)
{
    bool const restarted = server_incarnation != 0 &&
                           s.server_incarnation != 0 &&
                           server_incarnation != s.server_incarnation;
    if (server_incarnation != 0)
        s.server_incarnation = server_incarnation;
    bool const turned_cold = cold && !s.reported_cold;
    s.reported_cold = cold;
    if (restarted)
        return reset_to_cold(s, cold_cause::server_restarted);
    if (turned_cold)
        return reset_to_cold(s, cold_cause::reported);
    return false;
}

void start_warm(slow_start& s, std::uint32_t running)
{
    auto const half = std::max(s.capacity / 2, s.cold_capacity);
    s.limit = std::clamp(running, s.limit, std::max(s.limit, half));
    s.answers = 0;
    s.doubling = true;
    s.cause = cold_cause::none;
}

bool record_first_byte(slow_start& s, slow_start_options const& options,
                       duration waited)
{
    double const sample = seconds(waited);
    double const average = s.average_first_byte_s;
    bool const jump = average > 0 && waited >= options.least_jump &&
                      sample > average * options.jump_factor;
    if (jump)
    {
        ++s.jumps;
        if (s.jumps < options.jumps_to_cold)
            return false;
        return reset_to_cold(s, cold_cause::slow_first_byte);
    }
    s.jumps = 0;
    s.average_first_byte_s =
        average > 0 ? average + (sample - average) * options.average_share
                    : sample;
    return false;
}

bool record_answer(slow_start& s)
{
    if (s.reported_cold || !is_cold(s))
        return false;
    ++s.answers;
    if (s.answers < s.limit && !s.doubling)
        return false;
    s.answers = 0;
    ++s.limit;
    if (is_cold(s))
        return false;
    s.cause = cold_cause::none;
    s.doubling = false;
    return true;
}

bool is_cold(slow_start const& s)
{
    return s.limit < s.capacity;
}

std::uint32_t effective_limit(slow_start const& s,
                              slow_start_options const& options)
{
    if (!options.enabled)
        return s.capacity;
    return s.reported_cold ? s.cold_capacity : s.limit;
}

} // namespace bramleyarch::decisions

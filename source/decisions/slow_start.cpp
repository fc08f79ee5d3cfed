#include "decisions/slow_start.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

slow_start make_slow_start(std::uint32_t capacity, std::uint32_t cold_capacity)
{
    slow_start state;
    state.capacity = std::max(capacity, 1U);
    state.cold_capacity = std::clamp(cold_capacity, 1U, state.capacity);
    state.limit = state.cold_capacity;
    return state;
}

void set_capacity(slow_start& state, std::uint32_t capacity,
                  std::uint32_t cold_capacity)
{
    bool const warm = !is_cold(state);
    bool const raised = capacity > state.capacity;
    state.capacity = std::max(capacity, 1U);
    state.cold_capacity = std::clamp(cold_capacity, 1U, state.capacity);
    state.limit = std::clamp(state.limit, state.cold_capacity, state.capacity);
    if (warm && !raised)
        state.limit = state.capacity;
}

bool reset_to_cold(slow_start& state, cold_cause cause)
{
    bool const lowered = state.limit > state.cold_capacity;
    state.limit = state.cold_capacity;
    state.answers = 0;
    state.spikes = 0;
    state.doubling = false;
    state.average_first_byte_s = 0;
    state.cause = cause;
    return lowered;
}

bool apply_load_report(slow_start& state, std::uint64_t server_incarnation,
                       bool cold)
{
    bool const restarted = server_incarnation != 0 &&
                           state.server_incarnation != 0 &&
                           server_incarnation != state.server_incarnation;
    if (server_incarnation != 0)
        state.server_incarnation = server_incarnation;
    bool const turned_cold = cold && !state.reported_cold;
    state.reported_cold = cold;
    if (restarted)
        return reset_to_cold(state, cold_cause::server_restarted);
    if (turned_cold)
        return reset_to_cold(state, cold_cause::reported);
    return false;
}

void start_warm(slow_start& state, std::uint32_t running)
{
    auto const half = std::max(state.capacity / 2, state.cold_capacity);
    state.limit = std::clamp(running, state.limit, std::max(state.limit, half));
    state.answers = 0;
    state.doubling = true;
    state.cause = cold_cause::none;
}

bool record_first_byte(slow_start& state, slow_start_options const& options,
                       duration waited)
{
    double const sample = to_seconds(waited);
    double const average = state.average_first_byte_s;
    bool const spike = average > 0 && waited >= options.min_spike &&
                       sample > average * options.spike_factor;
    if (spike)
    {
        ++state.spikes;
        if (state.spikes < options.spikes_to_cold)
            return false;
        return reset_to_cold(state, cold_cause::slow_first_byte);
    }
    state.spikes = 0;
    state.average_first_byte_s =
        average > 0 ? average + (sample - average) * options.sample_weight
                    : sample;
    return false;
}

bool record_answer(slow_start& state)
{
    if (state.reported_cold || !is_cold(state))
        return false;
    ++state.answers;
    if (state.answers < state.limit && !state.doubling)
        return false;
    state.answers = 0;
    ++state.limit;
    if (is_cold(state))
        return false;
    state.cause = cold_cause::none;
    state.doubling = false;
    return true;
}

bool is_cold(slow_start const& state)
{
    return state.limit < state.capacity;
}

std::uint32_t effective_limit(slow_start const& state,
                              slow_start_options const& options)
{
    if (!options.enabled)
        return state.capacity;
    return state.reported_cold ? state.cold_capacity : state.limit;
}

} // namespace bramleyarch::decisions

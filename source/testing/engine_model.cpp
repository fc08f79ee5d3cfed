#include "testing/engine_model.hpp"

#include <algorithm>

namespace bramleyarch::testing
{

namespace
{

constexpr std::size_t samples_kept = 256;

} // namespace

engine_state make_engine(engine_options const& options)
{
    engine_state e;
    e.options = options;
    e.cache.limit_tokens = options.cache_tokens;
    return e;
}

std::uint32_t in_flight(engine_state const& e)
{
    return e.running + e.waiting;
}

std::uint32_t bearable_now(engine_state const& e)
{
    if (!e.cold)
        return e.options.bearable;
    return e.options.cold_capacity + e.completed_warm;
}

bool is_overloaded(engine_state const& e, time_point at)
{
    return in_flight(e) > bearable_now(e) && at >= e.bears_overload_until;
}

void complete_one(engine_state& e)
{
    ++e.completed;
    ++e.completed_warm;
    if (e.options.cold_capacity + e.completed_warm >= e.options.batch)
        e.cold = false;
}

void turn_cold(engine_state& e, time_point at)
{
    e.cold = true;
    e.completed_warm = 0;
    e.bears_overload_until = at + e.options.cold_notice;
    clear(e.cache);
}

void restart(engine_state& e)
{
    ++e.incarnation;
    ++e.fell_over;
    e.cold = true;
    e.completed_warm = 0;
    e.running = 0;
    e.waiting = 0;
    e.bears_overload_until = {};
    clear(e.cache);
}

microseconds prefill_time(engine_state const& e, prompt const& p)
{
    std::uint32_t const fresh = tokens_of(p) - cached_tokens(e.cache, p);
    return e.options.prefill_per_token * fresh;
}

microseconds step_time(engine_state const& e)
{
    return e.options.token_time + e.options.token_time_per_running * e.running;
}

void sample_load(engine_state& e, time_point at)
{
    e.history.push_back({.at = at,
                         .incarnation = e.incarnation,
                         .running = e.running,
                         .waiting = e.waiting,
                         .cold = e.cold});
    if (e.history.size() > samples_kept)
        e.history.pop_front();
}

load_snapshot lagging_report(engine_state const& e, time_point at)
{
    if (e.history.empty())
        return {.at = at, .incarnation = e.incarnation, .cold = e.cold};
    load_snapshot found = e.history.front();
    for (auto const& sample : e.history)
    {
        if (sample.at + e.options.report_lag <= at)
            found = sample;
    }
    return found;
}

} // namespace bramleyarch::testing

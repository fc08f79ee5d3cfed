/// Delay and cold-start model of a model engine, and of a plain server.
/// Time is passed in; no sockets.
#pragma once

#include "common/time.hpp"
#include "testing/prefix_cache.hpp"

#include <cstdint>
#include <deque>

namespace bramleyarch::testing
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

struct engine_options
{
    std::uint32_t batch = 8;         ///< Requests that run at once when warm.
    std::uint32_t bearable = 256;    ///< In flight when warm, waiting included.
    std::uint32_t cold_capacity = 2; ///< In flight that a cold engine bears.
    std::uint64_t cache_tokens = 200'000;
    microseconds prefill_per_token{2}; ///< For tokens that are not cached.
    microseconds token_time{200};
    microseconds token_time_per_running{20}; ///< Added for each one running.
    milliseconds plain_time{2};              ///< One call of a plain server.
    milliseconds restart_time{300};
    milliseconds report_lag{300};
    /// How long an engine that turned cold on command bears its old load.
    milliseconds cold_notice{2'000};
    std::uint32_t events_per_write = 1;
    bool check_fencing = true;
};

struct load_snapshot
{
    time_point at{};
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool cold = false;
};

struct engine_state
{
    engine_options options;
    prefix_cache cache;
    std::uint64_t incarnation = 1;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t most_in_flight = 0;  ///< Since the last `take_peak`.
    std::uint64_t completed = 0;       ///< In all.
    std::uint32_t completed_warm = 0;  ///< Since the engine turned cold.
    std::uint32_t fell_over = 0;       ///< Times.
    std::uint32_t overloaded = 0;      ///< Of these, by too many in flight.
    time_point bears_overload_until{}; ///< After it turned cold on command.
    bool cold = true;
    std::deque<load_snapshot> history;
};

engine_state make_engine(engine_options const& options);

std::uint32_t in_flight(engine_state const& e);

/// In flight that the engine bears now.
std::uint32_t bearable_now(engine_state const& e);

/// True when its load makes the engine fall over at `at`.
bool is_overloaded(engine_state const& e, time_point at);

/// Counts an answer, which warms the engine up.
void complete_one(engine_state& e);

/// Loses the cache and the warmth within the same incarnation.
void turn_cold(engine_state& e, time_point at);

/// Restarts: a new incarnation with nothing in flight.
void restart(engine_state& e);

/// Time before the first token of `p`.
microseconds prefill_time(engine_state const& e, prompt const& p);

/// Time of one more token for each running request.
microseconds step_time(engine_state const& e);

/// Samples the load for later reports.
void sample_load(engine_state& e, time_point at);

/// The newest sample that is older than the lag; the oldest when none is.
load_snapshot lagging_report(engine_state const& e, time_point at);

} // namespace bramleyarch::testing

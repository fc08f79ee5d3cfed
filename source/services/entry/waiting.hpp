/// State of the requests that wait at this router while their service is short
/// of room.
#pragma once

#include "common/time.hpp"
#include "common/waiting_mode.hpp"
#include "decisions/capacity_share.hpp"
#include "decisions/waiting_queue.hpp"
#include "kernel/timers.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace bramleyarch::services
{

/// Where a request is on its way through a queue.
enum class waiting_stage : std::uint8_t
{
    none,     ///< Has not waited, or was sent.
    queued,   ///< Waits, or is to be rejected.
    released, ///< Goes next, and does not wait again before it is sent.
};

/// What this router knows of the demand for one service.
struct service_waiting
{
    decisions::waiting_queue queue;
    /// Rejected for the sake of others; their callers are told next.
    std::vector<decisions::rejected_request> rejected;
    /// Moving averages over successful attempts of this router: time that a
    /// slot was held, time to the first byte, and expected tokens.
    duration hold{};
    duration first_byte{};
    double tokens = 0;
    /// Arrivals in the last 10 s, decayed exponentially, as of `arrivals_at`.
    double arrivals = 0;
    time_point arrivals_at{};
    bool is_short = false; ///< As of the last decision.
    kernel::timer_id timer = 0;
};

struct waiting_state
{
    decisions::capacity_shares shares;
    std::map<service_id, service_waiting> services;
    double position = 0.5; ///< Of this router among all, by id, from 0 to 1.
};

} // namespace bramleyarch::services

/// Circuit breaker of one backend server: stops sending after consecutive
/// failures and probes with one request at a time.
#pragma once

#include "common/enum_names.hpp"
#include "common/time.hpp"

#include <cstdint>

namespace bramleyarch::decisions
{

enum class breaker_state
{
    closed,    ///< Requests pass.
    open,      ///< No request passes until the pause is over.
    half_open, ///< One request passes; its result decides.
};

constexpr auto enum_names(breaker_state)
{
    using s = breaker_state;
    using row = enum_name<breaker_state>;
    return std::array{
        row{s::closed, "closed"},
        row{s::open, "open"},
        row{s::half_open, "half_open"},
    };
}

struct breaker_options
{
    std::uint32_t failures_to_open = 3; ///< Consecutive.
    duration base_open_time = std::chrono::seconds{1};
    duration max_open_time = std::chrono::seconds{30};
};

struct breaker
{
    breaker_state state = breaker_state::closed;
    std::uint32_t failures = 0;    ///< Consecutive.
    std::uint32_t openings = 0;    ///< Without a success between them.
    time_point reopens{};          ///< End of the pause.
    bool probing = false;          ///< The probe of `half_open` is in flight.
    time_point last_response_at{}; ///< Last sign of life.
};

/// True when a request may be sent now; may move `open` to `half_open`.
bool may_send(breaker& b, time_point at);

/// A request is being sent.
void record_sent(breaker& b);

/// The server answered.
void record_success(breaker& b, time_point at);

/// The server refused or closed a connection. `jitter` (0 to 1) lengthens the
/// pause by up to a half. Returns true when the breaker opened.
bool record_failure(breaker& b, breaker_options const& options, time_point at,
                    double jitter);

/// An attempt that was sent at `sent_at` ended in silence. It counts as a
/// failure only when the server gave no sign of life since then.
bool record_timeout(breaker& b, breaker_options const& options,
                    time_point sent_at, time_point at, double jitter);

/// The attempt ended for a reason that says nothing about the server.
void record_inconclusive(breaker& b);

} // namespace bramleyarch::decisions

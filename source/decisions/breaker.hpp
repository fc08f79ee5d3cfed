/// Circuit breaker of one backend server. It opens after consecutive failures
/// and then probes the server with one request at a time.
#pragma once

#include "common/enum_names.hpp"
#include "common/time.hpp"

#include <cstdint>

namespace bramleyarch::decisions
{

enum class breaker_state
{
    closed,    ///< Requests pass.
    open,      ///< No request passes until the open time ends.
    half_open, ///< One request passes; its result closes or opens the breaker.
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
    /// Time that the breaker stays open at first. It doubles with each further
    /// opening without a success, up to `max_open_time`.
    duration base_open_time = std::chrono::seconds{1};
    duration max_open_time = std::chrono::seconds{30};
};

struct breaker
{
    breaker_state state = breaker_state::closed;
    std::uint32_t failures = 0;    ///< Consecutive.
    std::uint32_t openings = 0;    ///< Since the last success.
    time_point open_until{};       ///< End of the open time.
    bool probe_in_flight = false;  ///< The request of `half_open` was sent.
    time_point last_response_at{}; ///< Last bytes from the server.
};

/// Returns whether a request may be sent now. Changes `open` to `half_open`
/// once the open time has ended.
bool may_send(breaker& breaker, time_point at);

/// Records that a request is being sent.
void record_sent(breaker& breaker);

/// Records that the server answered, which closes the breaker.
void record_success(breaker& breaker, time_point at);

/// Records that the server refused or closed a connection. `jitter`, from 0 to
/// 1, lengthens the open time by up to a half. Returns true if the breaker
/// opened.
bool record_failure(breaker& breaker, breaker_options const& options,
                    time_point at, double jitter);

/// Records that an attempt sent at `sent_at` timed out without a response. It
/// counts as a failure only if the server has not responded to anything since
/// then. Returns true if the breaker opened.
bool record_timeout(breaker& breaker, breaker_options const& options,
                    time_point sent_at, time_point at, double jitter);

/// Records that an attempt ended in a way that neither proves nor disproves
/// that the server works. Another probe may then be sent.
void record_inconclusive(breaker& breaker);

} // namespace bramleyarch::decisions

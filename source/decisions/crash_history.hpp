/// Refusal of requests that crash backend servers.
///
/// A crash makes all requests that the server was running suspect. Requests
/// that complete later are cleared, so only a request that never completes
/// accumulates crashes. It is refused after a few. Routers tell each other of
/// crashes and of the answers that clear them, and repeat the crashes of
/// refused requests, so that a router which has restarted or was cut off learns
/// them.
#pragma once

#include "common/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace bramleyarch::decisions
{

struct crash_history_options
{
    /// Number of crashed servers after which a request is refused.
    std::size_t max_crashes = 3;
    /// Time for which crashes and answers are kept. It is longer than callers
    /// wait before they send a request again.
    duration retention = std::chrono::minutes{2};
    /// Beyond this number, the entry that expires first is removed.
    std::size_t max_requests = 4096;
    /// Refused requests whose crashes are repeated at a time. Together with
    /// `max_crashes` it limits the bytes that this takes.
    std::size_t max_repeated = 8;
};

/// A server that crashed with a request in flight.
struct request_crash
{
    std::uint64_t request = 0; ///< Fingerprint.
    /// Hash of one run of the server, from its start to its crash.
    std::uint64_t server = 0;
    time_point at{};
};

/// An answer that clears a request of earlier crashes.
struct request_answer
{
    std::uint64_t request = 0; ///< Fingerprint.
    time_point at{};           ///< When the answer was complete.
};

/// Crashes during which one request was in flight.
struct crash_record
{
    std::vector<request_crash> crashes; ///< Each of another run of a server.
    time_point expires_at{};
};

struct crash_history
{
    crash_history_options options;
    /// By the fingerprint of the request.
    std::map<std::uint64_t, crash_record> requests;
    /// Time of the last answer that cleared a request, by its fingerprint.
    std::unordered_map<std::uint64_t, time_point> answered_at;
    /// Fingerprint of the request whose crashes were repeated last.
    std::uint64_t last_repeated = 0;
};

/// Records a crash, seen by this router or another, unless the request has been
/// answered since. Returns true if the crash was not recorded before and counts
/// towards the refusal. A known crash does not prolong its record, so that what
/// routers repeat to each other expires.
bool record_crash(crash_history& history, request_crash const& crash);

/// Removes the crashes of a request before its answer, seen by this router or
/// another. Returns true if there were any.
bool record_answer(crash_history& history, request_answer const& answer);

/// Returns whether the request was answered after the crash, so that the answer
/// should be reported to the router that reported the crash.
bool is_answered_since(crash_history const& history,
                       request_crash const& crash);

/// Returns whether the request has reached the number of crashes after which it
/// is refused.
bool should_refuse(crash_history const& history, std::uint64_t request,
                   time_point at);

/// Returns the crashes of the next refused requests in turn, to be sent to
/// routers that may not know them.
std::vector<request_crash> crashes_to_repeat(crash_history& history,
                                             time_point at);

/// Removes the entries that have expired at `at`.
void remove_expired_crashes(crash_history& history, time_point at);

} // namespace bramleyarch::decisions

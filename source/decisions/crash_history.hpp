/// Refusal of requests that crash backend servers.
///
/// A crash makes all requests that the server was running suspect. Requests
/// that complete later are cleared, so only a request that never completes
/// accumulates crashes. It is refused after a few.
#pragma once

#include "common/time.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bramleyarch::decisions
{

struct crash_history_options
{
    /// Number of crashed servers after which a request is refused.
    std::size_t max_crashes = 3;
    /// Time for which crashes are kept. It is longer than callers wait before
    /// they send a request again.
    duration retention = std::chrono::minutes{2};
    /// Beyond this number, the entry that expires first is removed.
    std::size_t max_requests = 4096;
};

/// Crashes during which one request was in flight.
struct crash_record
{
    /// Hashes that each identify one run of a server, from its start to its
    /// crash, without duplicates.
    std::vector<std::uint64_t> servers;
    time_point expires_at{};
};

struct crash_history
{
    crash_history_options options;
    /// By the fingerprint of the request.
    std::unordered_map<std::uint64_t, crash_record> requests;
};

/// Records that a server crashed with the request in flight. Returns true if
/// that crash was not recorded before and counts towards the refusal.
bool record_crash(crash_history& history, std::uint64_t request,
                  std::uint64_t server, time_point at);

/// Removes the crashes of a request that completed.
void clear_crashes(crash_history& history, std::uint64_t request);

/// Returns whether the request has reached the number of crashes after which it
/// is refused.
bool should_refuse(crash_history const& history, std::uint64_t request,
                   time_point at);

/// Removes the entries that have expired at `at`.
void remove_expired_crashes(crash_history& history, time_point at);

} // namespace bramleyarch::decisions

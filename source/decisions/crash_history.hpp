/// Requests that were in flight when servers went down: one that takes down
/// each server that runs it is refused after a few.
///
/// A crash makes all requests in flight suspect. What completes later is
/// cleared, so that only a request that never completes gathers suspicions.
#pragma once

#include "common/time.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bramleyarch::decisions
{

struct crash_history_options
{
    /// Servers that went down with the request before it is refused.
    std::size_t most_crashes = 3;
    /// Longer than a caller's pause before it sends the request again.
    duration memory = std::chrono::minutes{2};
    std::size_t max_requests = 4096; ///< Oldest are dropped beyond it.
};

struct crash_record
{
    std::vector<std::uint64_t> servers; ///< Starts of servers, no one twice.
    time_point expires{};
};

struct crash_history
{
    crash_history_options options;
    std::unordered_map<std::uint64_t, crash_record> requests;
};

/// A server went down with the request in flight. True when that is news.
bool record_crash(crash_history& ledger, std::uint64_t request,
                  std::uint64_t server, time_point at);

/// The request completed.
void clear_crashes(crash_history& ledger, std::uint64_t request);

/// Whether the request is to be refused.
bool should_refuse(crash_history const& ledger, std::uint64_t request,
                   time_point at);

/// Drops what expired.
void remove_expired_crashes(crash_history& ledger, time_point at);

} // namespace bramleyarch::decisions

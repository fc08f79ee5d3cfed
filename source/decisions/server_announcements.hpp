/// What backend servers announce about themselves in their answers.
///
/// An announcement holds for one run of the server, from its start to its end,
/// also if the server is meanwhile missing from the list of servers.
#pragma once

#include "common/time.hpp"

#include <cstdint>
#include <unordered_map>

namespace bramleyarch::decisions
{

struct server_announcement
{
    /// The server is leaving. It does not return before its next start.
    bool leaving = false;
    /// The server wants no request from this router before this time.
    time_point paused_until{};
    time_point expires_at{};
};

struct server_announcements
{
    /// Time for which an announcement is kept after it was last made. A leaving
    /// server serves for some seconds, at most minutes.
    duration retention = std::chrono::minutes{10};
    /// By the hash of the server's run.
    std::unordered_map<std::uint64_t, server_announcement> by_run;
};

/// Returns true if the server had not announced its leaving before.
bool record_leaving(server_announcements& state, std::uint64_t run,
                    time_point at);

/// Records that the server wants no request for the time `pause`. A shorter
/// pause does not end a longer one.
void record_pause(server_announcements& state, std::uint64_t run,
                  duration pause, time_point at);

bool is_leaving(server_announcements const& state, std::uint64_t run);

/// Returns the time until the server wants requests again.
duration remaining_pause(server_announcements const& state, std::uint64_t run,
                         time_point at);

void remove_expired(server_announcements& state, time_point at);

} // namespace bramleyarch::decisions

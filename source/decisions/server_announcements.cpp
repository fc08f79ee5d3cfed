#include "decisions/server_announcements.hpp"

#include <algorithm>
#include <utility>

namespace bramleyarch::decisions
{

namespace
{

/// Returns the announcement of the run, which is now kept for longer.
server_announcement& refresh(server_announcements& state, std::uint64_t run,
                             time_point until)
{
    auto& announcement = state.by_run[run];
    announcement.expires_at = std::max(announcement.expires_at, until);
    return announcement;
}

} // namespace

bool record_leaving(server_announcements& state, std::uint64_t run,
                    time_point at)
{
    auto& announcement = refresh(state, run, at + state.retention);
    return !std::exchange(announcement.leaving, true);
}

void record_pause(server_announcements& state, std::uint64_t run,
                  duration pause, time_point at)
{
    auto& announcement = refresh(state, run, at + pause);
    announcement.paused_until = std::max(announcement.paused_until, at + pause);
}

bool is_leaving(server_announcements const& state, std::uint64_t run)
{
    auto const found = state.by_run.find(run);
    return found != state.by_run.end() && found->second.leaving;
}

duration remaining_pause(server_announcements const& state, std::uint64_t run,
                         time_point at)
{
    auto const found = state.by_run.find(run);
    return found == state.by_run.end()
               ? duration::zero()
               : std::max(found->second.paused_until - at, duration::zero());
}

void remove_expired(server_announcements& state, time_point at)
{
    std::erase_if(state.by_run, [at](auto const& entry)
                  { return entry.second.expires_at <= at; });
}

} // namespace bramleyarch::decisions

/// Parts of the store service; used by its own files only.
#pragma once

#include "services/store/store_service.hpp"

namespace bramleyarch::services
{

constexpr int status_ok = 200;
constexpr int status_unknown_lease = 404;
constexpr int status_history_gone = 410;

time_point now_of(store_state const& state);

/// Starts a call; its events follow.
std::uint64_t open_call(store_state& state, store_request call, duration limit);

followed_group& group_of(store_state& state, record_group group);

/// Reads the group's next page, or watches it.
void follow(store_state& state, followed_group& g);

/// The group's call has its whole answer.
void end_follow(store_state& state, followed_group& g);

void follow_failed(store_state& state, followed_group& g,
                   std::string const& why);

/// Makes the calls that are due.
void follow_due(store_state& state);

/// Something suggests that the store does not answer or that a watch is dead:
/// asks again at once.
void doubt_watches(store_state& state, std::string_view why);

/// Another router knows of changes.
void take_peer_changes(store_state& state, known_revisions const& known);

/// Drops what was not listed again in time.
void expire_doubtful(store_state& state);

/// The next call for the lease, when it is due and none is under way.
void keep_listed(store_state& state);

/// The call for the lease has its whole answer.
void end_keep(store_state& state);

void keep_failed(store_state& state, std::string const& why);

/// Ends the lease, so that the others do not wait for it to lapse.
void leave_list(store_state& state);

} // namespace bramleyarch::services

/// What a router puts into its next heartbeat.
///
/// News are sent a bounded number of times, those sent least first. Bytes
/// that are left go to known facts in rotation, so that a router that missed
/// some learns them later.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"
#include "decisions/heartbeat.hpp"
#include "decisions/membership.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bramleyarch::decisions
{

struct gossip_options
{
    /// Longest encoded heartbeat.
    std::size_t max_bytes = 460;
    /// Most of the room for news that changes of members take, in percent.
    std::uint32_t members_percent = 40;
    /// Room kept for members that have not changed.
    std::size_t known_members_bytes = 80;
    std::size_t max_teams = 10; ///< Teams in one heartbeat.
    /// The same in a fleet of more than `small_fleet` routers.
    std::size_t max_teams_in_large_fleet = 4;
    std::size_t small_fleet = 16;
    /// Times that a router passes on loads that it learned.
    std::uint32_t max_load_sends = 6;
    /// Loads older than this are not passed on.
    duration max_load_age = seconds{10};
    std::size_t max_quarantine = 256; ///< Notices kept.
};

/// Times that a router passes on a change of a member, in a fleet of `size`.
std::uint32_t max_member_sends(std::size_t size);

/// Least time between two loads of one owner in a fleet of `size`, so that
/// heartbeats have room for those of all owners.
duration min_load_interval(std::size_t size);

/// How often the news of a member were sent.
struct member_marks
{
    std::uint32_t full_sent = 0;
    std::uint32_t brief_sent = 0;
};

struct load_entry
{
    load_update update; ///< Its age is that at `counted_at`: zero.
    time_point counted_at{};
    std::uint32_t sent = 0;
};

struct quarantine_entry
{
    compact_quarantine update;
    time_point expires_at{};
    std::uint32_t sent = 0; ///< In heartbeats.
    bool announced = false; ///< Was in a notice to many routers at once.
};

struct gossip_state
{
    std::map<router_id, member_marks> members;
    std::map<router_id, load_entry> loads; ///< By owner; own ones as well.
    std::vector<quarantine_entry> quarantine;
    std::vector<compact_demand> demand; ///< Of this router.
    std::size_t demand_cursor = 0;
    router_id member_cursor;
    router_id load_cursor;
};

/// The state of `id` is news.
void queue_compact_update(gossip_state& s, router_id const& id);

/// `id` joined: its full record is news.
void queue_full_update(gossip_state& s, router_id const& id);

/// Drops what is known of the loads of `owner`.
void remove_loads(gossip_state& s, router_id const& owner);

/// Loads that this router counted; replaces the former ones.
void set_local_loads(gossip_state& s, member const& self,
                     std::vector<compact_load> loads, time_point now);

/// True when `now` holds a load that differs enough to be sent at once.
bool has_significant_change(std::vector<compact_load> const& sent,
                            std::vector<compact_load> const& counted);

/// Takes in loads from a heartbeat; the owner if they are newer than those
/// known and that owner, at that incarnation, is a member.
std::optional<router_id> merge_loads(gossip_state& s, membership& m,
                                     load_update const& news, time_point now);

/// Takes in a notice; true when it is new.
bool merge_quarantine(gossip_state& s, compact_quarantine const& news,
                      gossip_options const& options, time_point now);

/// Fills `out`, whose sender is set, with what was never announced; false when
/// there is none.
bool add_unannounced_quarantine(gossip_state& s, gossip_options const& options,
                                time_point now, heartbeat& out);

/// Fills `out`, whose sender is set, up to the limit.
void add_gossip(gossip_state& s, membership const& m,
                gossip_options const& options, time_point now, heartbeat& out);

/// Bytes of the encoded form, at most.
std::size_t max_encoded_bytes(heartbeat const& h);

} // namespace bramleyarch::decisions

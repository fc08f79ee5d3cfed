/// Selection of what a router gossips in its heartbeats.
///
/// Each update is sent a bounded number of times, the least sent first. The
/// remaining space goes to known facts in rotation, so that a router that
/// missed an update receives the fact later.
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
    /// Maximum size of an encoded heartbeat.
    std::size_t max_bytes = 460;
    /// Percentage of the space that remains after quarantine entries and may be
    /// used for updates of members.
    std::uint32_t members_percent = 40;
    /// Space reserved for members without queued updates.
    std::size_t known_members_bytes = 80;
    /// Maximum number of teams in a heartbeat, in a fleet of up to
    /// `small_fleet` routers.
    std::size_t max_teams = 10;
    /// Maximum number of teams in a heartbeat in a larger fleet.
    std::size_t max_teams_in_large_fleet = 4;
    std::size_t small_fleet = 16;
    /// Number of times that a queued update of loads is sent.
    std::uint32_t max_load_sends = 6;
    /// Loads older than this are not sent.
    duration max_load_age = seconds{10};
    /// Maximum number of quarantine entries. A new one replaces the oldest.
    std::size_t max_quarantine = 256;
};

/// Number of times that a queued update of a member, or a quarantine entry, is
/// sent in a fleet of `fleet_size` routers.
std::uint32_t max_member_sends(std::size_t fleet_size);

/// Minimum time between two updates of the loads of one owner. It grows with
/// the fleet, so that heartbeats have space for the loads of all owners.
duration min_load_interval(std::size_t fleet_size);

/// Number of times that the updates of a member were sent.
struct member_send_counts
{
    std::uint32_t full_sent = 0;
    std::uint32_t compact_sent = 0;
};

struct load_entry
{
    load_update update; ///< Its age is zero and refers to `counted_at`.
    time_point counted_at{};
    std::uint32_t sent = 0; ///< Number of heartbeats with this update.
};

struct quarantine_entry
{
    compact_quarantine update; ///< Its time to live counts from arrival.
    time_point expires_at{};
    std::uint32_t sent = 0; ///< Number of heartbeats with this update.
    /// True if it was sent in an announcement to many routers at once.
    bool announced = false;
};

struct gossip_state
{
    std::map<router_id, member_send_counts> members;
    /// Loads by owner, including those of the servers that this router owns.
    std::map<router_id, load_entry> loads;
    std::vector<quarantine_entry> quarantine;
    std::vector<compact_demand> demand; ///< Seen by this router.
    std::size_t demand_cursor = 0;
    router_id member_cursor;
    router_id load_cursor;
};

/// Queues an update of the state of a member.
void queue_compact_update(gossip_state& gossip, router_id const& id);

/// Queues the full record and the state of a member that joined.
void queue_full_update(gossip_state& gossip, router_id const& id);

/// Removes the loads of the servers of an owner.
void remove_loads(gossip_state& gossip, router_id const& owner);

/// Replaces the loads of the servers that this router owns and queues them.
void set_local_loads(gossip_state& gossip, member const& self,
                     std::vector<compact_load> loads, time_point now);

/// True if the loads in `counted` differ from those in `sent` so much that
/// they should be sent before the next refresh.
bool has_significant_change(std::vector<compact_load> const& sent,
                            std::vector<compact_load> const& counted);

/// Merges the loads of one owner from a heartbeat. Returns the owner, or
/// std::nullopt if the loads are not newer than the known ones or the owner is
/// not a member at that incarnation.
std::optional<router_id> merge_loads(gossip_state& gossip, membership& members,
                                     load_update const& update, time_point now);

/// Merges a quarantine entry; true if it is new.
bool merge_quarantine(gossip_state& gossip, compact_quarantine const& update,
                      gossip_options const& options, time_point now);

/// Adds the quarantine entries that were not announced to `out`, whose sender
/// must be set. False if `out` then has no quarantine entry.
bool add_unannounced_quarantine(gossip_state& gossip,
                                gossip_options const& options, time_point now,
                                heartbeat& out);

/// Adds gossip to `out`, whose sender must be set, up to the limit of bytes.
void add_gossip(gossip_state& gossip, membership const& members,
                gossip_options const& options, time_point now, heartbeat& out);

/// Upper bound of the size of the encoded heartbeat in bytes.
std::size_t max_encoded_bytes(heartbeat const& content);

} // namespace bramleyarch::decisions

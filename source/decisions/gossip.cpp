#include "decisions/gossip.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace bramleyarch::decisions
{

namespace
{

/// Magic bytes, version, kind and the lengths of the lists.
constexpr std::size_t base_bytes = 16;

/// The load of a server changes significantly if it changes by at least the
/// server's limit divided by this.
constexpr std::uint32_t load_step_parts = 8;

/// Minimum time between two updates of one owner, for each router of the fleet.
constexpr duration load_interval_per_router = milliseconds{10};

/// Size of a number in the variable-length encoding of heartbeats.
constexpr std::size_t compact_bytes(std::uint64_t number)
{
    return std::max<std::size_t>(1, (std::bit_width(number) + 6) / 7);
}

std::size_t bytes_of(endpoint const& at, endpoint const& base)
{
    std::size_t const address =
        at.address == base.address ? 0 : at.address.size() + 1;
    return 1 + address + compact_bytes(at.port);
}

std::size_t bytes_of(full_member_update const& update)
{
    auto const& info = update.info;
    return info.id.value.size() + info.domain.value.size() + 2 + 8 + 1 +
           info.heartbeat.address.size() + 1 +
           compact_bytes(info.heartbeat.port) +
           bytes_of(info.link, info.heartbeat) +
           bytes_of(info.admin, info.heartbeat) + compact_bytes(info.config) +
           compact_bytes(update.sequence) + compact_bytes(update.age_steps);
}

std::size_t bytes_of(compact_member_update const& update)
{
    return 9 + compact_bytes(update.sequence) +
           compact_bytes(update.age_steps) + compact_bytes(update.config);
}

std::size_t bytes_of(load_update const& update)
{
    std::size_t total = 8 + compact_bytes(update.sequence) +
                        compact_bytes(update.age_steps) +
                        compact_bytes(update.loads.size());
    for (auto const& load : update.loads)
        total += 5 + compact_bytes(load.in_flight) +
                 compact_bytes(load.queued) + compact_bytes(load.limit);
    return total;
}

std::size_t bytes_of(compact_demand const& demand)
{
    return 4 + compact_bytes(demand.rate_milli);
}

std::size_t bytes_of(compact_quarantine const& update)
{
    return 13 + compact_bytes(update.ttl_ms);
}

std::size_t bytes_of(router_ref const&)
{
    return 8;
}

template <class Update>
std::size_t bytes_of(std::vector<Update> const& list)
{
    std::size_t total = 0;
    for (auto const& update : list)
        total += bytes_of(update);
    return total;
}

/// Appends `update` if it fits into `left` bytes, which it then reduces.
template <class Update>
bool append(std::vector<Update>& to, Update update, std::size_t& left)
{
    auto const size = bytes_of(update);
    if (size > left)
        return false;
    left -= size;
    to.push_back(std::move(update));
    return true;
}

full_member_update make_full_update(member_record const& record, time_point now)
{
    return {.info = record.info,
            .sequence = record.sequence,
            .age_steps = age_in_steps(record.last_seen_at, now)};
}

compact_member_update make_compact_update(member_record const& record,
                                          time_point now)
{
    return {.router = record.ref,
            .state = record.info.state,
            .sequence = record.sequence,
            .age_steps = age_in_steps(record.last_seen_at, now),
            .config = record.info.config};
}

/// Returns the entries whose send count is below `limit`, in ascending order of
/// `rank`.
template <class Map, class Count, class Rank>
std::vector<typename Map::pointer> find_queued(Map& map, std::uint32_t limit,
                                               Count count, Rank rank)
{
    std::vector<typename Map::pointer> found;
    for (auto& entry : map)
    {
        if (count(entry.second) < limit)
            found.push_back(&entry);
    }
    std::ranges::stable_sort(found, {},
                             [&](auto* entry) { return rank(entry->second); });
    return found;
}

/// Calls `add` for each entry, starting after `cursor`, until it returns
/// false. Leaves the cursor at the last entry that was added.
template <class Map, class Add>
void rotate(Map& map, router_id& cursor, Add add)
{
    auto next = map.upper_bound(cursor);
    for (std::size_t i = 0; i < map.size(); ++i)
    {
        if (next == map.end())
            next = map.begin();
        if (!add(*next))
            return;
        cursor = next->first;
        ++next;
    }
}

/// Returns the update of the entry with the time to live that remains.
compact_quarantine make_update(quarantine_entry const& entry, time_point now)
{
    auto update = entry.update;
    update.ttl_ms = static_cast<std::uint32_t>(to_ms(entry.expires_at - now));
    return update;
}

void remove_expired_quarantine(gossip_state& gossip, time_point now)
{
    std::erase_if(gossip.quarantine,
                  [&](auto const& entry) { return entry.expires_at <= now; });
}

void add_quarantine(gossip_state& gossip, std::uint32_t limit, time_point now,
                    heartbeat& out, std::size_t& left)
{
    remove_expired_quarantine(gossip, now);
    for (auto& entry : gossip.quarantine)
    {
        if (entry.sent >= limit)
            continue;
        if (!append(out.quarantine, make_update(entry, now), left))
            return;
        ++entry.sent;
    }
}

void add_changed_members(gossip_state& gossip, membership const& members,
                         std::uint32_t limit, time_point now, heartbeat& out,
                         std::size_t& left)
{
    auto const full_sent = [](auto const& counts) { return counts.full_sent; };
    auto const compact_sent = [](auto const& counts)
    { return counts.compact_sent; };
    for (auto* entry : find_queued(gossip.members, limit, full_sent, full_sent))
    {
        auto const found = members.others.find(entry->first);
        bool const known = found != members.others.end() &&
                           found->second.info.state != member_state::gone;
        if (known &&
            !append(out.joined, make_full_update(found->second, now), left))
            break;
        ++entry->second.full_sent;
    }
    for (auto* entry :
         find_queued(gossip.members, limit, compact_sent, compact_sent))
    {
        auto const found = members.others.find(entry->first);
        bool const known = found != members.others.end();
        if (known &&
            !append(out.members, make_compact_update(found->second, now), left))
            break;
        ++entry->second.compact_sent;
    }
}

bool is_included(heartbeat const& out, member_record const& record)
{
    auto const compact = [&](compact_member_update const& update)
    { return update.router == record.ref; };
    auto const full = [&](full_member_update const& update)
    { return update.info.id == record.info.id; };
    return std::ranges::any_of(out.members, compact) ||
           std::ranges::any_of(out.joined, full);
}

/// Adds known members in rotation: in a ping first one full record, then
/// compact updates as long as they fit.
void add_known_members(gossip_state& gossip, membership const& members,
                       time_point now, heartbeat& out, std::size_t& left)
{
    bool full = out.kind == heartbeat_kind::ping;
    rotate(members.others, gossip.member_cursor,
           [&](auto const& entry)
           {
               auto const& record = entry.second;
               if (record.info.state == member_state::gone ||
                   is_included(out, record))
                   return true;
               if (std::exchange(full, false) &&
                   append(out.joined, make_full_update(record, now), left))
                   return true;
               return append(out.members, make_compact_update(record, now),
                             left);
           });
}

/// Appends the update of the entry unless it is too old; false if it does not
/// fit.
bool append_loads(load_entry& entry, gossip_options const& options,
                  time_point now, heartbeat& out, std::size_t& left)
{
    if (now - entry.counted_at > options.max_load_age)
        return true;
    auto update = entry.update;
    update.age_steps = age_in_steps(entry.counted_at, now);
    if (!append(out.loads, std::move(update), left))
        return false;
    ++entry.sent;
    return true;
}

void add_changed_loads(gossip_state& gossip, gossip_options const& options,
                       time_point now, heartbeat& out, std::size_t& left)
{
    auto const sent = [](auto const& entry) { return entry.sent; };
    // The most recent of those that were sent equally often comes first.
    auto const rank = [&](auto const& entry) {
        return std::pair{entry.sent, now - entry.counted_at};
    };
    for (auto* entry :
         find_queued(gossip.loads, options.max_load_sends, sent, rank))
    {
        if (!append_loads(entry->second, options, now, out, left))
            return;
    }
}

/// Adds the demand of up to `limit` teams in rotation.
void add_demand(gossip_state& gossip, std::size_t limit, heartbeat& out,
                std::size_t& left)
{
    auto const count = std::min(limit, gossip.demand.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        gossip.demand_cursor = gossip.demand_cursor % gossip.demand.size();
        if (!append(out.demand, gossip.demand[gossip.demand_cursor], left))
            return;
        ++gossip.demand_cursor;
    }
}

void add_known_loads(gossip_state& gossip, gossip_options const& options,
                     time_point now, heartbeat& out, std::size_t& left)
{
    rotate(gossip.loads, gossip.load_cursor,
           [&](auto& entry)
           {
               bool const included = std::ranges::any_of(
                   out.loads, [&](load_update const& update)
                   { return update.owner == entry.second.update.owner; });
               return included ||
                      append_loads(entry.second, options, now, out, left);
           });
}

} // namespace

std::uint32_t max_member_sends(std::size_t fleet_size)
{
    return 2 * static_cast<std::uint32_t>(std::bit_width(fleet_size));
}

duration min_load_interval(std::size_t fleet_size)
{
    return fleet_size * load_interval_per_router;
}

void queue_compact_update(gossip_state& gossip, router_id const& id)
{
    gossip.members[id].compact_sent = 0;
}

void queue_full_update(gossip_state& gossip, router_id const& id)
{
    gossip.members[id] = {};
}

void remove_loads(gossip_state& gossip, router_id const& owner)
{
    gossip.loads.erase(owner);
}

void set_local_loads(gossip_state& gossip, member const& self,
                     std::vector<compact_load> loads, time_point now)
{
    auto& entry = gossip.loads[self.id];
    entry.update.owner = make_router_ref(self.id, self.started);
    ++entry.update.sequence;
    entry.update.loads = std::move(loads);
    entry.counted_at = now;
    entry.sent = 0;
}

bool has_significant_change(std::vector<compact_load> const& sent,
                            std::vector<compact_load> const& counted)
{
    auto const differs =
        [](compact_load const& before, compact_load const& after)
    {
        auto const step = std::max(1U, after.limit / load_step_parts);
        auto const high = std::max(before.in_flight, after.in_flight);
        auto const low = std::min(before.in_flight, after.in_flight);
        return before.server != after.server || before.cold != after.cold ||
               before.usable != after.usable || before.limit != after.limit ||
               (before.queued == 0) != (after.queued == 0) ||
               high - low >= step;
    };
    if (sent.size() != counted.size())
        return true;
    for (std::size_t i = 0; i < sent.size(); ++i)
    {
        if (differs(sent[i], counted[i]))
            return true;
    }
    return false;
}

std::optional<router_id> merge_loads(gossip_state& gossip, membership& members,
                                     load_update const& update, time_point now)
{
    auto const* owner = find_member(members, update.owner);
    if (!owner || owner->info.state == member_state::gone)
        return std::nullopt;
    auto& entry = gossip.loads[owner->info.id];
    bool const same_start = entry.update.owner == update.owner;
    if (same_start && entry.update.sequence >= update.sequence)
        return std::nullopt;
    entry = {.update = update, .counted_at = now - update.age_steps * age_step};
    entry.update.age_steps = 0;
    return owner->info.id;
}

bool merge_quarantine(gossip_state& gossip, compact_quarantine const& update,
                      gossip_options const& options, time_point now)
{
    auto const known = std::ranges::find_if(
        gossip.quarantine,
        [&](quarantine_entry const& entry)
        {
            return entry.update.body_fingerprint == update.body_fingerprint &&
                   entry.update.server == update.server &&
                   entry.update.quarantined == update.quarantined;
        });
    if (known != gossip.quarantine.end() || update.ttl_ms == 0)
        return false;
    if (gossip.quarantine.size() >= options.max_quarantine)
        gossip.quarantine.erase(gossip.quarantine.begin());
    gossip.quarantine.push_back(
        {.update = update, .expires_at = now + milliseconds{update.ttl_ms}});
    return true;
}

bool add_unannounced_quarantine(gossip_state& gossip,
                                gossip_options const& options, time_point now,
                                heartbeat& out)
{
    std::size_t const used = max_encoded_bytes(out);
    std::size_t left = options.max_bytes - std::min(options.max_bytes, used);
    remove_expired_quarantine(gossip, now);
    for (auto& entry : gossip.quarantine)
    {
        if (entry.announced)
            continue;
        if (!append(out.quarantine, make_update(entry, now), left))
            break;
        entry.announced = true;
    }
    return !out.quarantine.empty();
}

void add_gossip(gossip_state& gossip, membership const& members,
                gossip_options const& options, time_point now, heartbeat& out)
{
    auto const limit = max_member_sends(members.others.size() + 1);
    std::size_t const used = max_encoded_bytes(out);
    std::size_t left = options.max_bytes - std::min(options.max_bytes, used);
    add_quarantine(gossip, limit, now, out, left);
    std::size_t for_members = left * options.members_percent / 100;
    left -= for_members;
    add_changed_members(gossip, members, limit, now, out, for_members);
    std::size_t const reserved =
        std::min(for_members, options.known_members_bytes);
    left += for_members - reserved;
    bool const small = members.others.size() < options.small_fleet;
    add_demand(gossip,
               small ? options.max_teams : options.max_teams_in_large_fleet,
               out, left);
    add_changed_loads(gossip, options, now, out, left);
    for_members = reserved + left / 2;
    left -= left / 2;
    add_known_members(gossip, members, now, out, for_members);
    left += for_members;
    add_known_loads(gossip, options, now, out, left);
}

std::size_t max_encoded_bytes(heartbeat const& content)
{
    return base_bytes + bytes_of(content.sender) + bytes_of(content.joined) +
           bytes_of(content.members) + bytes_of(content.loads) +
           bytes_of(content.demand) + bytes_of(content.quarantine) +
           bytes_of(content.probe_requests);
}

} // namespace bramleyarch::decisions

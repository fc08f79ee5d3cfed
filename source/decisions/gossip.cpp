#include "decisions/gossip.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace bramleyarch::decisions
{

namespace
{

/// Marks, version, kind and the lengths of the lists.
constexpr std::size_t base_bytes = 16;

/// Change of a load, in parts of its limit, that is sent at once.
constexpr std::uint32_t load_step_parts = 8;

/// Least time between two loads of one owner for each router of the fleet.
constexpr duration load_interval_per_router = milliseconds{10};

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

std::size_t bytes_of(full_member_update const& n)
{
    auto const& i = n.info;
    return i.id.value.size() + i.domain.value.size() + 2 + 8 + 1 +
           i.heartbeat.address.size() + 1 + compact_bytes(i.heartbeat.port) +
           bytes_of(i.link, i.heartbeat) + bytes_of(i.admin, i.heartbeat) +
           compact_bytes(i.config) + compact_bytes(n.sequence) +
           compact_bytes(n.age_steps);
}

std::size_t bytes_of(compact_member_update const& n)
{
    return 9 + compact_bytes(n.sequence) + compact_bytes(n.age_steps) +
           compact_bytes(n.config);
}

std::size_t bytes_of(load_update const& n)
{
    std::size_t total = 8 + compact_bytes(n.sequence) +
                        compact_bytes(n.age_steps) +
                        compact_bytes(n.loads.size());
    for (auto const& l : n.loads)
        total += 5 + compact_bytes(l.in_flight) + compact_bytes(l.queued) +
                 compact_bytes(l.limit);
    return total;
}

std::size_t bytes_of(compact_demand const& d)
{
    return 4 + compact_bytes(d.rate_milli);
}

std::size_t bytes_of(compact_quarantine const& q)
{
    return 13 + compact_bytes(q.ttl_ms);
}

std::size_t bytes_of(router_ref const&)
{
    return 8;
}

template <class News>
std::size_t bytes_of(std::vector<News> const& list)
{
    std::size_t total = 0;
    for (auto const& n : list)
        total += bytes_of(n);
    return total;
}

/// Appends `news` if it fits into `left`.
template <class News>
bool append(std::vector<News>& to, News news, std::size_t& left)
{
    auto const size = bytes_of(news);
    if (size > left)
        return false;
    left -= size;
    to.push_back(std::move(news));
    return true;
}

full_member_update full_of(member_record const& r, time_point now)
{
    return {.info = r.info,
            .sequence = r.sequence,
            .age_steps = age_in_steps(r.last_seen_at, now)};
}

compact_member_update brief_of(member_record const& r, time_point now)
{
    return {.router = r.ref,
            .state = r.info.state,
            .sequence = r.sequence,
            .age_steps = age_in_steps(r.last_seen_at, now),
            .config = r.info.config};
}

/// Entries whose count is under `limit`, in ascending order of `rank`.
template <class Map, class Count, class Rank>
std::vector<typename Map::pointer> unsent(Map& map, std::uint32_t limit,
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

/// Calls `take` for the entries after `cursor`, once around, until it
/// returns false; the cursor then stands on the last one taken.
template <class Map, class Take>
void rotate(Map& map, router_id& cursor, Take take)
{
    auto next = map.upper_bound(cursor);
    for (std::size_t i = 0; i < map.size(); ++i)
    {
        if (next == map.end())
            next = map.begin();
        if (!take(*next))
            return;
        cursor = next->first;
        ++next;
    }
}

/// The entry's news as of `now`.
compact_quarantine news_of(quarantine_entry const& entry, time_point now)
{
    auto news = entry.update;
    news.ttl_ms = static_cast<std::uint32_t>(to_ms(entry.expires_at - now));
    return news;
}

void expire_quarantine(gossip_state& s, time_point now)
{
    std::erase_if(s.quarantine,
                  [&](auto const& e) { return e.expires_at <= now; });
}

void fill_quarantine(gossip_state& s, std::uint32_t limit, time_point now,
                     heartbeat& out, std::size_t& left)
{
    expire_quarantine(s, now);
    for (auto& entry : s.quarantine)
    {
        if (entry.sent >= limit)
            continue;
        if (!append(out.quarantine, news_of(entry, now), left))
            return;
        ++entry.sent;
    }
}

void fill_changed_members(gossip_state& s, membership const& m,
                          std::uint32_t limit, time_point now, heartbeat& out,
                          std::size_t& left)
{
    auto const full_sent = [](auto const& e) { return e.full_sent; };
    auto const brief_sent = [](auto const& e) { return e.brief_sent; };
    for (auto* entry : unsent(s.members, limit, full_sent, full_sent))
    {
        auto const found = m.others.find(entry->first);
        bool const known = found != m.others.end() &&
                           found->second.info.state != member_state::gone;
        if (known && !append(out.joined, full_of(found->second, now), left))
            break;
        ++entry->second.full_sent;
    }
    for (auto* entry : unsent(s.members, limit, brief_sent, brief_sent))
    {
        auto const found = m.others.find(entry->first);
        bool const known = found != m.others.end();
        if (known && !append(out.members, brief_of(found->second, now), left))
            break;
        ++entry->second.brief_sent;
    }
}

bool is_told(heartbeat const& out, member_record const& record)
{
    auto const brief = [&](compact_member_update const& n)
    { return n.router == record.ref; };
    auto const full = [&](full_member_update const& n)
    { return n.info.id == record.info.id; };
    return std::ranges::any_of(out.members, brief) ||
           std::ranges::any_of(out.joined, full);
}

/// In rotation, one full record to a ping and as many brief ones as fit.
void fill_known_members(gossip_state& s, membership const& m, time_point now,
                        heartbeat& out, std::size_t& left)
{
    bool full = out.kind == heartbeat_kind::ping;
    rotate(m.others, s.member_cursor,
           [&](auto const& entry)
           {
               auto const& record = entry.second;
               if (record.info.state == member_state::gone ||
                   is_told(out, record))
                   return true;
               if (std::exchange(full, false) &&
                   append(out.joined, full_of(record, now), left))
                   return true;
               return append(out.members, brief_of(record, now), left);
           });
}

bool append_loads(load_entry& entry, gossip_options const& options,
                  time_point now, heartbeat& out, std::size_t& left)
{
    if (now - entry.counted_at > options.max_load_age)
        return true;
    auto news = entry.update;
    news.age_steps = age_in_steps(entry.counted_at, now);
    if (!append(out.loads, std::move(news), left))
        return false;
    ++entry.sent;
    return true;
}

void fill_loads(gossip_state& s, gossip_options const& options, time_point now,
                heartbeat& out, std::size_t& left)
{
    auto const sent = [](auto const& e) { return e.sent; };
    // The newest first among those sent as often.
    auto const rank = [&](auto const& e) {
        return std::pair{e.sent, now - e.counted_at};
    };
    for (auto* entry : unsent(s.loads, options.max_load_sends, sent, rank))
    {
        if (!append_loads(entry->second, options, now, out, left))
            return;
    }
}

void fill_demand(gossip_state& s, std::size_t limit, heartbeat& out,
                 std::size_t& left)
{
    auto const count = std::min(limit, s.demand.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        s.demand_cursor = s.demand_cursor % s.demand.size();
        if (!append(out.demand, s.demand[s.demand_cursor], left))
            return;
        ++s.demand_cursor;
    }
}

void fill_known_loads(gossip_state& s, gossip_options const& options,
                      time_point now, heartbeat& out, std::size_t& left)
{
    rotate(s.loads, s.load_cursor,
           [&](auto& entry)
           {
               bool const there = std::ranges::any_of(
                   out.loads, [&](load_update const& n)
                   { return n.owner == entry.second.update.owner; });
               return there ||
                      append_loads(entry.second, options, now, out, left);
           });
}

} // namespace

std::uint32_t max_member_sends(std::size_t size)
{
    return 2 * static_cast<std::uint32_t>(std::bit_width(size));
}

duration min_load_interval(std::size_t size)
{
    return size * load_interval_per_router;
}

void queue_compact_update(gossip_state& s, router_id const& id)
{
    s.members[id].brief_sent = 0;
}

void queue_full_update(gossip_state& s, router_id const& id)
{
    s.members[id] = {};
}

void remove_loads(gossip_state& s, router_id const& owner)
{
    s.loads.erase(owner);
}

void set_local_loads(gossip_state& s, member const& self,
                     std::vector<compact_load> loads, time_point now)
{
    auto& entry = s.loads[self.id];
    entry.update.owner = make_router_ref(self.id, self.started);
    ++entry.update.sequence;
    entry.update.loads = std::move(loads);
    entry.counted_at = now;
    entry.sent = 0;
}

bool has_significant_change(std::vector<compact_load> const& sent,
                            std::vector<compact_load> const& counted)
{
    auto const differs = [](compact_load const& a, compact_load const& b)
    {
        auto const step = std::max(1U, b.limit / load_step_parts);
        auto const high = std::max(a.in_flight, b.in_flight);
        auto const low = std::min(a.in_flight, b.in_flight);
        return a.server != b.server || a.cold != b.cold ||
               a.usable != b.usable || a.limit != b.limit ||
               (a.queued == 0) != (b.queued == 0) || high - low >= step;
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

std::optional<router_id> merge_loads(gossip_state& s, membership& m,
                                     load_update const& news, time_point now)
{
    auto const* owner = find_member(m, news.owner);
    if (!owner || owner->info.state == member_state::gone)
        return std::nullopt;
    auto& entry = s.loads[owner->info.id];
    bool const same_start = entry.update.owner == news.owner;
    if (same_start && entry.update.sequence >= news.sequence)
        return std::nullopt;
    entry = {.update = news, .counted_at = now - news.age_steps * age_step};
    entry.update.age_steps = 0;
    return owner->info.id;
}

bool merge_quarantine(gossip_state& s, compact_quarantine const& news,
                      gossip_options const& options, time_point now)
{
    auto const known = std::ranges::find_if(
        s.quarantine,
        [&](quarantine_entry const& e)
        {
            return e.update.body_fingerprint == news.body_fingerprint &&
                   e.update.server == news.server &&
                   e.update.quarantined == news.quarantined;
        });
    if (known != s.quarantine.end() || news.ttl_ms == 0)
        return false;
    if (s.quarantine.size() >= options.max_quarantine)
        s.quarantine.erase(s.quarantine.begin());
    s.quarantine.push_back(
        {.update = news, .expires_at = now + milliseconds{news.ttl_ms}});
    return true;
}

bool add_unannounced_quarantine(gossip_state& s, gossip_options const& options,
                                time_point now, heartbeat& out)
{
    std::size_t const used = max_encoded_bytes(out);
    std::size_t left = options.max_bytes - std::min(options.max_bytes, used);
    expire_quarantine(s, now);
    for (auto& entry : s.quarantine)
    {
        if (entry.announced)
            continue;
        if (!append(out.quarantine, news_of(entry, now), left))
            break;
        entry.announced = true;
    }
    return !out.quarantine.empty();
}

void add_gossip(gossip_state& s, membership const& m,
                gossip_options const& options, time_point now, heartbeat& out)
{
    auto const limit = max_member_sends(m.others.size() + 1);
    std::size_t const used = max_encoded_bytes(out);
    std::size_t left = options.max_bytes - std::min(options.max_bytes, used);
    fill_quarantine(s, limit, now, out, left);
    std::size_t for_members = left * options.members_percent / 100;
    left -= for_members;
    fill_changed_members(s, m, limit, now, out, for_members);
    std::size_t const kept = std::min(for_members, options.known_members_bytes);
    left += for_members - kept;
    bool const small = m.others.size() < options.small_fleet;
    fill_demand(s, small ? options.max_teams : options.max_teams_in_large_fleet,
                out, left);
    fill_loads(s, options, now, out, left);
    for_members = kept + left / 2;
    left -= left / 2;
    fill_known_members(s, m, now, out, for_members);
    left += for_members;
    fill_known_loads(s, options, now, out, left);
}

std::size_t max_encoded_bytes(heartbeat const& h)
{
    return base_bytes + bytes_of(h.sender) + bytes_of(h.joined) +
           bytes_of(h.members) + bytes_of(h.loads) + bytes_of(h.demand) +
           bytes_of(h.quarantine) + bytes_of(h.probe_requests);
}

} // namespace bramleyarch::decisions

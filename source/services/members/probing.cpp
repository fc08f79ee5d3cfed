#include "services/members/protocol_parts.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bramleyarch::services::heartbeats
{

namespace
{

/// Maximum number of endpoints pinged in a round while this router joins.
constexpr std::size_t max_pings_while_joining = 16;

/// Sets a new random order of the members that are not gone.
void shuffle_members(protocol& state)
{
    state.ping_order.clear();
    for (auto const& [id, record] : state.members.others)
    {
        if (is_pinged(record))
            state.ping_order.push_back(id);
    }
    for (std::size_t i = state.ping_order.size(); i > 1; --i)
        std::swap(state.ping_order[i - 1],
                  state.ping_order[next_random(state) % i]);
}

/// Returns the next member to ping, or null if all members are gone.
member_record const* next_target(protocol& state)
{
    if (state.ping_order.empty())
        shuffle_members(state);
    while (!state.ping_order.empty())
    {
        auto const id = std::move(state.ping_order.back());
        state.ping_order.pop_back();
        auto const found = state.members.others.find(id);
        if (found != state.members.others.end() && is_pinged(found->second))
            return &found->second;
    }
    return nullptr;
}

/// Asks other live members to ping a router that does not respond.
void request_assisted_probes(protocol& state, member_record const& unresponsive,
                             time_point now, protocol_output& out)
{
    std::vector<member_record const*> live;
    for (auto const& [id, record] : state.members.others)
    {
        if (record.info.state == member_state::live && &record != &unresponsive)
            live.push_back(&record);
    }
    for (std::size_t i = 0; i < state.options.helpers && !live.empty(); ++i)
    {
        std::swap(live[next_random(state) % live.size()], live.back());
        send_gossip(state, heartbeat_kind::ping, live.back()->info.heartbeat,
                    {unresponsive.ref}, now, out);
        live.pop_back();
    }
}

/// Advances one probe. Returns true if it has ended.
bool advance_probe(protocol& state, member_record const& record, probe& current,
                   time_point now, protocol_output& out)
{
    if (record.last_seen_at >= current.first_ping_at || !is_pinged(record))
        return true;
    if (now - current.waiting_since < state.options.probe_timeout)
        return false;
    if (current.stage == probe_stage::direct)
    {
        current.stage = probe_stage::assisted;
        current.waiting_since = now;
        ping(state, record, now, out);
        request_assisted_probes(state, record, now, out);
        return false;
    }
    auto const& id = record.info.id;
    if (suspect_member(state.members, id, state.options.membership, now))
    {
        queue_compact_update(state.gossip, id);
        state.view_stale = true;
        return false;
    }
    if (record.info.state == member_state::live)
        return false;
    // Suspects are pinged until they respond or are gone.
    current.waiting_since = now;
    ping(state, record, now, out);
    return false;
}

/// Returns the endpoints of gone members, and the configured and listed
/// endpoints at which no member is known.
std::vector<endpoint> unresponsive_endpoints(protocol const& state)
{
    std::vector<endpoint> unresponsive = state.options.seeds;
    unresponsive.insert(unresponsive.end(), state.listed_endpoints.begin(),
                        state.listed_endpoints.end());
    for (auto const& [id, record] : state.members.others)
    {
        if (record.info.state == member_state::gone)
            unresponsive.push_back(record.info.heartbeat);
    }
    std::ranges::sort(unresponsive);
    unresponsive.erase(std::unique(unresponsive.begin(), unresponsive.end()),
                       unresponsive.end());
    std::erase(unresponsive, state.members.self.heartbeat);
    for (auto const& [id, record] : state.members.others)
    {
        if (record.info.state != member_state::gone)
            std::erase(unresponsive, record.info.heartbeat);
    }
    return unresponsive;
}

/// Pings several endpoints that have not responded yet, so that the view is
/// settled soon.
void ping_while_joining(protocol& state, time_point now, protocol_output& out)
{
    auto const unresponsive = unresponsive_endpoints(state);
    auto const pings = std::min(unresponsive.size(), max_pings_while_joining);
    for (std::size_t i = 0; i < pings; ++i)
    {
        auto const& to =
            unresponsive[state.slow_probe_cursor++ % unresponsive.size()];
        send_gossip(state, heartbeat_kind::ping, to, {}, now, out);
    }
}

} // namespace

std::uint64_t next_random(protocol& state)
{
    state.random_state = mix(state.random_state, state.sequence);
    return state.random_state;
}

heartbeat make_heartbeat(protocol& state, heartbeat_kind kind)
{
    return {
        .kind = kind,
        .sender = {.info = state.members.self, .sequence = ++state.sequence}};
}

void send_gossip(protocol& state, heartbeat_kind kind, endpoint const& to,
                 std::vector<router_ref> probes, time_point now,
                 protocol_output& out)
{
    auto content = make_heartbeat(state, kind);
    content.probe_requests = std::move(probes);
    add_gossip(state.gossip, state.members, state.options.gossip, now, content);
    out.datagrams.push_back({to, std::move(content)});
}

void ping(protocol& state, member_record const& record, time_point now,
          protocol_output& out)
{
    send_gossip(state, heartbeat_kind::ping, record.info.heartbeat, {}, now,
                out);
}

bool is_pinged(member_record const& record)
{
    return record.info.state != member_state::gone;
}

void ping_members(protocol& state, time_point now, protocol_output& out)
{
    auto const size = state.members.others.size();
    auto const fan_out =
        std::min(size, 1 + size / state.options.members_per_ping);
    for (std::size_t i = 0; i < fan_out; ++i)
    {
        auto const* target = next_target(state);
        if (!target)
            return;
        state.probes.try_emplace(
            target->info.id, probe{.first_ping_at = now, .waiting_since = now});
        ping(state, *target, now, out);
    }
}

void advance_probes(protocol& state, time_point now, protocol_output& out)
{
    for (auto next = state.probes.begin(); next != state.probes.end();)
    {
        auto const found = state.members.others.find(next->first);
        bool const over =
            found == state.members.others.end() ||
            advance_probe(state, found->second, next->second, now, out);
        next = over ? state.probes.erase(next) : std::next(next);
    }
}

void reset_probes(protocol& state, time_point now)
{
    state.probes.clear();
    for (auto& [id, record] : state.members.others)
    {
        if (record.suspected_at > record.last_seen_at)
            record.suspected_at = now;
    }
}

void ping_unresponsive(protocol& state, time_point now, protocol_output& out)
{
    if (is_joining(state.members))
    {
        ping_while_joining(state, now, out);
        return;
    }
    bool const alone =
        std::ranges::none_of(state.members.others, [](auto const& entry)
                             { return is_pinged(entry.second); });
    if (!alone && now - state.slow_probe_at < state.options.slow_probe_interval)
        return;
    state.slow_probe_at = now;
    auto const unresponsive = unresponsive_endpoints(state);
    if (unresponsive.empty())
        return;
    auto const& to =
        unresponsive[state.slow_probe_cursor++ % unresponsive.size()];
    send_gossip(state, heartbeat_kind::ping, to, {}, now, out);
}

std::vector<endpoint> sample_members(protocol& state, std::size_t max_count)
{
    std::vector<endpoint> all;
    for (auto const& [id, record] : state.members.others)
    {
        if (is_pinged(record))
            all.push_back(record.info.heartbeat);
    }
    for (std::size_t i = 0; i < std::min(max_count, all.size()); ++i)
        std::swap(all[i], all[i + next_random(state) % (all.size() - i)]);
    all.resize(std::min(max_count, all.size()));
    return all;
}

} // namespace bramleyarch::services::heartbeats

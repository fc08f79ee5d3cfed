#include "services/members/protocol_parts.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bramleyarch::services::heartbeats
{

namespace
{

/// Endpoints pinged in a round while this router joins.
constexpr std::size_t pings_while_joining = 16;

/// Members in a new random order.
void shuffle_members(protocol& p)
{
    p.order.clear();
    for (auto const& [id, record] : p.members.others)
    {
        if (is_pinged(record))
            p.order.push_back(id);
    }
    for (std::size_t i = p.order.size(); i > 1; --i)
        std::swap(p.order[i - 1], p.order[next_random(p) % i]);
}

member_record const* next_target(protocol& p)
{
    if (p.order.empty())
        shuffle_members(p);
    while (!p.order.empty())
    {
        auto const id = std::move(p.order.back());
        p.order.pop_back();
        auto const found = p.members.others.find(id);
        if (found != p.members.others.end() && is_pinged(found->second))
            return &found->second;
    }
    return nullptr;
}

/// Asks other live members to ping a router that does not answer.
void ask_helpers(protocol& p, member_record const& silent, time_point now,
                 protocol_output& out)
{
    std::vector<member_record const*> live;
    for (auto const& [id, record] : p.members.others)
    {
        if (record.info.state == member_state::live && &record != &silent)
            live.push_back(&record);
    }
    for (std::size_t i = 0; i < p.options.helpers && !live.empty(); ++i)
    {
        std::swap(live[next_random(p) % live.size()], live.back());
        send_news(p, heartbeat_kind::ping, live.back()->info.heartbeat,
                  {silent.ref}, now, out);
        live.pop_back();
    }
}

/// Takes one probe further; true when it is over.
bool continue_probe(protocol& p, member_record const& record, probe& asked,
                    time_point now, protocol_output& out)
{
    if (record.last_seen_at >= asked.first_at || !is_pinged(record))
        return true;
    if (now - asked.asked_at < p.options.probe_timeout)
        return false;
    if (asked.stage == probe_stage::direct)
    {
        asked.stage = probe_stage::assisted;
        asked.asked_at = now;
        ping(p, record, now, out);
        ask_helpers(p, record, now, out);
        return false;
    }
    auto const& id = record.info.id;
    if (suspect_member(p.members, id, p.options.membership, now))
    {
        queue_compact_update(p.news, id);
        p.view_stale = true;
        return false;
    }
    if (record.info.state == member_state::live)
        return false;
    // Suspects are asked on until they answer or are gone.
    asked.asked_at = now;
    ping(p, record, now, out);
    return false;
}

/// Endpoints from which nobody answers: gone members, seeds, listed ones.
std::vector<endpoint> silent_endpoints(protocol const& p)
{
    std::vector<endpoint> silent = p.options.seeds;
    silent.insert(silent.end(), p.listed.begin(), p.listed.end());
    for (auto const& [id, record] : p.members.others)
    {
        if (record.info.state == member_state::gone)
            silent.push_back(record.info.heartbeat);
    }
    std::ranges::sort(silent);
    silent.erase(std::unique(silent.begin(), silent.end()), silent.end());
    std::erase(silent, p.members.self.heartbeat);
    for (auto const& [id, record] : p.members.others)
    {
        if (record.info.state != member_state::gone)
            std::erase(silent, record.info.heartbeat);
    }
    return silent;
}

/// Pings the endpoints that have not answered yet, so that the view is
/// settled soon.
void ping_unheard(protocol& p, time_point now, protocol_output& out)
{
    auto const silent = silent_endpoints(p);
    auto const pings = std::min(silent.size(), pings_while_joining);
    for (std::size_t i = 0; i < pings; ++i)
    {
        auto const& to = silent[p.slow_probe_cursor++ % silent.size()];
        send_news(p, heartbeat_kind::ping, to, {}, now, out);
    }
}

} // namespace

std::uint64_t next_random(protocol& p)
{
    p.random = mix(p.random, p.sequence);
    return p.random;
}

heartbeat make_heartbeat(protocol& p, heartbeat_kind kind)
{
    return {.kind = kind,
            .sender = {.info = p.members.self, .sequence = ++p.sequence}};
}

void send_news(protocol& p, heartbeat_kind kind, endpoint const& to,
               std::vector<router_ref> probes, time_point now,
               protocol_output& out)
{
    auto content = make_heartbeat(p, kind);
    content.probe_requests = std::move(probes);
    add_gossip(p.news, p.members, p.options.spread, now, content);
    out.datagrams.push_back({to, std::move(content)});
}

void ping(protocol& p, member_record const& record, time_point now,
          protocol_output& out)
{
    send_news(p, heartbeat_kind::ping, record.info.heartbeat, {}, now, out);
}

bool is_pinged(member_record const& record)
{
    return record.info.state != member_state::gone;
}

void ping_members(protocol& p, time_point now, protocol_output& out)
{
    auto const size = p.members.others.size();
    auto const fan_out = std::min(size, 1 + size / p.options.members_per_ping);
    for (std::size_t i = 0; i < fan_out; ++i)
    {
        auto const* target = next_target(p);
        if (!target)
            return;
        p.probes.try_emplace(target->info.id,
                             probe{.first_at = now, .asked_at = now});
        ping(p, *target, now, out);
    }
}

void continue_probes(protocol& p, time_point now, protocol_output& out)
{
    for (auto next = p.probes.begin(); next != p.probes.end();)
    {
        auto const found = p.members.others.find(next->first);
        bool const over =
            found == p.members.others.end() ||
            continue_probe(p, found->second, next->second, now, out);
        next = over ? p.probes.erase(next) : std::next(next);
    }
}

void forgive_silence(protocol& p, time_point now)
{
    p.probes.clear();
    for (auto& [id, record] : p.members.others)
    {
        if (record.suspected_at > record.last_seen_at)
            record.suspected_at = now;
    }
}

void ping_silent(protocol& p, time_point now, protocol_output& out)
{
    if (is_joining(p.members))
    {
        ping_unheard(p, now, out);
        return;
    }
    bool const alone =
        std::ranges::none_of(p.members.others, [](auto const& entry)
                             { return is_pinged(entry.second); });
    if (!alone && now - p.slow_probe_at < p.options.slow_probe_interval)
        return;
    p.slow_probe_at = now;
    auto const silent = silent_endpoints(p);
    if (silent.empty())
        return;
    auto const& to = silent[p.slow_probe_cursor++ % silent.size()];
    send_news(p, heartbeat_kind::ping, to, {}, now, out);
}

std::vector<endpoint> draw_members(protocol& p, std::size_t most)
{
    std::vector<endpoint> all;
    for (auto const& [id, record] : p.members.others)
    {
        if (is_pinged(record))
            all.push_back(record.info.heartbeat);
    }
    for (std::size_t i = 0; i < std::min(most, all.size()); ++i)
        std::swap(all[i], all[i + next_random(p) % (all.size() - i)]);
    all.resize(std::min(most, all.size()));
    return all;
}

} // namespace bramleyarch::services::heartbeats

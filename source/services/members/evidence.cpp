#include "services/members/protocol_parts.hpp"

#include <utility>

namespace bramleyarch::services::heartbeats
{

namespace
{

/// Time for which a helper passes on the answer of a router that it probes.
constexpr duration relay_time = seconds{1};

/// Relays kept at a time.
constexpr std::size_t max_relays = 64;

/// Follows up on evidence of router `id`.
void note_evidence(protocol& p, router_id const& id, evidence_result result,
                   time_point now, protocol_output& out)
{
    if (result == evidence_result::stale || result == evidence_result::fresh)
        return;
    p.view_stale = true;
    auto const version = p.members.others.at(id).info.config;
    if (result == evidence_result::joined)
    {
        p.joined_at = now;
        queue_full_update(p.news, id);
        remove_loads(p.news, id);
    }
    if (result == evidence_result::changed)
        queue_compact_update(p.news, id);
    if (version > 0 && result != evidence_result::changed)
        out.versions.push_back({id, version});
}

void take_brief(protocol& p, compact_member_update const& news, time_point now,
                protocol_output& out)
{
    auto const& options = p.options.membership;
    auto const result = merge_evidence(p.members, news, options, now);
    auto const* record = find_member(p.members, news.router);
    if (!record)
        return;
    note_evidence(p, record->info.id, result, now, out);
    bool const doubted =
        news.state == member_state::suspect || news.state == member_state::gone;
    // The sender lacks the evidence that this router has.
    if (doubted && record->info.state == member_state::live)
        queue_compact_update(p.news, record->info.id);
}

} // namespace

void take_full(protocol& p, full_member_update const& news, time_point now,
               protocol_output& out)
{
    auto& self = p.members.self;
    if (news.info.id == self.id)
    {
        // A later start of this router has taken its place.
        bool const replaced = news.info.started > self.started;
        p.view_stale = p.view_stale || replaced;
        if (replaced)
            set_self_leaving(p.members);
        return;
    }
    note_evidence(p, news.info.id, merge_evidence(p.members, news, now), now,
                  out);
}

void take_all_news(protocol& p, heartbeat const& h, time_point now,
                   protocol_output& out)
{
    for (auto const& news : h.joined)
        take_full(p, news, now, out);
    for (auto const& news : h.members)
        take_brief(p, news, now, out);
    for (auto const& news : h.loads)
    {
        if (auto const owner = merge_loads(p.news, p.members, news, now))
            out.loads.push_back(
                {*owner, news.loads, news.age_steps * age_step});
    }
    for (auto const& news : h.quarantine)
    {
        if (merge_quarantine(p.news, news, p.options.spread, now))
            out.quarantine.push_back(news);
    }
    if (!h.demand.empty())
        out.demand.push_back({h.sender.info.id, h.demand});
}

void take_probes(protocol& p, heartbeat const& h, endpoint const& from,
                 time_point now, protocol_output& out)
{
    for (auto const& asked : h.probe_requests)
    {
        auto const* record = find_member(p.members, asked);
        if (!record || p.relays.size() >= max_relays)
            continue;
        p.relays.push_back({record->info.id, from, now + relay_time});
        ping(p, *record, now, out);
    }
}

void answer_relays(protocol& p, router_id const& heard, time_point now,
                   protocol_output& out)
{
    for (auto const& relay : p.relays)
    {
        if (relay.target != heard)
            continue;
        auto const& record = p.members.others.at(heard);
        auto content = make_heartbeat(p, heartbeat_kind::relay);
        content.members.push_back({.router = record.ref,
                                   .state = record.info.state,
                                   .sequence = record.sequence,
                                   .config = record.info.config});
        out.datagrams.push_back({relay.requester, std::move(content)});
    }
    std::erase_if(p.relays, [&](probe_relay const& relay)
                  { return relay.target == heard || relay.until < now; });
}

} // namespace bramleyarch::services::heartbeats

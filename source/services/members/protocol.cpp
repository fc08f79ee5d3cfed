#include "services/members/protocol_parts.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using namespace heartbeats;

/// A round that comes later than this many rounds follows a pause.
constexpr int late_rounds = 4;

/// Member of a view, which is ordered by id; null when it is not there.
member const* find_in(member_view const& view, router_id const& id)
{
    auto const found =
        std::ranges::lower_bound(view.members, id, {}, &member::id);
    return found != view.members.end() && found->id == id ? &*found : nullptr;
}

std::vector<member_transition> transitions_of(member_view const* before,
                                              member_view const& after)
{
    std::vector<member_transition> changed;
    for (auto const& m : after.members)
    {
        auto const* former = before ? find_in(*before, m.id) : nullptr;
        bool const same =
            former && former->state == m.state && former->started == m.started;
        if (!same)
            changed.push_back({m.id, m.state});
    }
    return changed;
}

/// Tells up to `most` members at once what state this router is in.
void announce_state(protocol& p, std::size_t most, protocol_output& out)
{
    for (auto const& to : draw_members(p, most))
        out.datagrams.push_back({to, make_heartbeat(p, heartbeat_kind::ping)});
}

/// True when every peer that the settings or the list name has been heard.
bool knows_named_peers(protocol const& p)
{
    auto const is_known = [&](endpoint const& at)
    {
        return at == p.members.self.heartbeat ||
               std::ranges::any_of(p.members.others,
                                   [&](auto const& entry) {
                                       return entry.second.info.heartbeat == at;
                                   });
    };
    auto const& seeds = p.options.seeds;
    bool const listed =
        !p.options.awaits_list || !seeds.empty() || p.members.listed_at;
    return listed && std::ranges::all_of(seeds, is_known) &&
           std::ranges::all_of(p.listed, is_known);
}

bool has_settled_view(protocol const& p, time_point now)
{
    if (now - p.members.started_at >= p.options.join_limit)
        return true;
    bool const quiet =
        p.members.others.empty() || now - p.joined_at >= p.options.join_quiet;
    return quiet && knows_named_peers(p);
}

/// Takes part in owning once the view is settled: a router that owned before
/// it knew its peers would be the second owner of all its servers.
void join_when_settled(protocol& p, time_point now, protocol_output& out)
{
    if (!is_joining(p.members) || !has_settled_view(p, now))
        return;
    set_self_live(p.members);
    p.view_stale = true;
    announce_state(p, p.options.join_fan_out, out);
}

/// Makes the view anew if it may have changed.
void refresh_view(protocol& p, time_point now, protocol_output& out)
{
    auto const& options = p.options.membership;
    bool const same_domains =
        p.view && (!p.config ||
                   p.view->abandoned ==
                       abandoned_domains(p.members, *p.config, options, now));
    if (!p.view_stale && same_domains)
        return;
    p.view_stale = false;
    auto const next = std::make_shared<member_view const>(
        make_member_view(p.members, p.config.get(), options, now));
    out.transitions = transitions_of(p.view.get(), *next);
    p.view = next;
    out.view = next;
}

/// Sends the notices that nobody got yet to a bounded number of routers. They
/// go as acknowledgements, which nobody answers.
void send_notices(protocol& p, time_point now, protocol_output& out)
{
    if (now - p.noticed_at < p.options.notice_gap)
        return;
    auto content = make_heartbeat(p, heartbeat_kind::ack);
    if (!add_unannounced_quarantine(p.news, p.options.spread, now, content))
        return;
    p.noticed_at = now;
    for (auto const& to : draw_members(p, p.options.notice_fan_out))
        out.datagrams.push_back({to, content});
}

void forget_loads_of_gone(protocol& p)
{
    for (auto const& [id, record] : p.members.others)
    {
        if (record.info.state == member_state::gone)
            remove_loads(p.news, id);
    }
    std::erase_if(p.news.members, [&](auto const& entry)
                  { return !p.members.others.contains(entry.first); });
}

} // namespace

protocol make_protocol(protocol_options options, member self, time_point now)
{
    protocol p{.options = std::move(options)};
    p.random = mix(name_hash(self.id.value), self.started);
    self.state = member_state::joining;
    p.members = {.self = std::move(self), .started_at = now};
    p.round_at = now;
    return p;
}

protocol_output begin_round(protocol& p, time_point now)
{
    protocol_output out;
    if (now - p.round_at > late_rounds * p.options.round)
        forgive_silence(p, now);
    p.round_at = now;
    send_notices(p, now, out);
    continue_probes(p, now, out);
    ping_members(p, now, out);
    ping_silent(p, now, out);
    join_when_settled(p, now, out);
    if (expire_members(p.members, p.options.membership, now))
    {
        p.view_stale = true;
        for (auto const& [id, record] : p.members.others)
        {
            if (record.gone_at == now)
                queue_compact_update(p.news, id);
        }
        forget_loads_of_gone(p);
    }
    refresh_view(p, now, out);
    return out;
}

protocol_output receive_heartbeat(protocol& p, heartbeat const& h,
                                  endpoint const& from, time_point now)
{
    protocol_output out;
    auto const& sender = h.sender.info;
    if (sender.id == p.members.self.id)
        return out;
    take_full(p, h.sender, now, out);
    auto const found = p.members.others.find(sender.id);
    if (found == p.members.others.end())
        return out;
    bool const former = sender.started < found->second.info.started;
    if (former)
        queue_full_update(p.news, sender.id);
    else
        take_all_news(p, h, now, out);
    if (h.kind == heartbeat_kind::ping)
        send_news(p, heartbeat_kind::ack, from, {}, now, out);
    if (!former)
    {
        take_probes(p, h, from, now, out);
        answer_relays(p, sender.id, now, out);
    }
    if (p.view_stale)
        refresh_view(p, now, out);
    return out;
}

protocol_output probe_member(protocol& p, router_id const& id, time_point now)
{
    protocol_output out;
    auto const found = p.members.others.find(id);
    if (found == p.members.others.end() || !is_pinged(found->second))
        return out;
    p.probes.try_emplace(id, probe{.first_at = now, .asked_at = now});
    ping(p, found->second, now, out);
    return out;
}

protocol_output spread_notice(protocol& p,
                              decisions::compact_quarantine const& news,
                              time_point now)
{
    protocol_output out;
    if (merge_quarantine(p.news, news, p.options.spread, now))
        send_notices(p, now, out);
    return out;
}

protocol_output start_leaving(protocol& p, time_point now)
{
    protocol_output out;
    set_self_leaving(p.members);
    p.view_stale = true;
    announce_state(p, p.members.others.size(), out);
    refresh_view(p, now, out);
    return out;
}

protocol_output adopt_config(protocol& p,
                             std::shared_ptr<config::document const> config,
                             time_point now)
{
    protocol_output out;
    if (p.config && p.config->version > config->version)
        return out;
    p.members.self.config = config->version;
    p.config = std::move(config);
    p.view_stale = true;
    refresh_view(p, now, out);
    return out;
}

} // namespace bramleyarch::services

#include "services/members/protocol_parts.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using namespace heartbeats;

/// This process was paused if more than this number of round intervals passed
/// since the last round.
constexpr int pause_rounds = 4;

/// Returns a member of the view, or null if it is not present. The members of a
/// view are ordered by id.
member const* find_in_view(member_view const& view, router_id const& id)
{
    auto const found =
        std::ranges::lower_bound(view.members, id, {}, &member::id);
    return found != view.members.end() && found->id == id ? &*found : nullptr;
}

/// Returns the members that are new in `after` or changed their state or
/// incarnation.
std::vector<member_transition> find_transitions(member_view const* before,
                                                member_view const& after)
{
    std::vector<member_transition> changed;
    for (auto const& current : after.members)
    {
        auto const* former =
            before ? find_in_view(*before, current.id) : nullptr;
        bool const same = former && former->state == current.state &&
                          former->started == current.started;
        if (!same)
            changed.push_back({current.id, current.state});
    }
    return changed;
}

/// Sends the state of this router to up to `max_count` members at once.
void announce_state(protocol& state, std::size_t max_count,
                    protocol_output& out)
{
    for (auto const& to : sample_members(state, max_count))
        out.datagrams.push_back(
            {to, make_heartbeat(state, heartbeat_kind::ping)});
}

/// Returns true if every peer of the settings and of the platform's list is a
/// known member, and the list was received if this router waits for it.
bool has_all_configured_peers(protocol const& state)
{
    auto const is_known = [&](endpoint const& at)
    {
        return at == state.members.self.heartbeat ||
               std::ranges::any_of(state.members.others,
                                   [&](auto const& entry) {
                                       return entry.second.info.heartbeat == at;
                                   });
    };
    auto const& seeds = state.options.seeds;
    bool const listed =
        !state.options.awaits_list || !seeds.empty() || state.members.listed_at;
    return listed && std::ranges::all_of(seeds, is_known) &&
           std::ranges::all_of(state.listed_endpoints, is_known);
}

/// Returns true if all configured and listed peers are known and no router was
/// discovered for `join_quiet_time`, or if the time limit for joining has
/// passed.
bool has_settled_view(protocol const& state, time_point now)
{
    if (now - state.members.started_at >= state.options.join_limit)
        return true;
    bool const quiet =
        state.members.others.empty() ||
        now - state.last_joined_at >= state.options.join_quiet_time;
    return quiet && has_all_configured_peers(state);
}

/// Makes this router live when its view is settled. If it became live before it
/// knew its peers, all its servers would have a second owner.
void join_if_settled(protocol& state, time_point now, protocol_output& out)
{
    if (!is_joining(state.members) || !has_settled_view(state, now))
        return;
    set_self_live(state.members);
    state.view_stale = true;
    announce_state(state, state.options.join_fan_out, out);
}

/// Recomputes the view if it may have changed.
void refresh_view(protocol& state, time_point now, protocol_output& out)
{
    auto const& options = state.options.membership;
    bool const same_domains =
        state.view &&
        (!state.config ||
         state.view->abandoned ==
             abandoned_domains(state.members, *state.config, options, now));
    if (!state.view_stale && same_domains)
        return;
    state.view_stale = false;
    auto const next = std::make_shared<member_view const>(
        make_member_view(state.members, state.config.get(), options, now));
    out.transitions = find_transitions(state.view.get(), *next);
    state.view = next;
    out.view = next;
}

/// Sends the quarantine entries that were not announced to a bounded number of
/// routers. They are sent as acks, which need no response.
void send_quarantine_announcement(protocol& state, time_point now,
                                  protocol_output& out)
{
    if (now - state.announced_at < state.options.announcement_interval)
        return;
    auto content = make_heartbeat(state, heartbeat_kind::ack);
    if (!add_unannounced_quarantine(state.gossip, state.options.gossip, now,
                                    content))
        return;
    state.announced_at = now;
    for (auto const& to :
         sample_members(state, state.options.announcement_fan_out))
        out.datagrams.push_back({to, content});
}

/// Removes the loads of gone members and the send counts of removed ones.
void remove_gossip_of_gone(protocol& state)
{
    for (auto const& [id, record] : state.members.others)
    {
        if (record.info.state == member_state::gone)
            remove_loads(state.gossip, id);
    }
    std::erase_if(state.gossip.members, [&](auto const& entry)
                  { return !state.members.others.contains(entry.first); });
}

} // namespace

protocol make_protocol(protocol_options options, member self, time_point now)
{
    protocol state{.options = std::move(options)};
    state.random_state = mix(name_hash(self.id.value), self.started);
    self.state = member_state::joining;
    state.members = {.self = std::move(self), .started_at = now};
    state.last_round_at = now;
    return state;
}

protocol_output begin_heartbeat_round(protocol& state, time_point now)
{
    protocol_output out;
    if (now - state.last_round_at > pause_rounds * state.options.round)
        reset_probes(state, now);
    state.last_round_at = now;
    send_quarantine_announcement(state, now, out);
    advance_probes(state, now, out);
    ping_members(state, now, out);
    ping_unresponsive(state, now, out);
    join_if_settled(state, now, out);
    if (expire_members(state.members, state.options.membership, now))
    {
        state.view_stale = true;
        for (auto const& [id, record] : state.members.others)
        {
            if (record.gone_at == now)
                queue_compact_update(state.gossip, id);
        }
        remove_gossip_of_gone(state);
    }
    refresh_view(state, now, out);
    return out;
}

protocol_output handle_heartbeat(protocol& state, heartbeat const& received,
                                 endpoint const& from, time_point now)
{
    protocol_output out;
    auto const& sender = received.sender.info;
    if (sender.id == state.members.self.id)
        return out;
    merge_full_update(state, received.sender, now, out);
    auto const found = state.members.others.find(sender.id);
    if (found == state.members.others.end())
        return out;
    bool const is_former = sender.started < found->second.info.started;
    if (is_former)
        queue_full_update(state.gossip, sender.id);
    else
        merge_gossip(state, received, now, out);
    if (received.kind == heartbeat_kind::ping)
        send_gossip(state, heartbeat_kind::ack, from, {}, now, out);
    if (!is_former)
    {
        handle_probe_requests(state, received, from, now, out);
        send_relays(state, sender.id, now, out);
    }
    if (state.view_stale)
        refresh_view(state, now, out);
    return out;
}

protocol_output probe_member(protocol& state, router_id const& id,
                             time_point now)
{
    protocol_output out;
    auto const found = state.members.others.find(id);
    if (found == state.members.others.end() || !is_pinged(found->second))
        return out;
    state.probes.try_emplace(id,
                             probe{.first_ping_at = now, .waiting_since = now});
    ping(state, found->second, now, out);
    return out;
}

protocol_output announce_quarantine(protocol& state,
                                    decisions::compact_quarantine const& update,
                                    time_point now)
{
    protocol_output out;
    if (merge_quarantine(state.gossip, update, state.options.gossip, now))
        send_quarantine_announcement(state, now, out);
    return out;
}

protocol_output start_leaving(protocol& state, time_point now)
{
    protocol_output out;
    set_self_leaving(state.members);
    state.view_stale = true;
    announce_state(state, state.members.others.size(), out);
    refresh_view(state, now, out);
    return out;
}

protocol_output adopt_config(protocol& state,
                             std::shared_ptr<config::document const> config,
                             time_point now)
{
    protocol_output out;
    if (state.config && state.config->version > config->version)
        return out;
    state.members.self.config = config->version;
    state.config = std::move(config);
    state.view_stale = true;
    refresh_view(state, now, out);
    return out;
}

} // namespace bramleyarch::services

#include "services/members/protocol_parts.hpp"

#include <utility>

namespace bramleyarch::services::heartbeats
{

namespace
{

/// Time for which a helper relays the response of a router that it probes.
constexpr duration relay_timeout = seconds{1};

/// Maximum number of relays that are pending at the same time.
constexpr std::size_t max_relays = 64;

/// Applies the result of merging evidence of router `id`: queues updates and
/// reports its configuration version.
void apply_evidence_result(protocol& state, router_id const& id,
                           evidence_result result, time_point now,
                           protocol_output& out)
{
    if (result == evidence_result::stale || result == evidence_result::fresh)
        return;
    state.view_stale = true;
    auto const version = state.members.others.at(id).info.config;
    if (result == evidence_result::joined)
    {
        state.last_joined_at = now;
        queue_full_update(state.gossip, id);
        remove_loads(state.gossip, id);
    }
    if (result == evidence_result::changed)
        queue_compact_update(state.gossip, id);
    if (version > 0 && result != evidence_result::changed)
        out.versions.push_back({id, version});
}

/// Merges the compact update of one router.
void merge_compact_update(protocol& state, compact_member_update const& update,
                          time_point now, protocol_output& out)
{
    auto const& options = state.options.membership;
    auto const result = merge_evidence(state.members, update, options, now);
    auto const* record = find_member(state.members, update.router);
    if (!record)
        return;
    apply_evidence_result(state, record->info.id, result, now, out);
    bool const suspected_by_sender = update.state == member_state::suspect ||
                                     update.state == member_state::gone;
    // The sender does not have the newer evidence that this router has.
    if (suspected_by_sender && record->info.state == member_state::live)
        queue_compact_update(state.gossip, record->info.id);
}

} // namespace

void merge_full_update(protocol& state, full_member_update const& update,
                       time_point now, protocol_output& out)
{
    auto& self = state.members.self;
    if (update.info.id == self.id)
    {
        // A later incarnation of this router has replaced it.
        bool const replaced = update.info.started > self.started;
        state.view_stale = state.view_stale || replaced;
        if (replaced)
            set_self_leaving(state.members);
        return;
    }
    apply_evidence_result(state, update.info.id,
                          merge_evidence(state.members, update, now), now, out);
}

void merge_gossip(protocol& state, heartbeat const& received, time_point now,
                  protocol_output& out)
{
    for (auto const& update : received.joined)
        merge_full_update(state, update, now, out);
    for (auto const& update : received.members)
        merge_compact_update(state, update, now, out);
    for (auto const& update : received.loads)
    {
        if (auto const owner =
                merge_loads(state.gossip, state.members, update, now))
            out.loads.push_back(
                {*owner, update.loads, update.age_steps * age_step});
    }
    for (auto const& update : received.quarantine)
    {
        if (merge_quarantine(state.gossip, update, state.options.gossip, now))
            out.quarantine.push_back(update);
    }
    if (!received.demand.empty())
        out.demand.push_back({received.sender.info.id, received.demand});
}

void handle_probe_requests(protocol& state, heartbeat const& received,
                           endpoint const& from, time_point now,
                           protocol_output& out)
{
    for (auto const& requested : received.probe_requests)
    {
        auto const* record = find_member(state.members, requested);
        if (!record || state.relays.size() >= max_relays)
            continue;
        state.relays.push_back({record->info.id, from, now + relay_timeout});
        ping(state, *record, now, out);
    }
}

void send_relays(protocol& state, router_id const& responder, time_point now,
                 protocol_output& out)
{
    for (auto const& relay : state.relays)
    {
        if (relay.target != responder)
            continue;
        auto const& record = state.members.others.at(responder);
        auto content = make_heartbeat(state, heartbeat_kind::relay);
        content.members.push_back({.router = record.ref,
                                   .state = record.info.state,
                                   .sequence = record.sequence,
                                   .config = record.info.config});
        out.datagrams.push_back({relay.requester, std::move(content)});
    }
    std::erase_if(state.relays, [&](probe_relay const& relay)
                  { return relay.target == responder || relay.until < now; });
}

} // namespace bramleyarch::services::heartbeats

#include "decisions/config_distribution.hpp"

#include "common/digest.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

std::uint64_t weight_of(router_id const& id)
{
    constexpr std::uint64_t seed = 0x636f'6e66'6967; // "config"
    return mix(name_hash(id.value), seed);
}

bool may_watch(member const& m, member_view const& view)
{
    if (m.domain != view.self_domain)
        return false;
    return m.id == view.self || m.state == member_state::live;
}

/// Whether `a` comes before `b` in the rank of watchers.
bool ranks_before(router_id const& a, router_id const& b)
{
    auto const weight_a = weight_of(a);
    auto const weight_b = weight_of(b);
    return weight_a != weight_b ? weight_a > weight_b : a < b;
}

} // namespace

adoption decide_adoption(std::optional<config_identity> const& in_force,
                         config_identity const& offered)
{
    if (!in_force || offered.version > in_force->version)
        return adoption::adopt;
    if (offered.version < in_force->version)
        return adoption::ignore_older;
    return offered.digest == in_force->digest ? adoption::ignore_same
                                              : adoption::ignore_conflict;
}

bool is_watcher(member_view const& view, std::size_t count)
{
    std::size_t before = 0;
    for (auto const& m : view.members)
    {
        if (m.id == view.self && m.state == member_state::leaving)
            return false;
        if (may_watch(m, view) && ranks_before(m.id, view.self))
            ++before;
    }
    return before < count;
}

void record_peer_version(config_fetch_state& fetch, router_id const& peer,
                         revision version)
{
    if (peer == fetch.self)
        return;
    auto& known = fetch.peers[peer];
    known.version = std::max(known.version, version);
}

void update_peers(config_fetch_state& fetch, member_view const& view)
{
    std::map<router_id, config_peer> present;
    for (auto const& m : view.members)
    {
        if (m.id == fetch.self || m.state == member_state::gone)
            continue;
        auto known = fetch.peers[m.id];
        known.version = std::max(known.version, m.config);
        present.emplace(m.id, known);
    }
    fetch.peers = std::move(present);
}

void finish_request(config_fetch_state& fetch)
{
    fetch.asked_at.reset();
}

std::optional<router_id> select_peer(config_fetch_state& fetch,
                                     revision in_force, time_point at)
{
    if (fetch.asked_at && at < *fetch.asked_at + fetch.options.timeout)
        return std::nullopt;
    fetch.asked_at.reset();
    auto const self = name_hash(fetch.self.value);
    config_peer* chosen = nullptr;
    router_id chosen_id;
    std::uint64_t chosen_weight = 0;
    for (auto& [id, peer] : fetch.peers)
    {
        if (peer.version <= in_force)
            continue;
        auto const weight = mix(name_hash(id.value), self);
        bool const better =
            !chosen || peer.asked < chosen->asked ||
            (peer.asked == chosen->asked && weight > chosen_weight);
        if (!better)
            continue;
        chosen = &peer;
        chosen_id = id;
        chosen_weight = weight;
    }
    if (!chosen)
        return std::nullopt;
    chosen->asked = ++fetch.requests;
    fetch.asked_at = at;
    return chosen_id;
}

} // namespace bramleyarch::decisions

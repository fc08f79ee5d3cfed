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

bool may_watch(member const& router, member_view const& view)
{
    if (router.domain != view.self_domain)
        return false;
    return router.id == view.self || router.state == member_state::live;
}

/// True if `first` precedes `second` in the ranking of watchers.
bool has_higher_rank(router_id const& first, router_id const& second)
{
    auto const first_weight = weight_of(first);
    auto const second_weight = weight_of(second);
    return first_weight != second_weight ? first_weight > second_weight
                                         : first < second;
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
    std::size_t preceding = 0;
    for (auto const& router : view.members)
    {
        if (router.id == view.self && router.state == member_state::leaving)
            return false;
        if (may_watch(router, view) && has_higher_rank(router.id, view.self))
            ++preceding;
    }
    return preceding < count;
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
    for (auto const& router : view.members)
    {
        if (router.id == fetch.self || router.state == member_state::gone)
            continue;
        auto known = fetch.peers[router.id];
        known.version = std::max(known.version, router.config);
        present.emplace(router.id, known);
    }
    fetch.peers = std::move(present);
}

void finish_request(config_fetch_state& fetch)
{
    fetch.requested_at.reset();
}

std::optional<router_id> select_peer(config_fetch_state& fetch,
                                     revision in_force, time_point at)
{
    if (fetch.requested_at && at < *fetch.requested_at + fetch.options.timeout)
        return std::nullopt;
    fetch.requested_at.reset();
    auto const self = name_hash(fetch.self.value);
    config_peer* chosen = nullptr;
    router_id chosen_id;
    std::uint64_t chosen_weight = 0;
    for (auto& [id, peer] : fetch.peers)
    {
        if (peer.version <= in_force)
            continue;
        auto const weight = mix(name_hash(id.value), self);
        bool const better = !chosen ||
                            peer.last_request < chosen->last_request ||
                            (peer.last_request == chosen->last_request &&
                             weight > chosen_weight);
        if (!better)
            continue;
        chosen = &peer;
        chosen_id = id;
        chosen_weight = weight;
    }
    if (!chosen)
        return std::nullopt;
    chosen->last_request = ++fetch.requests;
    fetch.requested_at = at;
    return chosen_id;
}

} // namespace bramleyarch::decisions

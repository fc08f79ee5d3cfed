#include "decisions/ownership.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace bramleyarch::decisions
{

namespace
{

struct candidate
{
    router_id const* id = nullptr;
    std::uint64_t hash = 0;
};

/// A server's proposal to a router.
struct proposal
{
    std::uint64_t weight = 0;
    std::size_t server = 0; ///< Index of the server.

    friend bool operator>(proposal const& a, proposal const& b)
    {
        return std::tie(a.weight, a.server) > std::tie(b.weight, b.server);
    }
};

/// One server with all candidate routers in descending order of weight.
struct preference_list
{
    server_id const* id = nullptr;
    /// Weight and index of each router.
    std::vector<std::pair<std::uint64_t, std::size_t>> routers;
    std::size_t next = 0; ///< Index of the next router to propose to.
};

using domain_servers =
    std::map<domain_id, std::vector<config::server_config const*>>;

domain_servers servers_by_domain(config::document const& config)
{
    domain_servers found;
    std::set<std::string_view> seen;
    for (auto const& service : config.services)
    {
        for (auto const& server : service.servers)
        {
            if (seen.insert(server.id.value).second)
                found[server.domain].push_back(&server);
        }
    }
    for (auto& [domain, servers] : found)
        std::ranges::sort(servers, {},
                          [](auto const* server) { return server->id; });
    return found;
}

/// Returns the routers that may own servers and satisfy `predicate`.
template <class Predicate>
std::vector<candidate> find_candidates(member_view const& view,
                                       Predicate predicate)
{
    std::vector<candidate> found;
    for (auto const& router : view.members)
    {
        if (may_own(router.state) && predicate(router))
            found.push_back(
                {.id = &router.id, .hash = name_hash(router.id.value)});
    }
    return found;
}

region_id region_of(config::document const& config, domain_id const& domain)
{
    auto const row =
        std::ranges::find(config.domains, domain, &config::domain_config::id);
    return row == config.domains.end() ? region_id{} : row->region;
}

std::vector<candidate> candidates_for(config::document const& config,
                                      member_view const& view,
                                      domain_id const& domain)
{
    auto same_domain = find_candidates(view, [&](member const& router)
                                       { return router.domain == domain; });
    bool const abandoned =
        std::ranges::find(view.abandoned, domain) != view.abandoned.end();
    if (!same_domain.empty() || !abandoned)
        return same_domain;
    auto const region = region_of(config, domain);
    auto same_region =
        find_candidates(view, [&](member const& router)
                        { return region_of(config, router.domain) == region; });
    if (!same_region.empty())
        return same_region;
    return find_candidates(view, [](member const&) { return true; });
}

std::vector<preference_list>
make_preferences(std::vector<config::server_config const*> const& servers,
                 std::vector<candidate> const& routers)
{
    std::vector<preference_list> all;
    all.reserve(servers.size());
    for (auto const* server : servers)
    {
        preference_list preferences{.id = &server->id};
        auto const hash = name_hash(server->id.value);
        for (std::size_t i = 0; i < routers.size(); ++i)
            preferences.routers.emplace_back(mix(routers[i].hash, hash), i);
        std::ranges::sort(preferences.routers, std::greater{});
        all.push_back(std::move(preferences));
    }
    return all;
}

/// Returns the maximum number of servers that one router may own, rounded up.
std::size_t max_owned(std::size_t servers, std::size_t routers,
                      ownership_options const& options)
{
    std::size_t const share = servers * std::max(options.cap_percent, 100U);
    std::size_t const parts = routers * 100;
    return (share + parts - 1) / parts;
}

/// Matches servers with routers by deferred acceptance: each server proposes
/// to its routers in order of preference, and a router at its cap rejects the
/// proposal with the lowest weight. The result does not depend on the order in
/// which the servers propose.
void assign_domain(std::vector<config::server_config const*> const& servers,
                   std::vector<candidate> const& routers,
                   ownership_options const& options, ownership& assigned)
{
    using lowest_first =
        std::priority_queue<proposal, std::vector<proposal>, std::greater<>>;
    std::size_t const cap = max_owned(servers.size(), routers.size(), options);
    auto preferences = make_preferences(servers, routers);
    std::vector<lowest_first> accepted(routers.size());
    for (std::size_t first = 0; first < preferences.size(); ++first)
    {
        std::size_t proposing = first;
        while (true)
        {
            auto& list = preferences[proposing];
            auto const [weight, router] = list.routers[list.next++];
            accepted[router].push({weight, proposing});
            if (accepted[router].size() <= cap)
                break;
            proposing = accepted[router].top().server;
            accepted[router].pop();
        }
    }
    for (std::size_t router = 0; router < accepted.size(); ++router)
    {
        for (; !accepted[router].empty(); accepted[router].pop())
        {
            auto const& server = *preferences[accepted[router].top().server].id;
            assigned.owners.emplace(server, *routers[router].id);
        }
    }
}

} // namespace

ownership assign_owners(config::document const& config, member_view const& view,
                        ownership_options const& options)
{
    ownership assigned;
    for (auto const& [domain, servers] : servers_by_domain(config))
    {
        auto const routers = candidates_for(config, view, domain);
        if (!routers.empty())
            assign_domain(servers, routers, options, assigned);
    }
    return assigned;
}

std::optional<router_id> owner_of(ownership const& assigned,
                                  server_id const& server)
{
    auto const found = assigned.owners.find(server);
    if (found == assigned.owners.end())
        return std::nullopt;
    return found->second;
}

} // namespace bramleyarch::decisions

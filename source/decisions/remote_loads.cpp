#include "decisions/remote_loads.hpp"

#include "common/digest.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

/// Selects the requests of the own domain or those of the other domains.
using load_part = std::uint32_t remote_load::*;

void add(remote_loads& loads, load_part part, received_loads const& received)
{
    for (auto const& load : received.loads)
        loads.by_server[load.server].*part += load.in_flight;
}

void subtract(remote_loads& loads, load_part part,
              received_loads const& received)
{
    for (auto const& load : received.loads)
    {
        auto const found = loads.by_server.find(load.server);
        // A heartbeat that lists a server twice with nothing in flight has
        // removed the entry already.
        if (found == loads.by_server.end())
            continue;
        found->second.*part -= load.in_flight;
        if (found->second.own_domain == 0 && found->second.other_domains == 0)
            loads.by_server.erase(found);
    }
}

/// Removes the expired entries of `sources`.
template <class Sources>
void remove_expired_loads(remote_loads& loads, load_part part, Sources& sources,
                          time_point at)
{
    std::erase_if(sources,
                  [&](auto const& entry)
                  {
                      bool const expired =
                          at - entry.second.received_at > loads.options.max_age;
                      if (expired)
                          subtract(loads, part, entry.second);
                      return expired;
                  });
}

/// Returns up to `count` of the routers from position `next` on, and advances
/// the position.
std::vector<router_id> next_routers(std::vector<router_id> const& routers,
                                    std::size_t& next, std::size_t count)
{
    std::vector<router_id> selected;
    for (std::size_t i = 0; i < std::min(count, routers.size()); ++i)
        selected.push_back(routers[next++ % routers.size()]);
    return selected;
}

} // namespace

void apply_heartbeat(remote_loads& loads, domain_id const& own_domain,
                     peer_heartbeat const& heartbeat, time_point at)
{
    bool const same_domain = heartbeat.domain == own_domain;
    auto const part =
        same_domain ? &remote_load::own_domain : &remote_load::other_domains;
    auto& received = same_domain ? loads.peers[heartbeat.from]
                                 : loads.domains[heartbeat.domain];
    subtract(loads, part, received);
    received = {.received_at = at, .loads = heartbeat.loads};
    add(loads, part, received);
}

void remove_expired_loads(remote_loads& loads, time_point at)
{
    remove_expired_loads(loads, &remote_load::own_domain, loads.peers, at);
    remove_expired_loads(loads, &remote_load::other_domains, loads.domains, at);
}

remote_load remote_load_at(remote_loads const& loads, std::uint64_t server)
{
    auto const found = loads.by_server.find(server);
    return found == loads.by_server.end() ? remote_load{} : found->second;
}

void stagger(heartbeat_rotation& rotation, std::uint64_t draw)
{
    // Small enough that the positions, which only increase, never overflow.
    constexpr std::uint64_t max_start = 1U << 20;
    rotation.next_own_domain = draw % max_start;
    rotation.next_other_domains = mix(draw, max_start) % max_start;
}

heartbeat_targets
next_heartbeat_targets(heartbeat_rotation& rotation,
                       heartbeat_rotation_options const& options)
{
    return {.own_domain =
                next_routers(rotation.own_domain, rotation.next_own_domain,
                             options.own_domain),
            .other_domains = next_routers(rotation.other_domains,
                                          rotation.next_other_domains,
                                          options.other_domains)};
}

} // namespace bramleyarch::decisions

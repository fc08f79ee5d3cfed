#include "decisions/remote_loads.hpp"

#include "common/digest.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

using part = std::uint32_t remote_load::*;

void add(remote_loads& s, part which, told_loads const& told)
{
    for (auto const& load : told.loads)
        s.sums[load.server].*which += load.in_flight;
}

void subtract(remote_loads& s, part which, told_loads const& told)
{
    for (auto const& load : told.loads)
    {
        auto const found = s.sums.find(load.server);
        if (found == s.sums.end())
            continue; // Named twice with nothing in flight.
        found->second.*which -= load.in_flight;
        if (found->second.own_domain == 0 && found->second.other_domains == 0)
            s.sums.erase(found);
    }
}

/// Drops what `sources` told too long ago.
template <class Sources>
void remove_expired_loads(remote_loads& s, part which, Sources& sources,
                          time_point at)
{
    std::erase_if(sources,
                  [&](auto const& entry)
                  {
                      bool const old = at - entry.second.at > s.options.limit;
                      if (old)
                          subtract(s, which, entry.second);
                      return old;
                  });
}

std::vector<router_id> take(std::vector<router_id> const& from,
                            std::size_t& next, std::size_t count)
{
    std::vector<router_id> taken;
    for (std::size_t i = 0; i < std::min(count, from.size()); ++i)
        taken.push_back(from[next++ % from.size()]);
    return taken;
}

} // namespace

void apply_heartbeat(remote_loads& s, domain_id const& own_domain,
                     peer_heartbeat const& beat, time_point at)
{
    bool const near = beat.domain == own_domain;
    auto const which =
        near ? &remote_load::own_domain : &remote_load::other_domains;
    auto& told = near ? s.peers[beat.from] : s.domains[beat.domain];
    subtract(s, which, told);
    told = {.at = at, .loads = beat.loads};
    add(s, which, told);
}

void remove_expired_loads(remote_loads& s, time_point at)
{
    remove_expired_loads(s, &remote_load::own_domain, s.peers, at);
    remove_expired_loads(s, &remote_load::other_domains, s.domains, at);
}

remote_load remote_load_at(remote_loads const& s, std::uint64_t server)
{
    auto const found = s.sums.find(server);
    return found == s.sums.end() ? remote_load{} : found->second;
}

void stagger(heartbeat_rotation& order, std::uint64_t draw)
{
    // Below any overflow of the places that are counted from here on.
    constexpr std::uint64_t places = 1U << 20;
    order.next_own = draw % places;
    order.next_elsewhere = mix(draw, places) % places;
}

heartbeat_targets
next_heartbeat_targets(heartbeat_rotation& order,
                       heartbeat_rotation_options const& options)
{
    return {.own_domain =
                take(order.own_domain, order.next_own, options.own_domain),
            .other_domains = take(order.other_domains, order.next_elsewhere,
                                  options.other_domains)};
}

} // namespace bramleyarch::decisions

#include "decisions/shared_loads.hpp"

#include "common/digest.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

using part = std::uint32_t server_sums::*;

void add(shared_loads& s, part which, told_loads const& told)
{
    for (auto const& load : told.loads)
        s.sums[load.server].*which += load.in_flight;
}

void subtract(shared_loads& s, part which, told_loads const& told)
{
    for (auto const& load : told.loads)
    {
        auto const found = s.sums.find(load.server);
        if (found == s.sums.end())
            continue; // Named twice with nothing in flight.
        found->second.*which -= load.in_flight;
        if (found->second.own_domain == 0 && found->second.elsewhere == 0)
            s.sums.erase(found);
    }
}

/// Drops what `sources` told too long ago.
template <class Sources>
void drop_old(shared_loads& s, part which, Sources& sources, time_point at)
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

void note_beat(shared_loads& s, domain_id const& own_domain,
               peer_heartbeat const& beat, time_point at)
{
    bool const near = beat.domain == own_domain;
    auto const which =
        near ? &server_sums::own_domain : &server_sums::elsewhere;
    auto& told = near ? s.peers[beat.from] : s.domains[beat.domain];
    subtract(s, which, told);
    told = {.at = at, .loads = beat.loads};
    add(s, which, told);
}

void drop_old(shared_loads& s, time_point at)
{
    drop_old(s, &server_sums::own_domain, s.peers, at);
    drop_old(s, &server_sums::elsewhere, s.domains, at);
}

server_sums sums_of(shared_loads const& s, std::uint64_t server)
{
    auto const found = s.sums.find(server);
    return found == s.sums.end() ? server_sums{} : found->second;
}

void stagger(beat_order& order, std::uint64_t draw)
{
    // Below any overflow of the places that are counted from here on.
    constexpr std::uint64_t places = 1U << 20;
    order.next_own = draw % places;
    order.next_elsewhere = mix(draw, places) % places;
}

beat_round take_round(beat_order& order, beat_order_options const& options)
{
    return {.own_domain =
                take(order.own_domain, order.next_own, options.own_domain),
            .elsewhere =
                take(order.elsewhere, order.next_elsewhere, options.elsewhere)};
}

} // namespace bramleyarch::decisions

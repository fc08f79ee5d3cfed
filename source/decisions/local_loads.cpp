#include "decisions/local_loads.hpp"

namespace bramleyarch::decisions
{

void apply_ownership(local_loads& loads, ownership const& assigned,
                     router_id const& self, time_point now)
{
    std::map<server_id, time_point> owned;
    for (auto const& [server, owner] : assigned.owners)
    {
        if (owner != self)
            continue;
        auto const before = loads.owned_since.find(server);
        bool const kept = before != loads.owned_since.end();
        owned.emplace(server, kept ? before->second : now);
    }
    loads.owned_since = std::move(owned);
    std::erase_if(loads.counted, [&](auto const& entry)
                  { return !loads.owned_since.contains(entry.first); });
}

void record_local_load(local_loads& loads, server_load const& load,
                       time_point at)
{
    auto const owned = loads.owned_since.find(load.server);
    if (owned != loads.owned_since.end() && at >= owned->second)
        loads.counted[load.server] = {.load = load, .counted_at = at};
}

std::vector<compact_load> loads_to_advertise(local_loads const& loads)
{
    std::vector<compact_load> advertised;
    for (auto const& [server, counted] : loads.counted)
    {
        auto const& load = counted.load;
        advertised.push_back({.server = short_hash(server.value),
                              .in_flight = load.in_flight,
                              .queued = load.queued,
                              .limit = load.limit,
                              .cold = load.cold,
                              .usable = load.usable});
    }
    return advertised;
}

} // namespace bramleyarch::decisions

#include "decisions/local_loads.hpp"

namespace bramleyarch::decisions
{

void apply_ownership(local_loads& own, ownership const& assigned,
                     router_id const& self, time_point now)
{
    std::map<server_id, time_point> owned;
    for (auto const& [server, owner] : assigned.owners)
    {
        if (owner != self)
            continue;
        auto const before = own.owned_since.find(server);
        bool const kept = before != own.owned_since.end();
        owned.emplace(server, kept ? before->second : now);
    }
    own.owned_since = std::move(owned);
    std::erase_if(own.counted, [&](auto const& entry)
                  { return !own.owned_since.contains(entry.first); });
}

void record_local_load(local_loads& own, server_load const& load, time_point at)
{
    auto const owned = own.owned_since.find(load.server);
    if (owned != own.owned_since.end() && at >= owned->second)
        own.counted[load.server] = {.load = load, .counted_at = at};
}

std::vector<compact_load> loads_to_advertise(local_loads const& own)
{
    std::vector<compact_load> loads;
    for (auto const& [server, counted] : own.counted)
    {
        auto const& l = counted.load;
        loads.push_back({.server = short_hash(server.value),
                         .in_flight = l.in_flight,
                         .queued = l.queued,
                         .limit = l.limit,
                         .cold = l.cold,
                         .usable = l.usable});
    }
    return loads;
}

} // namespace bramleyarch::decisions

#include "decisions/server_priority.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

std::optional<std::uint32_t> server_priority(config::routing_rules const& rules,
                                             service_id const& service,
                                             std::uint32_t rank)
{
    auto const rule = rules.services.find(service);
    if (rule == rules.services.end() || !rule->second.engine)
        return std::nullopt;
    std::optional<std::uint32_t> first;
    bool differ = false;
    for (auto const& route : rules.routes)
    {
        if (std::ranges::find(route.shares, service,
                              &config::service_share::service) ==
            route.shares.end())
            continue;
        differ = differ || (first && *first != route.rank);
        first = route.rank;
    }
    return differ ? std::optional{std::min(rank, last_server_priority)}
                  : std::nullopt;
}

} // namespace bramleyarch::decisions

#include "control/load/balancer.hpp"

#include <algorithm>

namespace bramleyarch::load
{

balancer make_balancer(std::size_t routers)
{
    return {.ready = std::vector<bool>(routers, true)};
}

void note_check(balancer& b, std::size_t router, bool ready)
{
    b.ready[router] = ready;
}

std::size_t pick_router(balancer const& b, std::size_t turn)
{
    auto const open =
        static_cast<std::size_t>(std::ranges::count(b.ready, true));
    if (open == 0)
        return turn % b.ready.size();
    std::size_t skip = turn % open;
    std::size_t router = 0;
    while (!b.ready[router] || skip-- > 0)
        ++router;
    return router;
}

} // namespace bramleyarch::load

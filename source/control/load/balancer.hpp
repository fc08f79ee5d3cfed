/// Choice of the router for each send, as a balancer with readiness checks
/// makes it.
#pragma once

#include <cstddef>
#include <vector>

namespace bramleyarch::load
{

struct balancer
{
    std::vector<bool> ready; ///< By router, as last checked.
};

/// All routers count as ready until a check says otherwise.
balancer make_balancer(std::size_t routers);

/// A check of `router` was answered, or failed.
void note_check(balancer& b, std::size_t router, bool ready);

/// Router for turn number `turn`: the ready ones take turns. When none is
/// ready all do, so that the refusal is the fleet's.
std::size_t pick_router(balancer const& b, std::size_t turn);

} // namespace bramleyarch::load

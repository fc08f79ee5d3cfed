/// Planned stop: leave, finish what is in flight, then exit.
#pragma once

#include "common/time.hpp"
#include "kernel/kernel.hpp"

namespace bramleyarch::router
{

struct drain_options
{
    /// Between leaving the fleet and refusing new requests: the balancer and
    /// the other routers learn of it meanwhile.
    duration grace{};
    /// Longest wait for requests in flight.
    duration limit{};
};

/// Drains the services of `k`. Returns false when requests were still in
/// flight at the limit.
bool drain(kernel::kernel& k, drain_options const& options);

} // namespace bramleyarch::router

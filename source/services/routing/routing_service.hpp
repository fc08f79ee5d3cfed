/// Routing service: forwards every request that this router receives to the
/// owner of a backend server, and the answer back to the front end.
#pragma once

#include "services/routing/routing_state.hpp"

#include "kernel/service.hpp"

namespace bramleyarch::services
{

/// Creates the service, which is published as `routing`.
kernel::service<routing_state, routing_message>
make_routing_service(routing_options options);

} // namespace bramleyarch::services

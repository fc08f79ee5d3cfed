/// Owner service: admits requests to the backend servers that this router owns,
/// and controls each admitted attempt until it ends.
#pragma once

#include "services/owner/owner_state.hpp"

#include "kernel/service.hpp"

namespace bramleyarch::services
{

/// Creates the service, which is registered as `owner`.
kernel::service<owner_state, owner_message>
make_owner_service(owner_options options);

} // namespace bramleyarch::services

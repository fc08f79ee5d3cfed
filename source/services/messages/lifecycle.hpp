/// Messages of the lifecycle service.
#pragma once

#include "services/messages/shared.hpp"

#include <variant>

namespace bramleyarch::services
{

/// The process is asked to stop in good order.
struct stop_requested
{
};

/// The settings are to be read again.
struct reload_requested
{
};

/// Whether a service is idle, as it answered the last question.
struct idle_reply
{
    bool idle = false;
};

/// Delivered by the lifecycle service's own timers.
struct lifecycle_tick
{
};

using lifecycle_message =
    std::variant<stop_requested, reload_requested, idle_reply, lifecycle_tick>;

} // namespace bramleyarch::services

/// Messages of the lifecycle service.
#pragma once

#include "services/messages/shared.hpp"

#include <cstdint>
#include <variant>

namespace bramleyarch::services
{

/// A graceful stop of the process was requested.
struct stop_requested
{
};

/// A reload of the settings was requested.
struct reload_requested
{
};

/// Reply of a service to an `idle_query`.
struct idle_reply
{
    std::uint32_t query = 0; ///< Number of the query.
    bool idle = false;
};

/// Delivered by the lifecycle service's own timers.
struct lifecycle_tick
{
};

/// Delivered by a timer when the last answers of a stop have to be given.
struct answers_end_reached
{
};

/// Delivered when a stop has lasted as long as it may.
struct stop_limit_reached
{
};

using lifecycle_message =
    std::variant<stop_requested, answers_end_reached, reload_requested,
                 idle_reply, lifecycle_tick, stop_limit_reached>;

} // namespace bramleyarch::services

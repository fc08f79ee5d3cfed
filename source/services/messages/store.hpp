/// Messages of the store service.
#pragma once

#include "common/error.hpp"
#include "decisions/discovery.hpp"
#include "services/messages/shared.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace bramleyarch::services
{

/// Routers that the store lists, this one left out.
struct routers_listed
{
    std::vector<decisions::listed_router> routers;
};

/// Delivered by the store service's own timers.
struct store_tick
{
};

/// A failed call is made again.
struct store_retry
{
};

using store_message =
    std::variant<store_tick, store_retry, drain_started, status_query>;

} // namespace bramleyarch::services

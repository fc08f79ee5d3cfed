/// Priority that requests state towards model servers, which order the requests
/// that wait there by it.
#pragma once

#include "config/deployment.hpp"

#include <cstdint>
#include <optional>

namespace bramleyarch::decisions
{

/// Priority of the requests that a server takes last.
inline constexpr std::uint32_t last_server_priority = 9;

/// Returns the priority of a request with this rank at the servers of a
/// service, or std::nullopt if the service has no model servers, or if its
/// routes all have the same rank, so that there is nothing to order.
std::optional<std::uint32_t> server_priority(config::routing_rules const& rules,
                                             service_id const& service,
                                             std::uint32_t rank);

} // namespace bramleyarch::decisions

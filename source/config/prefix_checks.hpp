/// Checks that every path and model leads to one service and one route.
#pragma once

#include "config/fault.hpp"
#include "config/model.hpp"

#include <string>
#include <vector>

namespace bramleyarch::config
{

/// Appends a fault for each pair of services that a request could belong to
/// both of: equal prefixes, but for model services with different models, or
/// a prefix that begins with another.
void check_prefixes(document const& doc, std::vector<fault>& faults);

/// Appends a fault for each route of `service`, which stands at `path`, that
/// an earlier route hides.
void check_routes(service_config const& service, std::string const& path,
                  std::vector<fault>& faults);

} // namespace bramleyarch::config

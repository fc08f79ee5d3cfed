/// Checks of JSON values against the table of document fields.
#pragma once

#include "config/fault.hpp"
#include "config/schema.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace bramleyarch::config
{

/// Appends a fault for every unknown, missing or ill-formed field of
/// `value`, which stands at `path`, and of the objects within it.
void check_object(nlohmann::json const& value, object_kind kind,
                  std::string const& path, std::vector<fault>& faults);

} // namespace bramleyarch::config

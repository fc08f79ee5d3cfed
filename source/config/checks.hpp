/// Checks of the relations between the parts of a configuration document.
#pragma once

#include "config/fault.hpp"
#include "config/model.hpp"

#include <vector>

namespace bramleyarch::config
{

/// All faults of `doc`: first its form; when that is right, names, models,
/// capacities, prefixes and routes.
std::vector<fault> check_document(document const& doc);

/// As `check_document`, without the form, for a document that was parsed.
std::vector<fault> check_relations(document const& doc);

} // namespace bramleyarch::config

/// Results as a table and as JSON, and comparison with an earlier result.
#pragma once

#include "control/load/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace bramleyarch::load
{

/// Result as JSON.
nlohmann::json to_json(load_result const& result);

/// Samples as JSON, for plots over time.
nlohmann::json to_json(std::vector<load_sample> const& samples);

/// Result as text for people.
std::string to_table(load_result const& result);

/// Each figure of `now` over that of `baseline`, where both are numbers.
std::string compare(nlohmann::json const& now, nlohmann::json const& baseline);

} // namespace bramleyarch::load

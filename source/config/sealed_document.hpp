/// Documents as routers hand them to each other: with their digest.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bramleyarch::config
{

/// `json` preceded by a line with its SHA-256.
std::string seal(std::string_view json);

/// The JSON within `sealed`, if its digest is right.
std::optional<std::string> unseal(std::string_view sealed);

} // namespace bramleyarch::config

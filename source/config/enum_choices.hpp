/// Names of an enumeration as a list, for tables that mix enumerations.
#pragma once

#include "common/enum_names.hpp"

#include <string_view>
#include <vector>

namespace bramleyarch::config
{

/// All names of `Enum`, in the order of its table.
template <class Enum>
std::vector<std::string_view> names_of()
{
    std::vector<std::string_view> names;
    for (auto const& row : enum_names(Enum{}))
        names.push_back(row.name);
    return names;
}

} // namespace bramleyarch::config

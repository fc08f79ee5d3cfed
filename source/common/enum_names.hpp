/// Tables of names for enumerations.
///
/// An enumeration gets its table from a constexpr function found by
/// argument-dependent lookup: `constexpr auto enum_names(my_enum)` returns an
/// array of `enum_name<my_enum>`.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace bramleyarch
{

/// One row of a table of names.
template <class Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// Returns the name of `value`, or "unknown" for a value without a row.
template <class Enum>
constexpr std::string_view to_name(Enum value)
{
    for (auto const& row : enum_names(Enum{}))
    {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// Returns the value whose name is `name`.
template <class Enum>
constexpr std::optional<Enum> from_name(std::string_view name)
{
    for (auto const& row : enum_names(Enum{}))
    {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

/// Number of rows in the table of `Enum`.
template <class Enum>
constexpr std::size_t enum_size()
{
    return enum_names(Enum{}).size();
}

} // namespace bramleyarch

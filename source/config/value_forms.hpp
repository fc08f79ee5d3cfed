/// Forms of single values in a configuration document.
#pragma once

#include "config/schema.hpp"

#include <string>
#include <string_view>

namespace bramleyarch::config
{

/// Whether `text` is a name: 1 to 64 letters, digits, '.', '_' or '-' that
/// starts with a letter or digit.
bool is_identifier(std::string_view text);

/// Whether `c` is visible ASCII.
bool is_printable(char c);

/// Whether `text` has the form that `row` asks for.
bool has_form(field_row const& row, std::string_view text);

/// What to write instead of a value that has not the form of `row`.
std::string form_remedy(field_row const& row);

} // namespace bramleyarch::config

/// References printed from the tables of keys and fields, as Markdown.
#pragma once

#include <string>

namespace bramleyarch::config
{

/// All keys of a settings file.
std::string settings_reference();

/// All fields of a configuration document.
std::string document_reference();

} // namespace bramleyarch::config

/// Positions of the sections and keys of an INI text.
///
/// The INI parser keeps no line numbers and stops at the first fault. This
/// index finds every line that it would refuse, so that all of them can be
/// reported and the rest still be read.
#pragma once

#include "config/fault.hpp"

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace bramleyarch::config
{

/// A key within a section.
struct ini_name
{
    std::string section;
    std::string key;

    friend bool operator<(ini_name const& a, ini_name const& b)
    {
        return std::tie(a.section, a.key) < std::tie(b.section, b.key);
    }
};

struct ini_lines
{
    std::map<ini_name, int> line_of; ///< First line of each key, from 1.
    std::string accepted;            ///< The text without refused lines.
    std::vector<fault> faults;
};

/// Indexes `text`; paths of faults are `file:line`.
ini_lines index_lines(std::string_view text, std::string const& file);

} // namespace bramleyarch::config

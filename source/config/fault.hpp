/// Faults found in settings and configuration documents.
#pragma once

#include <string>
#include <vector>

namespace bramleyarch::config
{

/// One thing that is wrong and what to do about it.
struct fault
{
    std::string path;    ///< JSON path, or `file:line`.
    std::string problem; ///< What is wrong, with the value found.
    std::string remedy;  ///< What to write instead.
};

/// One line: path, problem and remedy.
std::string describe(fault const& f);

/// All faults, one a line, each line ended.
std::string describe(std::vector<fault> const& faults);

} // namespace bramleyarch::config

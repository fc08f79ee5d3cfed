#include "config/fault.hpp"

namespace bramleyarch::config
{

std::string describe(fault const& f)
{
    return f.path + ": " + f.problem + " (remedy: " + f.remedy + ")";
}

std::string describe(std::vector<fault> const& faults)
{
    std::string text;
    for (auto const& f : faults)
        text += describe(f) + '\n';
    return text;
}

} // namespace bramleyarch::config

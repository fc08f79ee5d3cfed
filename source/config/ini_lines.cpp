#include "config/ini_lines.hpp"

#include <fmt/format.h>

namespace bramleyarch::config
{

namespace
{

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\v\f";
    auto const first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// State of a pass over the lines.
struct line_pass
{
    std::string const& file;
    ini_lines& out;
    std::map<std::string, int, std::less<>> sections;
    std::string section;
    bool in_section = false;
    bool in_doubled_section = false;
    int line = 0;
};

void refuse(line_pass& pass, std::string problem, std::string remedy)
{
    pass.out.faults.push_back({fmt::format("{}:{}", pass.file, pass.line),
                               std::move(problem), std::move(remedy)});
}

/// Whether the INI parser is to see the line.
bool take_section(line_pass& pass, std::string_view line)
{
    auto const name = trimmed(line.substr(1, line.size() - 2));
    pass.section = std::string{name};
    auto const [found, added] = pass.sections.emplace(name, pass.line);
    pass.in_section = true;
    pass.in_doubled_section = !added;
    if (!added)
        refuse(pass,
               fmt::format("section [{}] stands at line {} already", name,
                           found->second),
               "move its keys there");
    return added;
}

bool take_key(line_pass& pass, std::string_view line)
{
    auto const equals = line.find('=');
    auto const key = trimmed(line.substr(0, equals));
    if (equals == std::string_view::npos || key.empty())
    {
        refuse(pass, fmt::format("is no section, key or comment: {}", line),
               "write `key = value`, `[section]` or `; comment`");
        return false;
    }
    if (!pass.in_section)
    {
        refuse(pass, fmt::format("key \"{}\" stands in no section", key),
               "put it below its `[section]`");
        return false;
    }
    auto const [found, added] = pass.out.line_of.emplace(
        ini_name{pass.section, std::string{key}}, pass.line);
    if (!added)
        refuse(pass,
               fmt::format("key \"{}\" stands at line {} already", key,
                           found->second),
               "keep one of the two");
    return added && !pass.in_doubled_section;
}

bool take_line(line_pass& pass, std::string_view line)
{
    if (line.empty() || line.front() == ';' || line.front() == '#')
        return false;
    if (line.front() != '[')
        return take_key(pass, line);
    if (line.back() == ']')
        return take_section(pass, line);
    refuse(pass, fmt::format("section has no ']': {}", line),
           "write `[section]`");
    return false;
}

} // namespace

ini_lines index_lines(std::string_view text, std::string const& file)
{
    ini_lines out;
    line_pass pass{.file = file, .out = out};
    while (!text.empty())
    {
        ++pass.line;
        auto const end = text.find('\n');
        auto const line = trimmed(text.substr(0, end));
        if (take_line(pass, line))
            out.accepted.append(line).push_back('\n');
        text.remove_prefix(end == std::string_view::npos ? text.size()
                                                         : end + 1);
    }
    return out;
}

} // namespace bramleyarch::config

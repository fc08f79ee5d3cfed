#include "control/arguments.hpp"

#include "common/endpoint_text.hpp"
#include "control/subcommand.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <sstream>

namespace bramleyarch::control
{

cxxopts::Options make_options(std::string const& name)
{
    std::string description;
    std::string arguments;
    for (auto const& row : subcommands())
    {
        if (row.name != name)
            continue;
        arguments = row.arguments;
        description =
            fmt::format("{}\nexit code: {}", row.summary, row.exit_codes);
    }
    cxxopts::Options options{"bramleyctl " + name, description};
    options.custom_help("[OPTIONS] " + arguments).positional_help("");
    options.add_options()("help", "Print this help");
    return options;
}

void add_platform_options(cxxopts::Options& options)
{
    options.add_options()("endpoint", "The platform's service",
                          cxxopts::value<std::string>(), "IP:PORT")(
        "key", "Key of the document",
        cxxopts::value<std::string>()->default_value("bramleyarch/config"),
        "KEY")("timeout-ms", "Time for each call",
               cxxopts::value<int>()->default_value("2000"), "N");
}

void add_admin_options(cxxopts::Options& options)
{
    options.add_options()("admin", "Admin addresses of the routers",
                          cxxopts::value<std::string>(), "IP:PORT,...")(
        "timeout-ms", "Time for each call",
        cxxopts::value<int>()->default_value("2000"), "N");
}

bool print_help(cxxopts::Options const& options,
                cxxopts::ParseResult const& given)
{
    if (given.count("help") == 0)
        return false;
    std::puts(options.help({""}).c_str());
    return true;
}

duration timeout_of(cxxopts::ParseResult const& given)
{
    return std::chrono::milliseconds{given["timeout-ms"].as<int>()};
}

std::optional<endpoint> platform_of(cxxopts::ParseResult const& given)
{
    auto const text =
        given.count("endpoint") ? given["endpoint"].as<std::string>() : "";
    auto const parsed = parse_endpoint(text);
    if (!parsed)
        fmt::print(stderr, "no platform (remedy: --endpoint IP:PORT)\n");
    return parsed;
}

std::vector<endpoint> admins_of(cxxopts::ParseResult const& given)
{
    std::vector<endpoint> admins;
    std::istringstream items{
        given.count("admin") ? given["admin"].as<std::string>() : ""};
    for (std::string item; std::getline(items, item, ',');)
    {
        auto const parsed = parse_endpoint(item);
        if (!parsed)
        {
            admins.clear();
            break;
        }
        admins.push_back(*parsed);
    }
    if (admins.empty())
        fmt::print(stderr, "no routers (remedy: --admin IP:PORT,IP:PORT,"
                           "...)\n");
    return admins;
}

} // namespace bramleyarch::control

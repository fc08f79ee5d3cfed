#include "control/subcommand.hpp"

#include "control/commands.hpp"
#include "control/load/command.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <array>
#include <cstdio>

namespace bramleyarch::control
{

namespace
{

constexpr std::array table{
    subcommand{"check", "FILE", "check a configuration document",
               "0 good, 2 faults", check_document_file},
    subcommand{"diff", "FILE [FILE]",
               "list the changes from one document, or the stored one, to "
               "another",
               "0 equal, 1 different or not reachable, 2 faults",
               diff_documents},
    subcommand{"submit", "FILE", "put a document into force",
               "0 stored, 1 not stored, 2 faults, 3 conflict, 4 can't be told",
               submit_document},
    subcommand{"drain", "", "stop one router after its requests in flight",
               "0 started, 1 not reachable, 2 bad options", drain_router},
    subcommand{"status", "", "show the fleet on one screen",
               "0 good, 2 bad options, 5 some routers did not answer",
               show_status},
    subcommand{"timeline", "", "merge and filter the events of all routers",
               "0 good, 2 bad options, 5 some routers did not answer",
               show_timeline},
    subcommand{"settings", "",
               "print the reference of the settings or of the document",
               "0 good, 2 bad options", print_reference},
    subcommand{"load", "", "send load and measure", "see load --help",
               load::run_command},
};

} // namespace

std::span<subcommand const> subcommands()
{
    return table;
}

std::string help_text()
{
    std::string text = "bramleyctl: check, submit and watch a fleet\n\n"
                       "Usage: bramleyctl SUBCOMMAND [OPTIONS]\n\n";
    for (auto const& row : table)
        text += fmt::format("  {:<9} {:<12} {}\n{:25}exit code: {}\n", row.name,
                            row.arguments, row.summary, "", row.exit_codes);
    text += "\nbramleyctl SUBCOMMAND --help lists the options.\n";
    return text;
}

int run_subcommand(int argc, char const* const* argv)
{
    std::string_view const name = argc > 1 ? argv[1] : "--help";
    if (name == "--help" || name == "help")
    {
        std::fputs(help_text().c_str(), stdout);
        return static_cast<int>(exit_code::good);
    }
    for (auto const& row : table)
    {
        if (row.name != name)
            continue;
        try
        {
            return row.run(argc - 1, argv + 1);
        }
        catch (cxxopts::exceptions::exception const& e)
        {
            fmt::print(stderr, "{} (remedy: see bramleyctl {} --help)\n",
                       e.what(), name);
            return static_cast<int>(exit_code::bad_input);
        }
    }
    fmt::print(stderr, "no subcommand \"{}\" (remedy: see bramleyctl --help)\n",
               name);
    return static_cast<int>(exit_code::bad_input);
}

} // namespace bramleyarch::control

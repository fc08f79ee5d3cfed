/// Subcommands of `bramleyctl` and the exit codes that they share.
#pragma once

#include "common/enum_names.hpp"

#include <span>
#include <string>
#include <string_view>

namespace bramleyarch::control
{

enum class exit_code : int
{
    good = 0,
    failed = 1,     ///< Not reachable, or: the documents differ.
    bad_input = 2,  ///< Bad options, or a document with faults.
    conflict = 3,   ///< Another version is stored than the one based on.
    uncertain = 4,  ///< Can't be told whether the submit took effect.
    incomplete = 5, ///< Some routers did not answer.
};

/// One row of the table of subcommands.
struct subcommand
{
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    std::string_view exit_codes;
    int (*run)(int argc, char const* const* argv);
};

/// All subcommands.
std::span<subcommand const> subcommands();

/// Text of `bramleyctl --help`.
std::string help_text();

/// Runs the subcommand that `argv[1]` names; returns the exit code.
int run_subcommand(int argc, char const* const* argv);

} // namespace bramleyarch::control

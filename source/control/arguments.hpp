/// Arguments that several subcommands share.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"

#include <cxxopts.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bramleyarch::control
{

/// Options with `--help` and the subcommand's row as description.
cxxopts::Options make_options(std::string const& name);

/// Adds `--endpoint`, `--key` and `--timeout-ms`.
void add_platform_options(cxxopts::Options& options);

/// Adds `--admin` and `--timeout-ms`.
void add_admin_options(cxxopts::Options& options);

/// Prints the help if it was asked for.
bool print_help(cxxopts::Options const& options,
                cxxopts::ParseResult const& given);

duration timeout_of(cxxopts::ParseResult const& given);

/// The platform's service; prints what is missing.
std::optional<endpoint> platform_of(cxxopts::ParseResult const& given);

/// Admin addresses; prints what is wrong and returns none.
std::vector<endpoint> admins_of(cxxopts::ParseResult const& given);

} // namespace bramleyarch::control

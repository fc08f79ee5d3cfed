/// The subcommand `bramleyctl load`.
#pragma once

namespace bramleyarch::load
{

/// Runs the subcommand; `argv[0]` is its name. Returns the exit code: 0 when
/// the run ended, 1 when it could not run, 2 for bad options.
int run_command(int argc, char const* const* argv);

} // namespace bramleyarch::load

/// Command line of the example programs.
#pragma once

#include "config/builder.hpp"

namespace examples
{

/// Applies `--address ID=IP:PORT` (any number) and `--base-port N`, which
/// puts all backend servers on 127.0.0.1 from port N on, in the order of the
/// document. Prints the help or a fault and returns its exit code when the
/// program is to end, -1 otherwise.
int apply_arguments(bramleyarch::config::draft& d, int argc,
                    char const* const* argv);

} // namespace examples

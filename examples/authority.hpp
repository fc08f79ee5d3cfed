/// The deployment of the Aspen Coulee Regional Cart Sanitation Authority.
#pragma once

#include "config/builder.hpp"

namespace examples
{

/// Three failure domains in prairie-west, 18 language model servers, 3
/// booking servers and 10 teams.
bramleyarch::config::draft authority();

} // namespace examples

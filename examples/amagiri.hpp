/// The deployment of Amagiri Filtration Labs.
#pragma once

#include "config/builder.hpp"

namespace examples
{

/// Four failure domains in Kyushu, 12 advisor model servers, 4 order servers
/// and 10 teams.
bramleyarch::config::draft amagiri();

} // namespace examples

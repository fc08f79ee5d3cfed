/// Load samples made of the stand-ins' state pages.
#pragma once

#include "config/model.hpp"
#include "control/load/result.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::load
{

/// Load in flight by server id.
using server_loads = std::map<std::string, std::uint32_t>;

/// Reads the servers of a state page into `loads`.
void read_loads(std::string_view page, server_loads& loads);

/// One sample per model service whose servers are all in `loads`. Servers
/// that are leaving, or whose domain is taken out, are left aside.
std::vector<load_sample> make_samples(config::document const& doc,
                                      server_loads const& loads, duration at);

} // namespace bramleyarch::load

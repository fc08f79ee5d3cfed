/// The load report that backend servers give under `/load`.
#pragma once

#include "common/error.hpp"
#include "services/messages/owner.hpp"

#include <string_view>

namespace bramleyarch::services
{

/// Parses `{"incarnation":n,"running":n,"waiting":n,"cold":bool,"age_ms":n}`;
/// members may be absent. Errors are `server_protocol`.
result<server_load_report> parse_load_report(std::string_view json);

} // namespace bramleyarch::services

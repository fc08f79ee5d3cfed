/// Parser for the load report that backend servers provide at `/load`.
#pragma once

#include "common/error.hpp"
#include "services/messages/owner.hpp"

#include <string_view>

namespace bramleyarch::services
{

/// Parses `{"incarnation":n,"running":n,"waiting":n,"cold":bool,"age_ms":n}`;
/// members may be absent. The `server` of the result is left empty. Fails with
/// `server_protocol` if `text` is not a JSON object or a member is not valid.
result<server_load_report> parse_load_report(std::string_view text);

} // namespace bramleyarch::services

/// Text form of endpoints: `10.0.0.1:8080`.
#pragma once

#include "common/ids.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bramleyarch
{

/// Parses `A.B.C.D:PORT` (IPv4, decimal, port 0 to 65535).
std::optional<endpoint> parse_endpoint(std::string_view text);

/// `address:port`.
std::string to_text(endpoint const& e);

} // namespace bramleyarch

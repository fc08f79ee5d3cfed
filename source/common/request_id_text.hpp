/// Text form of request ids, as callers and operators see them.
#pragma once

#include "common/error.hpp"
#include "common/ids.hpp"

#include <string>
#include <string_view>

namespace bramleyarch
{

/// Two hexadecimal numbers with a hyphen.
std::string to_text(request_id const& id);

/// Reads the text form; `invalid_request` when it is something else.
result<request_id> parse_request_id(std::string_view text);

} // namespace bramleyarch

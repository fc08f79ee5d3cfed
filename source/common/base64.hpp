/// Base64 (RFC 4648, section 4), the text form of keys and values.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bramleyarch
{

std::string to_base64(std::string_view bytes);

/// Nothing for text that is not padded base64.
std::optional<std::string> from_base64(std::string_view text);

} // namespace bramleyarch

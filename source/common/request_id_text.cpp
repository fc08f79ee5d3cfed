#include "common/request_id_text.hpp"

#include <charconv>
#include <cstdint>
#include <fmt/format.h>

namespace bramleyarch
{

namespace
{

bool parse_hex(std::string_view text, std::uint64_t& value)
{
    auto const* end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value, 16);
    return !text.empty() && parsed.ec == std::errc{} && parsed.ptr == end;
}

} // namespace

std::string to_text(request_id const& id)
{
    return fmt::format("{:x}-{:x}", id.entry, id.sequence);
}

result<request_id> parse_request_id(std::string_view text)
{
    auto const hyphen = text.find('-');
    request_id id;
    bool const good = hyphen != std::string_view::npos &&
                      parse_hex(text.substr(0, hyphen), id.entry) &&
                      parse_hex(text.substr(hyphen + 1), id.sequence);
    if (!good)
        return fail(error_kind::invalid_request,
                    "a request id is two hexadecimal numbers with a hyphen");
    return id;
}

} // namespace bramleyarch

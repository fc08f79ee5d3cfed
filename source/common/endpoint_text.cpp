#include "common/endpoint_text.hpp"

#include <charconv>

namespace bramleyarch
{

namespace
{

/// Decimal number without sign or leading zeros, at most `max`.
std::optional<unsigned> parse_decimal(std::string_view text, unsigned max)
{
    if (text.empty() || (text.size() > 1 && text.front() == '0'))
        return std::nullopt;
    unsigned value = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value > max)
        return std::nullopt;
    return value;
}

bool is_ipv4(std::string_view text)
{
    for (int part = 0; part < 4; ++part)
    {
        auto const dot = text.find('.');
        bool const last = part == 3;
        if (last != (dot == std::string_view::npos))
            return false;
        if (!parse_decimal(text.substr(0, dot), 255))
            return false;
        text.remove_prefix(last ? text.size() : dot + 1);
    }
    return true;
}

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto const address = text.substr(0, colon);
    auto const port = parse_decimal(text.substr(colon + 1), 65'535);
    if (!port || !is_ipv4(address))
        return std::nullopt;
    return endpoint{std::string{address}, static_cast<std::uint16_t>(*port)};
}

std::string to_text(endpoint const& e)
{
    return e.address + ':' + std::to_string(e.port);
}

} // namespace bramleyarch

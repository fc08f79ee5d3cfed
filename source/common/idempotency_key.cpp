#include "common/idempotency_key.hpp"

#include <cctype>
#include <cstddef>

namespace bramleyarch
{

namespace
{

constexpr std::size_t text_length = 36;
constexpr std::uint8_t version_7 = 0x70;
constexpr std::uint8_t variant_rfc = 0x80;

bool is_hyphen_position(std::size_t i)
{
    return i == 8 || i == 13 || i == 18 || i == 23;
}

int hex_value(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    int const lower = std::tolower(static_cast<unsigned char>(c));
    if (lower >= 'a' && lower <= 'f')
        return lower - 'a' + 10;
    return -1;
}

} // namespace

result<idempotency_key> parse_idempotency_key(std::string_view text)
{
    if (text.size() != text_length)
        return fail(error_kind::idempotency_key_invalid, "not 36 characters");
    idempotency_key key;
    std::size_t nibble = 0;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (is_hyphen_position(i))
        {
            if (text[i] != '-')
                return fail(error_kind::idempotency_key_invalid,
                            "hyphen expected");
            continue;
        }
        int const value = hex_value(text[i]);
        if (value < 0)
            return fail(error_kind::idempotency_key_invalid,
                        "hexadecimal digit expected");
        auto& byte = key.bytes[nibble / 2];
        byte = static_cast<std::uint8_t>(byte << 4 | value);
        ++nibble;
    }
    if ((key.bytes[6] & 0xf0) != version_7)
        return fail(error_kind::idempotency_key_invalid, "not version 7");
    if ((key.bytes[8] & 0xc0) != variant_rfc)
        return fail(error_kind::idempotency_key_invalid,
                    "not the RFC 9562 variant");
    return key;
}

std::string to_text(idempotency_key const& key)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(text_length);
    for (auto const byte : key.bytes)
    {
        if (is_hyphen_position(text.size()))
            text.push_back('-');
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 0x0f]);
    }
    return text;
}

wall_time created_at(idempotency_key const& key)
{
    std::int64_t ms = 0;
    for (std::size_t i = 0; i < 6; ++i)
        ms = ms << 8 | key.bytes[i];
    return wall_time{std::chrono::milliseconds{ms}};
}

idempotency_key make_idempotency_key(wall_time created, std::uint64_t high,
                                     std::uint64_t low)
{
    idempotency_key key;
    auto ms = static_cast<std::uint64_t>(to_ms(created.time_since_epoch()));
    for (std::size_t i = 6; i-- > 0; ms >>= 8)
        key.bytes[i] = static_cast<std::uint8_t>(ms);
    key.bytes[6] = static_cast<std::uint8_t>(version_7 | (high >> 8 & 0x0f));
    key.bytes[7] = static_cast<std::uint8_t>(high);
    for (std::size_t i = 16; i-- > 8; low >>= 8)
        key.bytes[i] = static_cast<std::uint8_t>(low);
    key.bytes[8] =
        static_cast<std::uint8_t>(variant_rfc | (key.bytes[8] & 0x3f));
    return key;
}

} // namespace bramleyarch

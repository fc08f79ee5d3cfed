#include "common/base64.hpp"

#include <algorithm>
#include <array>
#include <openssl/evp.h>

namespace bramleyarch
{

namespace
{

unsigned char* writable(std::string& text)
{
    return reinterpret_cast<unsigned char*>(text.data());
}

unsigned char const* readable(std::string_view text)
{
    return reinterpret_cast<unsigned char const*>(text.data());
}

/// Which bytes are digits of base64. A search in the alphabet for each byte of
/// a large value takes as long as decoding it.
constexpr auto is_digit = []
{
    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                          "abcdefghijklmnopqrstuvwxyz"
                                          "0123456789+/";
    std::array<bool, 256> table{};
    for (char const digit : alphabet)
        table[static_cast<unsigned char>(digit)] = true;
    return table;
}();

/// Number of '=' at the end; -1 when the text is no base64.
int padding_of(std::string_view text)
{
    if (text.size() % 4 != 0)
        return -1;
    auto const end = text.find_last_not_of('=');
    auto const used = end == std::string_view::npos ? 0 : end + 1;
    auto const padding = text.size() - used;
    if (padding > 2 ||
        !std::ranges::all_of(
            text.substr(0, used), [](char const byte)
            { return is_digit[static_cast<unsigned char>(byte)]; }))
        return -1;
    return static_cast<int>(padding);
}

} // namespace

std::string to_base64(std::string_view bytes)
{
    // The encoder ends its text with a zero byte.
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    int const size = EVP_EncodeBlock(writable(text), readable(bytes),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    if (text.empty())
        return std::string{};
    int const padding = padding_of(text);
    if (padding < 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    int const size = EVP_DecodeBlock(writable(bytes), readable(text),
                                     static_cast<int>(text.size()));
    if (size < padding)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(size - padding));
    return bytes;
}

} // namespace bramleyarch

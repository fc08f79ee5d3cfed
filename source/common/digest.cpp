#include "common/digest.hpp"

#include <array>
#include <openssl/sha.h>

namespace bramleyarch
{

namespace
{

using sha256_bytes = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

sha256_bytes sha256(std::string_view data)
{
    sha256_bytes bytes{};
    SHA256(reinterpret_cast<unsigned char const*>(data.data()), data.size(),
           bytes.data());
    return bytes;
}

} // namespace

std::string sha256_hex(std::string_view data)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (auto const byte : sha256(data))
    {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 0x0f]);
    }
    return text;
}

std::uint64_t fingerprint(std::string_view data)
{
    auto const bytes = sha256(data);
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < 8; ++i)
        value = value << 8 | bytes[i];
    return value;
}

} // namespace bramleyarch

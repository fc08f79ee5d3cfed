/// Digests and hashes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bramleyarch
{

/// SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view data);

/// First 64 bits of the SHA-256 of `data`; the same on every machine.
std::uint64_t fingerprint(std::string_view data);

/// Mixes two 64-bit values (the finaliser of SplitMix64).
constexpr std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t z = a ^ (b + 0x9e3779b97f4a7c15U + (a << 6) + (a >> 2));
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31);
}

/// FNV-1a, 64 bits: fast hash of a short name.
constexpr std::uint64_t name_hash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (char const c : text)
    {
        hash ^= static_cast<std::uint8_t>(c);
        hash *= 0x100000001b3U;
    }
    return hash;
}

} // namespace bramleyarch

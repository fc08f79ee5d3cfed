/// Idempotency keys: UUIDs of version 7 (RFC 9562, section 5.7).
#pragma once

#include "common/error.hpp"
#include "common/time.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bramleyarch
{

/// A UUIDv7. The first 48 bits are the creation time in Unix milliseconds.
struct idempotency_key
{
    std::array<std::uint8_t, 16> bytes{};

    auto operator<=>(idempotency_key const&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bytes);
    }
};

/// Parses the 36-character text form; errors are `idempotency_key_invalid`.
result<idempotency_key> parse_idempotency_key(std::string_view text);

/// Lower-case text form with hyphens.
std::string to_text(idempotency_key const& key);

/// Creation time that the key carries.
wall_time created_at(idempotency_key const& key);

/// Builds a key from its time and 74 random bits (the rest is ignored).
idempotency_key make_idempotency_key(wall_time created, std::uint64_t high,
                                     std::uint64_t low);

} // namespace bramleyarch

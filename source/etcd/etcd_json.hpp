/// Accessors for the JSON encoding of the etcd v3 API. It writes 64-bit
/// integers as strings, encodes bytes in base64 and omits fields that have
/// their default value.
#pragma once

#include "etcd/key_value.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bramleyarch::etcd
{

/// Parses a JSON object. Returns a discarded value if `text` is malformed or
/// is not an object.
nlohmann::json parse_object(std::string_view text);

/// Returns the field `name`, or null if it is missing or `from` is not an
/// object.
nlohmann::json const& field(nlohmann::json const& from, char const* name);

/// Returns an integer field that is written as a number or as a string, or 0
/// if it is missing.
std::int64_t integer_of(nlohmann::json const& from, char const* name);

/// Decodes a base64 field. Returns an empty string if it is missing or
/// malformed.
std::string bytes_of(nlohmann::json const& from, char const* name);

/// Returns whether the field `name` is the boolean `true`.
bool flag_of(nlohmann::json const& from, char const* name);

/// Decodes a key-value pair of a range response or a watch event.
kv_entry entry_of(nlohmann::json const& from);

} // namespace bramleyarch::etcd

/// Values of the etcd v3 JSON protocol: 64-bit integers as strings, bytes in
/// base64, and fields with their default value left out.
#pragma once

#include "etcd/key_value.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bramleyarch::etcd
{

/// Parses an object; a discarded value for anything else.
nlohmann::json parse_object(std::string_view text);

/// Field `name`; null when there is none or `from` is no object.
nlohmann::json const& field(nlohmann::json const& from, char const* name);

/// Integer field; 0 when there is none.
std::int64_t integer_of(nlohmann::json const& from, char const* name);

/// Bytes of a base64 field; empty when there is none.
std::string bytes_of(nlohmann::json const& from, char const* name);

/// True only for a field that is `true`.
bool flag_of(nlohmann::json const& from, char const* name);

/// A key-value pair of a range or a watch.
kv_entry entry_of(nlohmann::json const& from);

} // namespace bramleyarch::etcd

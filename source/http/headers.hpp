/// Rules for header fields, and the text of a message's head.
#pragma once

#include "common/request.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::http
{

/// Name is a token and value has no control character, so neither can start
/// another header.
bool is_valid(header_field const& header);

/// Headers that belong to one connection and are not passed on.
bool is_hop_by_hop(std::string_view name);

/// Removes the headers of one connection, those that `connection` names too.
/// The stated length stays.
void keep_end_to_end(std::vector<header_field>& headers);

/// Appends "name: value" and a line end.
void append_header(std::string& to, std::string_view name,
                   std::string_view value);

/// Lower-case copy of an ASCII name.
std::string to_lower(std::string_view name);

/// Standard reason phrase; "Status" for one that has none.
std::string_view reason_phrase(int status);

} // namespace bramleyarch::http

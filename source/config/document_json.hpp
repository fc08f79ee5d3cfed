/// Canonical JSON of configuration documents.
#pragma once

#include "config/fault.hpp"
#include "config/model.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::config
{

/// A parsed document; meaningful only when `faults` is empty.
struct parsed_document
{
    document value;
    std::vector<fault> faults;
};

/// Reads the form of a document: JSON, known fields, types and ranges. All
/// faults are given, up to `max_faults`. The relations between its parts are
/// checked by `check_document`.
parsed_document parse_document(std::string_view json);

/// Most faults that are reported at once.
constexpr std::size_t max_faults = 200;

/// The document on one line: keys sorted, every field written. Equal
/// documents have equal text.
std::string to_canonical_json(document const& doc);

/// The canonical form with line breaks and an indent of two spaces.
std::string to_pretty_json(document const& doc);

/// SHA-256 of the canonical JSON, in hexadecimal digits.
std::string digest_of(document const& doc);

/// Checks types and ranges of a document built in code, as `parse_document`
/// does.
std::vector<fault> check_form(document const& doc);

} // namespace bramleyarch::config

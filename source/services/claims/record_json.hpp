/// JSON text of claim records in the key-value service.
#pragma once

#include "decisions/claims.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bramleyarch::services
{

/// Returns the record as JSON. Equal records give equal bytes, since the
/// compare-and-swap compares the bytes.
std::string record_to_json(decisions::claim_record const& record);

/// Parses a record. Returns std::nullopt if the text is not a claim record.
std::optional<decisions::claim_record> record_from_json(std::string_view text);

} // namespace bramleyarch::services

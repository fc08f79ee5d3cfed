/// JSON form of the time line, as the admin page shows it.
#pragma once

#include "common/error.hpp"
#include "common/event.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::services
{

/// The events of one router.
struct router_timeline
{
    router_id router;
    domain_id domain;
    std::uint64_t dropped = 0; ///< Events that the ring has lost.
    std::vector<event> events; ///< In hybrid time order.
};

/// Text: {"router","domain","dropped","events":[{"ms","logical","kind",
/// "request","server","team","revision","cause"}]}; empty ids are left out.
std::string timeline_to_json(router_timeline const& line);

/// Reads that text; unknown fields are ignored, other faults are
/// `invalid_request`.
result<router_timeline> timeline_from_json(std::string_view text);

} // namespace bramleyarch::services

/// Position in an event stream, so that a stream whose server was lost can go
/// on at another one without a gap, a repeat or half an event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleyarch::decisions
{

/// Text of the events that came and were not passed on is bounded by the
/// longest single event.
struct event_cursor
{
    std::string partial;                  ///< Bytes of an unfinished event.
    std::optional<std::uint64_t> last_id; ///< Of the last whole event.
};

/// Adds bytes of the stream and returns the whole events among what is held,
/// without those whose id is not above the last one.
std::string extract_events(event_cursor& cursor, std::string_view bytes);

/// The server was lost: forgets half an event.
void discard_partial(event_cursor& cursor);

} // namespace bramleyarch::decisions

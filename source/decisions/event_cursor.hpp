/// Position in an event stream.
///
/// A stream whose server was lost continues at another server without a gap,
/// a repeated event or a partial event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleyarch::decisions
{

/// Position after the last complete event of a stream.
struct event_cursor
{
    /// Bytes of an incomplete event. Their number is not limited here: the user
    /// of the cursor gives up an event that is too long.
    std::string partial;
    std::optional<std::uint64_t> last_id; ///< Id of the last complete event.
    /// The bytes passed by `follow_events` end inside an event.
    bool inside_event = false;
    /// The last byte passed by `follow_events` ends a line.
    bool after_line_end = false;
};

/// Follows a stream whose bytes are forwarded as they are, so that
/// `is_inside_event` knows whether they end with a whole event.
void follow_events(event_cursor& cursor, std::string_view bytes);

/// Returns whether the stream has ended inside an event, so that it was broken
/// off.
bool is_inside_event(event_cursor const& cursor);

/// Appends bytes of the stream and removes the complete events from the
/// cursor. Returns these events, except those whose id is not above the last
/// one: a server that continues a stream may repeat events.
std::string extract_events(event_cursor& cursor, std::string_view bytes);

/// Discards an incomplete event whose server was lost.
void discard_partial(event_cursor& cursor);

} // namespace bramleyarch::decisions

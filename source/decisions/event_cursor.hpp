/// Position in an event stream.
///
/// A stream whose server was lost continues at another server without a gap,
/// a repeated event or a partial event.
#pragma once

#include "common/enum_names.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bramleyarch::decisions
{

/// Whether the bytes of another server go on with a stream.
enum class continuation
{
    none,      ///< The bytes come from the stream's first server.
    awaited,   ///< No event after the last one has been seen yet.
    confirmed, ///< The events go on after the last one.
    restarted, ///< The stream starts before the last event: another run.
    foreign,   ///< The bytes are no events of this stream.
};

constexpr auto enum_names(continuation)
{
    using row = enum_name<continuation>;
    return std::array{row{continuation::none, "none"},
                      row{continuation::awaited, "awaited"},
                      row{continuation::confirmed, "confirmed"},
                      row{continuation::restarted, "restarted"},
                      row{continuation::foreign, "foreign"}};
}

/// Position in the lines of a stream. A line ends with LF, CR or CR LF; an
/// event ends with an empty line.
struct event_lines
{
    bool in_event = false; ///< The event has a line that is not empty.
    bool at_line_start = true;
    bool after_cr = false; ///< An LF that follows belongs to the same end.
};

/// Position after the last complete event of a stream.
struct event_cursor
{
    /// Bytes of an incomplete event. Their number is not limited here: the user
    /// of the cursor gives up an event that is too long.
    std::string partial;
    event_lines lines;                    ///< After the last byte.
    std::optional<std::uint64_t> last_id; ///< Id of the last complete event.
    continuation continued = continuation::none;
};

/// Follows a stream whose bytes are forwarded as they are, so that
/// `is_inside_event` knows whether they end with a whole event.
void follow_events(event_cursor& cursor, std::string_view bytes);

/// Returns whether the stream has ended inside an event, so that it was broken
/// off.
bool is_inside_event(event_cursor const& cursor);

/// Appends bytes of the stream and removes the complete events from the
/// cursor. Returns these events, except those whose id is not above the last
/// one: a server that continues a stream may repeat events. Returns none from
/// the point on where `continued` shows that the bytes do not continue it.
std::string extract_events(event_cursor& cursor, std::string_view bytes);

/// Prepares for the bytes of another server, which has to go on after the last
/// complete event. Discards an incomplete event of the server before.
void begin_continuation(event_cursor& cursor);

/// Returns whether the bytes since `begin_continuation` have shown that they do
/// not go on with the stream.
bool is_other_stream(event_cursor const& cursor);

} // namespace bramleyarch::decisions

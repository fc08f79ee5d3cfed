#include "decisions/event_cursor.hpp"

#include <algorithm>
#include <charconv>

namespace bramleyarch::decisions
{

namespace
{

constexpr std::string_view line_ends = "\r\n";

/// Moves past a byte. Returns whether an event ends with it.
bool pass_byte(event_lines& lines, char byte)
{
    bool const belongs_to_cr = byte == '\n' && lines.after_cr;
    lines.after_cr = byte == '\r';
    if (belongs_to_cr)
        return false;
    bool const is_line_end = byte == '\r' || byte == '\n';
    bool const is_event_end =
        is_line_end && lines.at_line_start && lines.in_event;
    lines.at_line_start = is_line_end;
    lines.in_event = !is_event_end && (lines.in_event || !is_line_end);
    return is_event_end;
}

/// Removes the first line of a text with its end and returns it without.
std::string_view take_line(std::string_view& text)
{
    auto const end = text.find_first_of(line_ends);
    auto const line = text.substr(0, end);
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    return line;
}

/// Returns the id of an event, or std::nullopt if it has none.
std::optional<std::uint64_t> event_id(std::string_view event)
{
    constexpr std::string_view name = "id:";
    while (!event.empty())
    {
        auto line = take_line(event);
        if (!line.starts_with(name))
            continue;
        line.remove_prefix(name.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        auto const parsed =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec == std::errc{})
            return id;
    }
    return std::nullopt;
}

/// Returns whether no line of an event is anything but empty or a comment.
bool is_comment(std::string_view event)
{
    while (!event.empty())
    {
        auto const line = take_line(event);
        if (!line.empty() && !line.starts_with(':'))
            return false;
    }
    return true;
}

/// Determines from an event of another server whether it continues the stream.
void check_continuation(event_cursor& cursor, std::string_view event,
                        std::optional<std::uint64_t> id)
{
    if (cursor.continued != continuation::awaited)
        return;
    if (!id)
        cursor.continued =
            is_comment(event) ? continuation::awaited : continuation::foreign;
    else if (*id < *cursor.last_id)
        cursor.continued = continuation::restarted;
    else if (*id > *cursor.last_id)
        cursor.continued = continuation::confirmed;
}

} // namespace

void follow_events(event_cursor& cursor, std::string_view bytes)
{
    for (char const byte : bytes)
        pass_byte(cursor.lines, byte);
}

bool is_inside_event(event_cursor const& cursor)
{
    return cursor.lines.in_event;
}

std::string extract_events(event_cursor& cursor, std::string_view bytes)
{
    std::string complete;
    std::size_t begin = 0;
    auto at = cursor.partial.size();
    cursor.partial.append(bytes);
    while (at < cursor.partial.size())
    {
        if (!pass_byte(cursor.lines, cursor.partial[at++]))
            continue;
        // The end of the line goes with its event where it is here already.
        if (cursor.lines.after_cr && at < cursor.partial.size() &&
            cursor.partial[at] == '\n')
            pass_byte(cursor.lines, cursor.partial[at++]);
        auto const event =
            std::string_view{cursor.partial}.substr(begin, at - begin);
        begin = at;
        auto const id = event_id(event);
        check_continuation(cursor, event, id);
        if (is_other_stream(cursor))
            break;
        if (cursor.continued == continuation::awaited ||
            (id && cursor.last_id && *id <= *cursor.last_id))
            continue;
        if (id)
            cursor.last_id = id;
        complete.append(event);
    }
    cursor.partial.erase(0, begin);
    return complete;
}

void begin_continuation(event_cursor& cursor)
{
    cursor.partial.clear();
    cursor.lines = {};
    cursor.continued =
        cursor.last_id ? continuation::awaited : continuation::none;
}

bool is_other_stream(event_cursor const& cursor)
{
    return cursor.continued == continuation::restarted ||
           cursor.continued == continuation::foreign;
}

} // namespace bramleyarch::decisions

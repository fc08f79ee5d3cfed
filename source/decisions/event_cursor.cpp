#include "decisions/event_cursor.hpp"

#include <charconv>

namespace bramleyarch::decisions
{

namespace
{

constexpr std::string_view event_end = "\n\n";

/// Returns the id of an event, or std::nullopt if it has none.
std::optional<std::uint64_t> event_id(std::string_view event)
{
    constexpr std::string_view name = "id:";
    while (!event.empty())
    {
        auto const line_end = event.find('\n');
        auto line = event.substr(0, line_end);
        event.remove_prefix(line_end == std::string_view::npos ? event.size()
                                                               : line_end + 1);
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

bool is_comment(std::string_view event)
{
    while (!event.empty() && event.front() == ':')
    {
        auto const line_end = event.find('\n');
        event.remove_prefix(line_end == std::string_view::npos ? event.size()
                                                               : line_end + 1);
    }
    return event.empty() || event == "\n";
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
    {
        if (byte == '\r')
            continue;
        bool const line_end = byte == '\n';
        cursor.inside_event =
            !line_end || (cursor.inside_event && !cursor.after_line_end);
        cursor.after_line_end = line_end;
    }
}

bool is_inside_event(event_cursor const& cursor)
{
    return cursor.inside_event || !cursor.partial.empty();
}

std::string extract_events(event_cursor& cursor, std::string_view bytes)
{
    cursor.partial.append(bytes);
    std::string complete;
    std::size_t begin = 0;
    for (auto end = cursor.partial.find(event_end, cursor.searched);
         end != std::string::npos; end = cursor.partial.find(event_end, begin))
    {
        auto const next = end + event_end.size();
        auto const event =
            std::string_view{cursor.partial}.substr(begin, next - begin);
        begin = next;
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
    // The last byte may be the first one of an end.
    cursor.searched = cursor.partial.size() - (cursor.partial.empty() ? 0 : 1);
    return complete;
}

void begin_continuation(event_cursor& cursor)
{
    cursor.partial.clear();
    cursor.searched = 0;
    cursor.continued =
        cursor.last_id ? continuation::awaited : continuation::none;
}

bool is_other_stream(event_cursor const& cursor)
{
    return cursor.continued == continuation::restarted ||
           cursor.continued == continuation::foreign;
}

} // namespace bramleyarch::decisions

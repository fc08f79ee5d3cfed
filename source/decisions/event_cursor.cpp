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
    for (auto end = cursor.partial.find(event_end); end != std::string::npos;
         end = cursor.partial.find(event_end, begin))
    {
        auto const next = end + event_end.size();
        auto const event =
            std::string_view{cursor.partial}.substr(begin, next - begin);
        begin = next;
        auto const id = event_id(event);
        if (id && cursor.last_id && *id <= *cursor.last_id)
            continue;
        if (id)
            cursor.last_id = id;
        complete.append(event);
    }
    cursor.partial.erase(0, begin);
    return complete;
}

void discard_partial(event_cursor& cursor)
{
    cursor.partial.clear();
}

} // namespace bramleyarch::decisions

#include "etcd/watch_decoder.hpp"

#include "etcd/etcd_json.hpp"

#include <nlohmann/json.hpp>

#include <optional>

namespace bramleyarch::etcd
{

namespace
{

using nlohmann::json;

std::optional<watch_message> decode_line(std::string_view line)
{
    auto const body = parse_object(line);
    auto const& result = field(body, "result");
    if (!result.is_object())
        return std::nullopt;
    watch_message message;
    message.revision = integer_of(field(result, "header"), "revision");
    message.created = flag_of(result, "created");
    message.canceled = flag_of(result, "canceled");
    message.compact_revision = integer_of(result, "compact_revision");
    auto const& events = field(result, "events");
    if (!events.is_array())
        return message;
    for (auto const& event : events)
    {
        auto entry = entry_of(field(event, "kv"));
        if (field(event, "type") == "DELETE")
            entry.create_revision = 0;
        message.entries.push_back(std::move(entry));
    }
    return message;
}

} // namespace

std::vector<watch_message> decode(watch_decoder& decoder,
                                  std::string_view bytes)
{
    std::vector<watch_message> messages;
    if (decoder.broken)
        return messages;
    decoder.buffer.append(bytes);
    std::size_t start = 0;
    for (auto end = decoder.buffer.find('\n'); end != std::string::npos;
         end = decoder.buffer.find('\n', start))
    {
        auto const line =
            std::string_view{decoder.buffer}.substr(start, end - start);
        start = end + 1;
        if (line.find_first_not_of(" \r") == std::string_view::npos)
            continue;
        auto message = decode_line(line);
        if (!message)
        {
            decoder.broken = true;
            break;
        }
        messages.push_back(std::move(*message));
    }
    decoder.buffer.erase(0, start);
    if (decoder.buffer.size() > max_watch_line_bytes)
        decoder.broken = true;
    return messages;
}

} // namespace bramleyarch::etcd

#include "etcd/instance_record.hpp"

#include "common/endpoint_text.hpp"
#include "etcd/etcd_json.hpp"

#include <nlohmann/json.hpp>

namespace bramleyarch::etcd
{

namespace
{

using nlohmann::json;

std::string text_of(json const& from, char const* name)
{
    auto const& value = field(from, name);
    return value.is_string() ? value.get<std::string>() : std::string{};
}

endpoint endpoint_of(json const& from, char const* name)
{
    return parse_endpoint(text_of(from, name)).value_or(endpoint{});
}

} // namespace

std::string encode_instance(instance_record const& record)
{
    json const value{{"domain", record.domain.value},
                     {"heartbeat", to_text(record.heartbeat)},
                     {"link", to_text(record.link)},
                     {"admin", to_text(record.admin)},
                     {"state", record.leaving ? "leaving" : "live"}};
    return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

std::optional<instance_record> decode_instance(std::string_view prefix,
                                               kv_entry const& entry)
{
    auto const value = parse_object(entry.value);
    if (value.is_discarded() || !entry.key.starts_with(prefix))
        return std::nullopt;
    instance_record record{.id = {entry.key.substr(prefix.size())},
                           .domain = {text_of(value, "domain")},
                           .heartbeat = endpoint_of(value, "heartbeat"),
                           .link = endpoint_of(value, "link"),
                           .admin = endpoint_of(value, "admin"),
                           .leaving = text_of(value, "state") == "leaving"};
    if (record.id.empty() || record.domain.empty() ||
        record.heartbeat.port == 0)
        return std::nullopt;
    return record;
}

} // namespace bramleyarch::etcd

#include "etcd/etcd_json.hpp"

#include "common/base64.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace bramleyarch::etcd
{

using nlohmann::json;

json parse_object(std::string_view text)
{
    auto value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return json(json::value_t::discarded);
    return value;
}

json const& field(json const& from, char const* name)
{
    static json const null_value;
    if (!from.is_object())
        return null_value;
    auto const found = from.find(name);
    return found == from.end() ? null_value : *found;
}

std::int64_t integer_of(json const& from, char const* name)
{
    auto const& value = field(from, name);
    if (value.is_number_integer())
        return value.get<std::int64_t>();
    if (!value.is_string())
        return 0;
    auto const& text = value.get_ref<std::string const&>();
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string bytes_of(json const& from, char const* name)
{
    auto const& value = field(from, name);
    if (!value.is_string())
        return {};
    return from_base64(value.get_ref<std::string const&>())
        .value_or(std::string{});
}

bool flag_of(json const& from, char const* name)
{
    auto const& value = field(from, name);
    return value.is_boolean() && value.get<bool>();
}

kv_entry entry_of(json const& from)
{
    return {.key = bytes_of(from, "key"),
            .value = bytes_of(from, "value"),
            .create_revision = integer_of(from, "create_revision"),
            .mod_revision = integer_of(from, "mod_revision"),
            .version = integer_of(from, "version")};
}

} // namespace bramleyarch::etcd

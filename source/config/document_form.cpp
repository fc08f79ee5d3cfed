#include "config/document_form.hpp"

#include "config/value_forms.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bramleyarch::config
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_shown_bytes = 80;

/// The value as text, shortened, for a message.
std::string shown(json const& value)
{
    auto text =
        value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > max_shown_bytes)
        text = text.substr(0, max_shown_bytes) + "...";
    return text;
}

void check_integer(json const& value, field_row const& row,
                   std::string const& path, std::vector<fault>& faults)
{
    if (!value.is_number_integer())
    {
        faults.push_back(
            {path, "is not a whole number: " + shown(value), form_remedy(row)});
        return;
    }
    bool const negative = !value.is_number_unsigned() && value < 0;
    auto const number = value.get<std::uint64_t>();
    if (negative || number < row.min || number > row.max)
        faults.push_back(
            {path, "is out of range: " + shown(value), form_remedy(row)});
}

void check_text(json const& value, field_row const& row,
                std::string const& path, std::vector<fault>& faults)
{
    if (!value.is_string())
    {
        faults.push_back(
            {path, "is not a string: " + shown(value), form_remedy(row)});
        return;
    }
    if (!has_form(row, value.get_ref<std::string const&>()))
        faults.push_back({path,
                          fmt::format("is not a valid {}: {}",
                                      to_name(row.type), shown(value)),
                          form_remedy(row)});
}

void check_value(json const& value, field_row const& row,
                 std::string const& path, std::vector<fault>& faults)
{
    if (row.type == value_type::object)
        check_object(value, row.child, path, faults);
    else if (row.type == value_type::integer)
        check_integer(value, row, path, faults);
    else
        check_text(value, row, path, faults);
}

void check_list(json const& value, field_row const& row,
                std::string const& path, std::vector<fault>& faults)
{
    if (!value.is_array())
    {
        faults.push_back(
            {path, "is not an array: " + shown(value), "write [ ... ]"});
        return;
    }
    if (value.size() < row.min || value.size() > row.max)
    {
        faults.push_back(
            {path, fmt::format("has {} items", value.size()),
             fmt::format("use from {} to {} items", row.min, row.max)});
        return;
    }
    for (std::size_t i = 0; i < value.size(); ++i)
        check_value(value[i], row, fmt::format("{}[{}]", path, i), faults);
}

void check_known(json const& value, object_kind kind, std::string const& path,
                 std::vector<fault>& faults)
{
    for (auto const& [name, item] : value.items())
    {
        auto const* const row = find_field(kind, name);
        auto const item_path = path + '.' + name;
        if (!row)
            faults.push_back(
                {item_path, fmt::format("{} has no such field", to_name(kind)),
                 "remove it or correct its name"});
        else if (row->list)
            check_list(item, *row, item_path, faults);
        else
            check_value(item, *row, item_path, faults);
    }
}

} // namespace

void check_object(json const& value, object_kind kind, std::string const& path,
                  std::vector<fault>& faults)
{
    if (!value.is_object())
    {
        faults.push_back(
            {path, "is not an object: " + shown(value),
             fmt::format("write a {} as {{ ... }}", to_name(kind))});
        return;
    }
    check_known(value, kind, path, faults);
    for (auto const& row : document_fields())
    {
        if (row.owner == kind && row.required && !value.contains(row.name))
            faults.push_back({path + '.' + std::string{row.name}, "is missing",
                              fmt::format("add it: {}", row.text)});
    }
}

} // namespace bramleyarch::config

#include "config/reference.hpp"

#include "config/schema.hpp"
#include "config/settings_table.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace bramleyarch::config
{

namespace
{

constexpr auto table_head = "| type | range | unit | default | meaning |\n"
                            "| --- | --- | --- | --- | --- | --- |\n";

std::string code(std::string_view text)
{
    return text.empty() ? std::string{} : fmt::format("`{}`", text);
}

std::string default_of(bool required, std::string_view text)
{
    return required ? "required" : text.empty() ? "empty" : code(text);
}

std::string range_of(setting_row const& row)
{
    if (row.type == setting_type::choice)
        return fmt::format("`{}`", fmt::join(row.choices(), "`, `"));
    if (row.type == setting_type::integer)
        return fmt::format("{} to {}", row.min, row.max);
    return {};
}

std::string range_of(field_row const& row)
{
    if (row.type == value_type::choice)
        return fmt::format("`{}`", fmt::join(row.choices(), "`, `"));
    if (row.list)
        return fmt::format("{} to {} items", row.min, row.max);
    if (row.type == value_type::integer)
        return fmt::format("{} to {}", row.min, row.max);
    return {};
}

std::string type_of(field_row const& row)
{
    auto const name =
        row.type == value_type::object ? to_name(row.child) : to_name(row.type);
    return fmt::format("{}{}", row.list ? "list of " : "", name);
}

} // namespace

std::string settings_reference()
{
    std::string text;
    for (auto const& part : enum_names(setting_section{}))
    {
        text += fmt::format("{}### [{}]\n\n| key {}", text.empty() ? "" : "\n",
                            part.name, table_head);
        for (auto const& row : setting_rows())
        {
            if (row.section == part.value)
                text += fmt::format(
                    "| `{}` | {} | {} | {} | {} | {} |\n", row.key,
                    to_name(row.type), range_of(row), row.unit,
                    default_of(row.required, row.default_text), row.text);
        }
    }
    return text;
}

std::string document_reference()
{
    std::string text;
    for (auto const& part : enum_names(object_kind{}))
    {
        text += fmt::format("{}### {}\n\n| field {}", text.empty() ? "" : "\n",
                            part.name, table_head);
        for (auto const& row : document_fields())
        {
            if (row.owner == part.value)
                text += fmt::format(
                    "| `{}` | {} | {} | {} | {} | {} |\n", row.name,
                    type_of(row), range_of(row), row.unit,
                    default_of(row.required, row.default_text), row.text);
        }
    }
    return text;
}

} // namespace bramleyarch::config

#include "config/value_forms.hpp"

#include "common/endpoint_text.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace bramleyarch::config
{

namespace
{

constexpr std::size_t max_identifier_bytes = 64;
constexpr std::size_t max_model_name_bytes = 128;
constexpr std::size_t max_path_bytes = 256;
constexpr std::size_t max_method_bytes = 16;
constexpr std::size_t digest_digits = 64;

bool is_upper(char c)
{
    return c >= 'A' && c <= 'Z';
}

bool is_alphanumeric(char c)
{
    return is_upper(c) || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool is_model_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_model_name_bytes &&
           std::ranges::all_of(text, is_printable);
}

bool is_path(std::string_view text)
{
    if (text.empty() || text.size() > max_path_bytes || text.front() != '/')
        return false;
    auto const allowed = [](char c)
    { return is_printable(c) && c != '?' && c != '#'; };
    return std::ranges::all_of(text, allowed);
}

bool is_method(std::string_view text)
{
    if (text == "*")
        return true;
    return !text.empty() && text.size() <= max_method_bytes &&
           std::ranges::all_of(text, is_upper);
}

bool is_digest(std::string_view text)
{
    auto const is_hex = [](char c)
    { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == digest_digits && std::ranges::all_of(text, is_hex);
}

bool is_server_address(std::string_view text)
{
    auto const parsed = parse_endpoint(text);
    return parsed && parsed->port != 0;
}

} // namespace

bool is_printable(char c)
{
    return c > ' ' && c <= '~';
}

bool is_identifier(std::string_view text)
{
    if (text.empty() || text.size() > max_identifier_bytes)
        return false;
    auto const allowed = [](char c)
    { return is_alphanumeric(c) || c == '.' || c == '_' || c == '-'; };
    return is_alphanumeric(text.front()) && std::ranges::all_of(text, allowed);
}

bool has_form(field_row const& row, std::string_view text)
{
    switch (row.type)
    {
    case value_type::identifier:
        return is_identifier(text);
    case value_type::optional_identifier:
        return text.empty() || is_identifier(text);
    case value_type::model_name:
        return is_model_name(text);
    case value_type::path:
        return is_path(text);
    case value_type::method:
        return is_method(text);
    case value_type::digest:
        return is_digest(text);
    case value_type::address:
        return is_server_address(text);
    case value_type::choice:
        return std::ranges::count(row.choices(), text) == 1;
    case value_type::integer:
    case value_type::object:
        return false;
    }
    return false;
}

std::string form_remedy(field_row const& row)
{
    switch (row.type)
    {
    case value_type::identifier:
        return fmt::format("use 1 to {} letters, digits, '.', '_' or '-', "
                           "starting with a letter or digit",
                           max_identifier_bytes);
    case value_type::optional_identifier:
        return "leave it empty; a submit sets it";
    case value_type::model_name:
        return fmt::format("use 1 to {} printable characters without spaces",
                           max_model_name_bytes);
    case value_type::path:
        return fmt::format("use a path of at most {} characters that begins "
                           "with '/' and has no space, '?' or '#'",
                           max_path_bytes);
    case value_type::method:
        return "use an HTTP method in upper case, or \"*\"";
    case value_type::digest:
        return "use the SHA-256 of the key as 64 lower-case hexadecimal "
               "digits";
    case value_type::address:
        return "use an IPv4 address and a port, like \"10.0.0.1:8080\"";
    case value_type::integer:
        return fmt::format("use a whole number from {} to {}", row.min,
                           row.max);
    case value_type::choice:
        return fmt::format("use one of: {}", fmt::join(row.choices(), ", "));
    case value_type::object:
        return fmt::format("use an object ({})", to_name(row.child));
    }
    return {};
}

} // namespace bramleyarch::config

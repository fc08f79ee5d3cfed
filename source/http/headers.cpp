#include "http/headers.hpp"

#include <algorithm>
#include <array>
#include <http_parser.h>

namespace bramleyarch::http
{

namespace
{

constexpr std::array<std::string_view, 9> hop_by_hop_names{
    "connection", "keep-alive", "proxy-connection",
    "te",         "trailer",    "transfer-encoding",
    "upgrade",    "expect",     "content-length",
};

bool is_token_character(unsigned char c)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') ||
           punctuation.find(static_cast<char>(c)) != std::string_view::npos;
}

bool is_value_character(unsigned char c)
{
    constexpr unsigned char del = 0x7f;
    return c == '\t' || (c >= ' ' && c != del);
}

/// True when the comma-separated `list` has `name` (lower case).
bool lists(std::string_view list, std::string_view name)
{
    while (!list.empty())
    {
        auto const comma = list.find(',');
        auto item = list.substr(0, comma);
        while (!item.empty() && (item.front() == ' ' || item.front() == '\t'))
            item.remove_prefix(1);
        while (!item.empty() && (item.back() == ' ' || item.back() == '\t'))
            item.remove_suffix(1);
        if (to_lower(item) == name)
            return true;
        list = comma == std::string_view::npos ? std::string_view{}
                                               : list.substr(comma + 1);
    }
    return false;
}

} // namespace

bool is_valid(header_field const& header)
{
    return !header.name.empty() &&
           std::all_of(header.name.begin(), header.name.end(),
                       is_token_character) &&
           std::all_of(header.value.begin(), header.value.end(),
                       is_value_character);
}

bool is_hop_by_hop(std::string_view name)
{
    return std::find(hop_by_hop_names.begin(), hop_by_hop_names.end(), name) !=
           hop_by_hop_names.end();
}

void keep_end_to_end(std::vector<header_field>& headers)
{
    std::string const named{find_header(headers, "connection")};
    std::erase_if(headers,
                  [&named](header_field const& header)
                  {
                      return header.name != "content-length" &&
                             (is_hop_by_hop(header.name) ||
                              lists(named, header.name));
                  });
}

void append_header(std::string& to, std::string_view name,
                   std::string_view value)
{
    to.append(name).append(": ").append(value).append("\r\n");
}

std::string to_lower(std::string_view name)
{
    std::string lower{name};
    for (auto& c : lower)
    {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return lower;
}

std::string_view reason_phrase(int status)
{
    switch (status)
    {
#define BRAMLEY_PHRASE(number, name, text)                                     \
    case number:                                                               \
        return #text;
        HTTP_STATUS_MAP(BRAMLEY_PHRASE)
#undef BRAMLEY_PHRASE
    default:
        return "Status";
    }
}

} // namespace bramleyarch::http

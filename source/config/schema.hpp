/// The fields of a configuration document: one table that the parser, the
/// checks and the printed reference share.
#pragma once

#include "common/enum_names.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace bramleyarch::config
{

/// Most bytes of a document: what one key of the platform's service holds.
constexpr std::size_t max_document_bytes = 1'000'000;

/// Objects of the document.
enum class object_kind : std::uint8_t
{
    document,
    domain,
    team,
    service,
    route,
    server,
    limits,
};

constexpr auto enum_names(object_kind)
{
    using o = object_kind;
    using row = enum_name<object_kind>;
    return std::array{
        row{o::document, "document"}, row{o::domain, "domain"},
        row{o::team, "team"},         row{o::service, "service"},
        row{o::route, "route"},       row{o::server, "server"},
        row{o::limits, "limits"},
    };
}

/// What a field holds.
enum class value_type : std::uint8_t
{
    identifier, ///< Letters, digits, '.', '_', '-'; starts with no sign.
    optional_identifier, ///< As `identifier`, or empty.
    model_name,          ///< Printable ASCII without spaces.
    path,                ///< Begins with '/', printable ASCII, no '?' or '#'.
    method,              ///< Upper-case HTTP method, or "*".
    digest,              ///< 64 lower-case hexadecimal digits.
    address,             ///< IPv4 address and port: "10.0.0.1:8080".
    integer,             ///< Whole number within `min` and `max`.
    choice,              ///< One of `choices()`.
    object,              ///< Object of kind `child`.
};

constexpr auto enum_names(value_type)
{
    using v = value_type;
    using row = enum_name<value_type>;
    return std::array{
        row{v::identifier, "identifier"},
        row{v::optional_identifier, "identifier or empty"},
        row{v::model_name, "model name"},
        row{v::path, "path"},
        row{v::method, "method"},
        row{v::digest, "digest"},
        row{v::address, "address"},
        row{v::integer, "integer"},
        row{v::choice, "choice"},
        row{v::object, "object"},
    };
}

/// One field of one kind of object.
struct field_row
{
    object_kind owner;
    std::string_view name;
    value_type type;
    bool required = false;
    bool list = false;
    /// Range of an integer, or greatest number of items of a list in `max`.
    std::uint64_t min = 0;
    std::uint64_t max = 0;
    std::string_view unit;
    std::string_view default_text; ///< Empty for required fields.
    std::string_view text;
    std::vector<std::string_view> (*choices)() = nullptr;
    object_kind child = object_kind::document;
};

/// All rows, grouped by object.
std::span<field_row const> document_fields();

/// Row of field `name` of `owner`; null when there is none.
field_row const* find_field(object_kind owner, std::string_view name);

} // namespace bramleyarch::config

/// The keys of a settings file: one table for the parser and the reference.
#pragma once

#include "common/enum_names.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::config
{

enum class setting_section : std::uint8_t
{
    router,
    listen,
    fleet,
    platform,
    limits,
    routing,
    shared,
    log,
};

constexpr auto enum_names(setting_section)
{
    using s = setting_section;
    using row = enum_name<setting_section>;
    return std::array{
        row{s::router, "router"}, row{s::listen, "listen"},
        row{s::fleet, "fleet"},   row{s::platform, "platform"},
        row{s::limits, "limits"}, row{s::routing, "routing"},
        row{s::shared, "shared"}, row{s::log, "log"},
    };
}

enum class setting_type : std::uint8_t
{
    identifier,     ///< Letters, digits, '.', '_', '-'.
    listen_address, ///< IPv4 address and port; port 0: any free port.
    own_address,    ///< As above; an address that other routers can reach.
    address,        ///< IPv4 address and port, or empty.
    address_list,   ///< Addresses separated by commas, or empty.
    integer,        ///< Whole number from `min` to `max`.
    decimal,        ///< Number from `min` to `max`, with a fraction or not.
    choice,         ///< One of `choices()`.
    key,            ///< Printable ASCII without spaces.
    file,           ///< Path of a file, or empty.
};

constexpr auto enum_names(setting_type)
{
    using t = setting_type;
    using row = enum_name<setting_type>;
    return std::array{
        row{t::identifier, "identifier"},
        row{t::listen_address, "address:port"},
        row{t::own_address, "own address:port"},
        row{t::address, "address:port or empty"},
        row{t::address_list, "list of address:port"},
        row{t::integer, "integer"},
        row{t::decimal, "decimal"},
        row{t::choice, "choice"},
        row{t::key, "key"},
        row{t::file, "file"},
    };
}

/// One key of the settings file.
struct setting_row
{
    setting_section section;
    std::string_view key;
    setting_type type;
    std::string_view unit;
    std::uint64_t min = 0;
    std::uint64_t max = 0;
    bool required = false;
    std::string_view default_text;
    std::string_view text;
    std::vector<std::string_view> (*choices)() = nullptr;
};

/// All rows, grouped by section.
std::span<setting_row const> setting_rows();

/// Row of `key`; null when there is none.
setting_row const* find_setting(std::string_view section, std::string_view key);

/// Whether `text` is a value of `row`.
bool is_valid(setting_row const& row, std::string_view text);

/// What to write for `row`.
std::string remedy_of(setting_row const& row);

} // namespace bramleyarch::config

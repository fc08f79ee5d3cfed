/// Modes of the queues in which requests wait for servers without room.
#pragma once

#include "common/enum_names.hpp"

#include <cstdint>

namespace bramleyarch
{

/// What a router does with requests while a service is short of room; only in
/// mode `store`.
enum class waiting_mode : std::uint8_t
{
    off,     ///< Sends each at once.
    ordered, ///< Lets them wait, and sends the most urgent first.
};

constexpr auto enum_names(waiting_mode)
{
    using row = enum_name<waiting_mode>;
    return std::array{row{waiting_mode::off, "off"},
                      row{waiting_mode::ordered, "ordered"}};
}

} // namespace bramleyarch

/// How far an answer had come when its connection ended.
#pragma once

#include "common/enum_names.hpp"

#include <array>
#include <cstdint>

namespace bramleyarch
{

enum class answer_progress : std::uint8_t
{
    none,    ///< No byte of an answer has arrived.
    in_head, ///< Its head is not complete.
    in_body, ///< Its head is complete, its body is not.
};

constexpr auto enum_names(answer_progress)
{
    using row = enum_name<answer_progress>;
    return std::array{row{answer_progress::none, "none"},
                      row{answer_progress::in_head, "in_head"},
                      row{answer_progress::in_body, "in_body"}};
}

} // namespace bramleyarch

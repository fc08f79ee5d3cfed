/// Differences between two configuration documents.
#pragma once

#include "common/enum_names.hpp"
#include "config/model.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleyarch::config
{

enum class change_kind : std::uint8_t
{
    added,
    removed,
    changed,
};

constexpr auto enum_names(change_kind)
{
    return std::array{
        enum_name<change_kind>{change_kind::added, "added"},
        enum_name<change_kind>{change_kind::removed, "removed"},
        enum_name<change_kind>{change_kind::changed, "changed"},
    };
}

/// One difference.
struct change
{
    change_kind kind = change_kind::changed;
    std::string subject; ///< `domain a`, `service s server b`, `limits`.
    std::string field;   ///< For `changed`: the field's name.
    std::string before;  ///< JSON value; empty for `added`.
    std::string after;   ///< JSON value; empty for `removed`.
};

/// What has to change in `before` to get `after`, in the order of the
/// document; things are matched by their ids. `version` and `submission_id`
/// are left out.
std::vector<change> diff(document const& before, document const& after);

/// One line: `changed team crews weight: 1 -> 4`.
std::string describe(change const& c);

} // namespace bramleyarch::config

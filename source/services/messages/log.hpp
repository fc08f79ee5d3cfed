/// Messages of the log service.
#pragma once

#include "common/enum_names.hpp"
#include "services/messages/shared.hpp"

#include <string>
#include <variant>

namespace bramleyarch::services
{

enum class log_severity : std::uint8_t
{
    error,
    warning,
    info,
};

constexpr auto enum_names(log_severity)
{
    return std::array{
        enum_name<log_severity>{log_severity::error, "error"},
        enum_name<log_severity>{log_severity::warning, "warning"},
        enum_name<log_severity>{log_severity::info, "info"},
    };
}

/// One line: `event` and then `fields` as "name=value" pairs.
struct log_line
{
    log_severity severity = log_severity::info;
    std::string event;
    std::string fields;
};

/// Delivered by the log service's own timers.
struct log_flush
{
};

using log_message = std::variant<log_line, log_flush>;

} // namespace bramleyarch::services

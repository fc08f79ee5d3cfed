/// Messages of the log service.
#pragma once

#include "config/settings.hpp"

#include <string>
#include <variant>

namespace bramleyarch::services
{

using log_severity = config::log_level;

/// One log line: the name of an event, followed by `fields` as "name=value"
/// pairs.
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

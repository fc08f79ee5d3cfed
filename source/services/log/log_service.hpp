/// Structured log lines of all services, written to one descriptor without
/// ever waiting for it.
#pragma once

#include "kernel/service.hpp"
#include "services/messages/log.hpp"

#include <cstdint>
#include <string>

namespace bramleyarch::services
{

struct log_options
{
    int descriptor = 1; ///< Standard output; made non-blocking at the start.
    router_id router;
    log_severity least = log_severity::info;
    /// Text that waits for the descriptor; lines beyond it are dropped and
    /// counted. About a thousand lines.
    std::size_t max_waiting_bytes = 256U << 10;
};

struct log_state
{
    log_options options;
    std::string waiting;
    std::uint64_t dropped = 0; ///< Since the last line that was written.
    bool flush_due = false;
};

using log_service = kernel::service<log_state, log_message>;

log_service make_log_service(log_options options);

} // namespace bramleyarch::services

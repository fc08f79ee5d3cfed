/// Counters, events and latencies of one service on their way to the metrics
/// and time line services.
#pragma once

#include "services/messages/log.hpp"
#include "services/messages/timeline.hpp"

#include "kernel/mailbox.hpp"
#include "kernel/registry.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace bramleyarch::services
{

/// What a service has counted since its last report.
struct telemetry
{
    kernel::address<timeline_message> timeline;
    kernel::address<metrics_message> metrics;
    kernel::address<log_message> log;
    counter_set counted;
    std::vector<latencies_observed> samples;
};

/// Looks up the receivers; what has none is dropped.
void connect(telemetry& t, kernel::registry const& names);

/// Adds to a counter.
void count(telemetry& t, counter which, std::uint64_t by = 1);

/// Records an event at once.
void record(telemetry& t, event what);

/// Adds a latency sample.
void sample(telemetry& t, latency_kind kind, duration value);

/// Text of a caller as the value of a field: its first 64 characters, with "?"
/// for all but letters, digits, '-', '_' and '.'; "-" for none.
std::string field_text(std::string_view text);

/// Writes a structured line: `fields` are "name=value" pairs.
void log(telemetry& t, log_severity severity, std::string event,
         std::string fields);

/// Sends what was counted since the last call. Call it about once a second.
void flush(telemetry& t);

} // namespace bramleyarch::services

/// Metrics service: counters, latencies and gauges of the process.
#pragma once

#include "common/ids.hpp"
#include "kernel/service.hpp"
#include "services/messages/timeline.hpp"
#include "services/metrics/latency.hpp"

#include <array>
#include <map>
#include <string>

namespace bramleyarch::services
{

struct metrics_options
{
    router_id router;
    domain_id domain;
    std::size_t max_gauges = 256; ///< Further names are ignored.
};

struct metrics_state
{
    metrics_options options;
    counter_set counters;
    std::array<latency_statistics, enum_size<latency_kind>()> latencies;
    std::map<std::string, double> gauges;
};

kernel::service<metrics_state, metrics_message>
make_metrics_service(metrics_options options);

/// Text in the usual exposition format.
std::string exposition_text(metrics_state const& state);

} // namespace bramleyarch::services

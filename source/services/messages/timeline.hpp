/// Messages of the time line and metrics services.
#pragma once

#include "common/counters.hpp"
#include "common/event.hpp"
#include "services/messages/shared.hpp"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace bramleyarch::services
{

/// Appends an event; the service sets its time.
struct record_event
{
    event new_event;
};

/// A time seen in a message of another process; keeps causal order.
struct observe_time
{
    hybrid_time time;
};

/// Asks for the events in the ring as JSON text.
struct timeline_query
{
    std::function<void(std::string)> reply;
};

using timeline_message =
    std::variant<record_event, observe_time, timeline_query>;

enum class latency_kind : std::uint8_t
{
    first_byte, ///< Request received to first answer byte.
    between_chunks,
    whole_answer,
    queue_wait,
    claim,
    link_round_trip,
};

constexpr auto enum_names(latency_kind)
{
    using k = latency_kind;
    using row = enum_name<latency_kind>;
    return std::array{
        row{k::first_byte, "first_byte"},
        row{k::between_chunks, "between_chunks"},
        row{k::whole_answer, "whole_answer"},
        row{k::queue_wait, "queue_wait"},
        row{k::claim, "claim"},
        row{k::link_round_trip, "link_round_trip"},
    };
}

/// Increments since the service's last report.
struct counters_added
{
    counter_set increments;
};

/// Latency samples since the service's last report.
struct latencies_observed
{
    latency_kind kind = latency_kind::first_byte;
    std::vector<duration> samples;
};

/// Value of a quantity at this moment, by a short name with its unit.
struct gauge_set
{
    std::string name;
    double value = 0;
};

/// Asks for the exposition text.
struct metrics_query
{
    std::function<void(std::string)> reply;
};

/// Asks for the counters.
struct counters_query
{
    std::function<void(counter_set)> reply;
};

using metrics_message = std::variant<counters_added, latencies_observed,
                                     gauge_set, metrics_query, counters_query>;

} // namespace bramleyarch::services

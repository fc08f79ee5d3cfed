/// Messages of the timeline and metrics services.
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

/// Appends an event. The timeline service sets the event's time.
struct record_event
{
    event new_event;
};

/// Advances the hybrid clock to a time received from another process, so that
/// later events are ordered after their causes.
struct observe_time
{
    hybrid_time time;
};

/// Requests the events in the ring as JSON text.
struct timeline_query
{
    std::function<void(std::string)> reply;
};

using timeline_message =
    std::variant<record_event, observe_time, timeline_query>;

/// Spans of time for which latency statistics are kept.
enum class latency_kind : std::uint8_t
{
    first_byte,      ///< Request received to first answer byte.
    between_chunks,  ///< One chunk of an answer to the next.
    whole_answer,    ///< Request received to end of the answer.
    queue_wait,      ///< Offer received by the owner to its admission.
    claim,           ///< Offer received by the owner to the claim result.
    link_round_trip, ///< Link heartbeat sent to its echo received.
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

/// Increments of a service's counters since its last report.
struct counters_added
{
    counter_set increments;
};

/// Latency samples of a service since its last report.
struct latencies_observed
{
    latency_kind kind = latency_kind::first_byte;
    std::vector<duration> samples;
};

/// Sets the current value of a gauge. The name is short and states the unit.
struct gauge_set
{
    std::string name;
    double value = 0;
};

/// Requests all metrics in the text exposition format.
struct metrics_query
{
    std::function<void(std::string)> reply;
};

/// Requests the totals of all counters.
struct counters_query
{
    std::function<void(counter_set)> reply;
};

using metrics_message = std::variant<counters_added, latencies_observed,
                                     gauge_set, metrics_query, counters_query>;

} // namespace bramleyarch::services

/// What is done with requests during a planned stop.
#include "services/entry/entry_parts.hpp"

#include "common/request_id_text.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bramleyarch::services
{

namespace
{

/// Describes the request to the decision whether it is sent during a stop.
decisions::stop_request stop_request_of(entry_state const& state,
                                        entry_request const& request,
                                        time_point at)
{
    auto const& terms = request.routed.terms;
    return {.since_stop = terms.received - state.stop_began,
            .until_end = *state.end_by - at,
            .until_deadline = request.routed.deadline - at,
            .is_stream = terms.streaming,
            .may_repeat = request.routed.kind == request_kind::idempotent,
            .shortest_answer = decisions::shortest_answer_time(
                state.answer_times, terms.route, at),
            .expected_answer = decisions::expected_answer_time(
                state.answer_times, terms.route, terms.answer_tokens, at)};
}

std::string ms_text(std::optional<duration> time)
{
    return time ? std::to_string(to_ms(*time)) : "none";
}

} // namespace

decisions::stop_admission admission_of(entry_state const& state,
                                       entry_request const& request,
                                       time_point at)
{
    if (!state.end_by || request.stage == request_stage::forwarding_answer)
        return decisions::stop_admission::forward;
    return decisions::admit_in_stop(stop_request_of(state, request, at),
                                    state.options.stop_admission);
}

bool ends_before_stop(entry_state const& state, entry_request const& request,
                      time_point at)
{
    if (!state.end_by || request.stage == request_stage::forwarding_answer)
        return true;
    auto const inputs = stop_request_of(state, request, at);
    auto const until_deadline = inputs.until_deadline;
    return std::min(inputs.expected_answer.value_or(until_deadline),
                    until_deadline) <= inputs.until_end;
}

void log_stop_admission(entry_state& state, entry_request const& request,
                        decisions::stop_admission admission, time_point at)
{
    auto const& terms = request.routed.terms;
    auto const inputs = stop_request_of(state, request, at);
    log(state.telemetry_sink, log_severity::info, "stop_admission",
        fmt::format("request={} caller_id={} route={} admission={} attempts={} "
                    "received_ms={} left_ms={} deadline_ms={} shortest_ms={} "
                    "expected_ms={}",
                    to_text(request.routed.id), field_text(terms.caller_id),
                    terms.route, to_name(admission), request.sent_attempts,
                    to_ms(inputs.since_stop), to_ms(inputs.until_end),
                    to_ms(inputs.until_deadline),
                    ms_text(inputs.shortest_answer),
                    ms_text(inputs.expected_answer)));
}

} // namespace bramleyarch::services

#include "services/entry/entry_parts.hpp"

#include "common/digest.hpp"

#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

/// Work of a first byte apart from the prompt, in prompt tokens. An empty
/// prompt takes some 20 ms, in which a server reads 1,000 tokens at 50 tokens
/// per ms.
constexpr double first_byte_base_tokens = 1000;

counter counter_of(load_report_fault fault)
{
    switch (fault)
    {
    case load_report_fault::missing_figure:
        return counter::load_figure_missing;
    case load_report_fault::not_a_number:
        return counter::load_not_a_number;
    case load_report_fault::too_many_figures:
        return counter::load_too_many_figures;
    case load_report_fault::out_of_range:
        break;
    }
    return counter::load_out_of_range;
}

} // namespace

void record_load_report(entry_state& state, backend_server& server,
                        parsed_head const& head, time_point at)
{
    // Such an answer comes from another server or none.
    if (head.kind == answer_kind::foreign ||
        head.kind == answer_kind::misdirected)
        return;
    if (head.load_fault)
    {
        count(state.telemetry_sink, counter_of(*head.load_fault));
        if (!std::exchange(server.bad_report_logged, true))
            log(state.telemetry_sink, log_severity::warning, "load_malformed",
                fmt::format("server={} cause={}", server.listed.id.value,
                            to_name(*head.load_fault)));
    }
    if (!head.load)
        return;
    decisions::record_report(state.server_model, server.hash,
                             {.running = head.load->running,
                              .waiting = head.load->waiting,
                              .slots = head.load->slots,
                              .pace_percent = head.load->pace_percent},
                             at);
}

void record_peer_paces(entry_state& state,
                       decisions::peer_heartbeat const& heartbeat,
                       time_point at)
{
    for (auto const& pace : heartbeat.server_paces)
        decisions::record_peer_pace(state.server_model, pace, at);
}

void record_byte_time(entry_state& state, backend_server const& server,
                      entry_request const& request, time_point at)
{
    if (!request.routed.terms.streaming)
        return;
    bool const is_first = request.last_byte_at == request.attempt_started_at;
    auto const work =
        is_first ? first_byte_base_tokens + request.routed.terms.prompt_tokens
                 : 1;
    decisions::record_time(state.server_model,
                           name_hash(server.listed.service.value), server.hash,
                           is_first ? decisions::measured_time::first_byte
                                    : decisions::measured_time::event_gap,
                           at - request.last_byte_at, work, at);
}

} // namespace bramleyarch::services

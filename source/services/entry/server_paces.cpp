#include "services/entry/entry_parts.hpp"

#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

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
    server.last_report = head.load;
    server.reported_at = at;
}

} // namespace bramleyarch::services

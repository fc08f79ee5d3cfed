/// Limits that servers state on the requests of all routers together.
#include "services/entry/entry_parts.hpp"

#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

std::string rate_text(std::optional<double> rate)
{
    return rate ? fmt::format("{:g}", *rate) : "none";
}

void record_malformed_limit(entry_state& state, entry_request const& request)
{
    count(state.telemetry_sink, counter::server_limits_malformed);
    auto* const server = find_current_server(state, request);
    if (server && !std::exchange(server->bad_limit_logged, true))
        log(state.telemetry_sink, log_severity::warning, "limit_malformed",
            fmt::format("server={}", server->listed.id.value));
}

} // namespace

void record_stated_limit(entry_state& state, entry_request const& request,
                         parsed_head const& head, time_point at)
{
    // Such an answer comes from another server or none.
    if (head.kind == answer_kind::foreign ||
        head.kind == answer_kind::misdirected)
        return;
    if (head.has_malformed_limit)
    {
        record_malformed_limit(state, request);
        return;
    }
    // A refusal may come from a part of the server that states no limit.
    if (!head.request_limit && head.kind != answer_kind::genuine)
        return;
    auto const before =
        decisions::limit_of(state.request_limits, request.server_run);
    auto const stated_at = head.request_limit ? at : request.attempt_started_at;
    auto const change =
        decisions::record_limit(state.request_limits, request.server_run,
                                head.request_limit, stated_at, at);
    if (change == decisions::limit_change::none)
        return;
    count(state.telemetry_sink, counter::server_limits_stated);
    log(state.telemetry_sink, log_severity::info, "server_limit",
        fmt::format("server={} per_s={} before={}",
                    request.current_server.value, rate_text(head.request_limit),
                    rate_text(before)));
}

std::string limit_text(entry_state const& state, backend_server const& server)
{
    auto const limit =
        decisions::limit_of(state.request_limits, run_of(server));
    return limit ? " limit=" + rate_text(limit) : "";
}

} // namespace bramleyarch::services

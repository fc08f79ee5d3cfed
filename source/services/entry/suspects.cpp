/// Requests that servers may have crashed by.
#include "services/entry/entry_parts.hpp"

#include "common/digest.hpp"
#include "common/request_id_text.hpp"

#include <fmt/format.h>

namespace bramleyarch::services
{

std::uint64_t request_fingerprint(routed_request const& request)
{
    auto const text = fmt::format("{} {} {} ", request.method, request.target,
                                  request.team.value);
    return mix(fingerprint(text),
               request.body ? fingerprint(*request.body) : 0);
}

bool is_quarantined(entry_state const& state, entry_request const& request,
                    time_point at)
{
    if (decisions::should_refuse(state.crashing_parts,
                                 request.routed.terms.prompt))
        return true;
    return !state.crashes.requests.empty() &&
           decisions::should_refuse(state.crashes,
                                    request_fingerprint(request.routed), at);
}

void record_crash_suspect(entry_state& state, entry_request const& request,
                          backend_server const& server, time_point at)
{
    auto const fingerprint = request_fingerprint(request.routed);
    auto const server_start = run_of(server);
    if (!decisions::record_crash(state.crashes, fingerprint, server_start, at))
        return;
    count(state.telemetry_sink, counter::suspects_recorded);
    send(state.peers_service, gossip_suspect{fingerprint, server_start});
    log(state.telemetry_sink, log_severity::info, "request_suspected",
        fmt::format("request={} fingerprint={:016x} server={} crashes={}",
                    to_text(request.routed.id), fingerprint,
                    server.listed.id.value,
                    state.crashes.requests.at(fingerprint).servers.size()));
}

void record_prompt_suspect(entry_state& state, entry_request const& request,
                           backend_server const& server, time_point at)
{
    decisions::prompt_crash const crash{
        .server = run_of(server),
        .at = at,
        .parts = decisions::unproven_parts(state.crashing_parts,
                                           request.routed.terms.prompt, at)};
    if (!decisions::record_prompt_crash(state.crashing_parts, crash, at))
        return;
    count(state.telemetry_sink, counter::suspects_recorded);
    send(state.peers_service, gossip_prompt_crash{crash});
    for (auto const part : crash.parts)
    {
        // Absent if too many parts are suspected.
        auto const suspect = state.crashing_parts.suspects.find(part);
        if (suspect == state.crashing_parts.suspects.end())
            continue;
        log(state.telemetry_sink, log_severity::info, "prompt_suspected",
            fmt::format("request={} part={:x} server={} crashes={}",
                        to_text(request.routed.id), part,
                        server.listed.id.value, suspect->second.size()));
    }
}

void clear_crash_suspect(entry_state& state, entry_request const& request)
{
    if (!state.crashes.requests.empty())
        decisions::clear_crashes(state.crashes,
                                 request_fingerprint(request.routed));
}

void refuse_crashing_request(entry_state& state, entry_context& ctx,
                             entry_request& request)
{
    count(state.telemetry_sink, counter::quarantines);
    fail_request(state, ctx, request,
                 {error_kind::quarantined,
                  "the request, or requests that share a part of its prompt, "
                  "were in flight when several servers crashed"},
                 state.options.quarantine_retry_after);
}

void end_refused_requests(entry_state& state, entry_context& ctx)
{
    if (state.crashing_parts.suspects.empty())
        return;
    std::vector<request_id> refused;
    for (auto const& [id, request] : state.requests)
    {
        if (request.attempt_bytes == 0 &&
            request.stage == request_stage::awaiting_answer &&
            decisions::should_refuse(state.crashing_parts,
                                     request.routed.terms.prompt))
            refused.push_back(id);
    }
    for (auto const& id : refused)
        refuse_crashing_request(state, ctx, state.requests.at(id));
}

} // namespace bramleyarch::services

#include "services/entry/entry_parts.hpp"

#include "common/digest.hpp"
#include "common/request_id_text.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bramleyarch::services
{

namespace
{

/// Resets what was learned about a server that restarted under the same id.
void reset_history(backend_server& server)
{
    server.last_report.reset();
    server.ejected = false;
    server.consecutive_failures = 0;
    server.next_cold_send_at = {};
}

} // namespace

void update_servers(entry_state& state, time_point at)
{
    auto const& listed = state.deployment->servers;
    std::erase_if(state.servers, [&listed](auto const& known)
                  { return !listed.contains(known.first); });
    for (auto const& [id, entry] : listed)
    {
        auto& server = state.servers[id];
        if (server.listed == entry)
            continue;
        bool const is_new = server.listed.changed == 0;
        if (is_new || server.listed.born != entry.born)
            reset_history(server);
        server.hash = name_hash(id.value);
        server.misdirected = false;
        // An entry is also rewritten for other reasons; the cold phase starts
        // again only if the server restarted or reports another
        // remaining time.
        if (is_new || server.listed.born != entry.born ||
            server.listed.cold_left != entry.cold_left)
            server.cold_until = at + entry.cold_left;
        server.listed = entry;
    }
}

std::uint32_t remote_in_flight(entry_state const& state,
                               backend_server const& server)
{
    auto const remote =
        decisions::remote_load_at(state.remote_loads, server.hash);
    return remote.own_domain + remote.other_domains;
}

std::uint32_t router_count(entry_state const& state)
{
    return static_cast<std::uint32_t>(state.other_routers.size() + 1);
}

backend_server* find_current_server(entry_state& state,
                                    entry_request const& request)
{
    auto const found = state.servers.find(request.current_server);
    return found == state.servers.end() ? nullptr : &found->second;
}

std::uint64_t run_of(backend_server const& server)
{
    return mix(server.hash, server.listed.born);
}

void record_server_failure(entry_state& state, backend_server& server,
                           time_point at, std::string_view reason)
{
    if (server.ejected && at < server.next_probe_at)
        return;
    auto const doublings = std::min(server.consecutive_failures++, 8U);
    auto const ejection_time =
        std::min(state.options.base_ejection_time * (1U << doublings),
                 state.options.max_ejection_time);
    server.ejected = true;
    server.next_probe_at = at + ejection_time;
    log(state.telemetry_sink, log_severity::warning, "server_left_out",
        fmt::format("server={} domain={} reason={} failures={} probe_in_ms={} "
                    "own={} heard_ms_ago={}",
                    server.listed.id.value, server.listed.domain.value, reason,
                    server.consecutive_failures, to_ms(ejection_time),
                    server.local_in_flight,
                    to_ms(at - server.last_response_at)));
}

void record_server_answer(backend_server& server)
{
    server.consecutive_failures = 0;
    server.ejected = false;
}

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

} // namespace bramleyarch::services

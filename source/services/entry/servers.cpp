#include "services/entry/entry_parts.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bramleyarch::services
{

namespace
{

/// Resets what was learned about a server that restarted under the same id.
void reset_history(backend_server& server)
{
    server.bad_report_logged = false;
    server.bad_limit_logged = false;
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

} // namespace bramleyarch::services

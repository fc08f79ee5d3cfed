#include "services/entry/entry_parts.hpp"

#include "common/digest.hpp"
#include "common/request_id_text.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bramleyarch::services
{

namespace
{

/// A server that starts again under its id knows nothing of before.
void start_anew(server_view& view)
{
    view.stated.reset();
    view.left_out = false;
    view.failures = 0;
    view.next_cold = {};
}

} // namespace

void take_servers(entry_state& state, time_point at)
{
    auto const& listed = state.deployment->servers;
    std::erase_if(state.servers, [&listed](auto const& entry)
                  { return !listed.contains(entry.first); });
    for (auto const& [id, server] : listed)
    {
        auto& view = state.servers[id];
        if (view.listed == server)
            continue;
        bool const fresh = view.listed.changed == 0;
        if (fresh || view.listed.born != server.born)
            start_anew(view);
        view.hash = name_hash(id.value);
        view.misdirected = false;
        // An entry is repeated for other reasons: its cold time counts anew
        // only when it says something else.
        if (fresh || view.listed.born != server.born ||
            view.listed.cold_left != server.cold_left)
            view.cold_until = at + server.cold_left;
        view.listed = server;
    }
}

std::uint32_t peers_at(entry_state const& state, server_view const& server)
{
    auto const sums = decisions::remote_load_at(state.peer_loads, server.hash);
    return sums.own_domain + sums.other_domains;
}

std::uint32_t fleet_of(entry_state const& state)
{
    return static_cast<std::uint32_t>(state.other_routers.size() + 1);
}

server_view* server_of(entry_state& state, entry_request const& r)
{
    auto const found = state.servers.find(r.server);
    return found == state.servers.end() ? nullptr : &found->second;
}

void note_failure(entry_state& state, server_view& server, time_point at,
                  std::string_view reason)
{
    if (server.left_out && at < server.probe_at)
        return;
    auto const doublings = std::min(server.failures++, 8U);
    auto const span = std::min(state.options.first_ejection * (1U << doublings),
                               state.options.last_ejection);
    server.left_out = true;
    server.probe_at = at + span;
    log(state.counted, log_severity::warning, "server_left_out",
        fmt::format("server={} domain={} reason={} failures={} probe_in_ms={} "
                    "own={} heard_ms_ago={}",
                    server.listed.id.value, server.listed.domain.value, reason,
                    server.failures, to_ms(span), server.own,
                    to_ms(at - server.heard_at)));
}

void note_answer(server_view& server)
{
    server.failures = 0;
    server.left_out = false;
}

std::uint64_t fingerprint_of(routed_request const& request)
{
    auto const text = fmt::format("{} {} {} ", request.method, request.target,
                                  request.team.value);
    return mix(fingerprint(text),
               request.body ? fingerprint(*request.body) : 0);
}

bool takes_servers_down(entry_state const& state, entry_request const& r,
                        time_point at)
{
    return !state.crashes.requests.empty() &&
           decisions::should_refuse(state.crashes, fingerprint_of(r.request),
                                    at);
}

void suspect_request(entry_state& state, entry_request const& r,
                     server_view const& view, time_point at)
{
    auto const request = fingerprint_of(r.request);
    auto const server = mix(view.hash, view.listed.born);
    if (!decisions::record_crash(state.crashes, request, server, at))
        return;
    count(state.counted, counter::suspects_recorded);
    send(state.peers_service, gossip_suspect{request, server});
    log(state.counted, log_severity::info, "request_suspected",
        fmt::format("request={} fingerprint={:016x} server={} crashes={}",
                    to_text(r.request.id), request, view.listed.id.value,
                    state.crashes.requests.at(request).servers.size()));
}

void clear_suspicion(entry_state& state, entry_request const& r)
{
    if (!state.crashes.requests.empty())
        decisions::clear_crashes(state.crashes, fingerprint_of(r.request));
}

} // namespace bramleyarch::services

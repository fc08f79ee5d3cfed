/// Requests that servers may have crashed by.
#include "services/entry/entry_parts.hpp"

#include "common/digest.hpp"
#include "common/request_id_text.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bramleyarch::services
{

namespace
{

void record_crash_suspect(entry_state& state, possible_crash const& possible)
{
    decisions::request_crash const crash{.request = possible.fingerprint,
                                         .server = possible.run,
                                         .at = possible.at};
    if (!decisions::record_crash(state.crashes, crash))
        return;
    count(state.telemetry_sink, counter::suspects_recorded);
    send(state.peers_service, gossip_request_crash{crash});
    log(state.telemetry_sink, log_severity::info, "request_suspected",
        fmt::format("request={} fingerprint={:016x} server={} crashes={}",
                    to_text(possible.request), crash.request,
                    possible.server.value,
                    state.crashes.requests.at(crash.request).crashes.size()));
}

void record_prompt_suspect(entry_state& state, possible_crash const& possible)
{
    decisions::prompt_crash const crash{
        .server = possible.run,
        .at = possible.at,
        .parts = decisions::suspected_parts(state.crashing_parts,
                                            possible.prompt, possible.at)};
    if (!decisions::record_prompt_crash(state.crashing_parts, crash))
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
                        to_text(possible.request), part, possible.server.value,
                        suspect->second.size()));
    }
}

/// Clears the suspicion of a request that completed, and reports this to
/// routers that may suspect it.
void clear_request_suspect(entry_state& state, std::uint64_t fingerprint,
                           time_point at)
{
    if (state.crashes.requests.empty())
        return;
    decisions::request_answer const answer{.request = fingerprint, .at = at};
    if (decisions::record_answer(state.crashes, answer))
        send(state.peers_service, gossip_request_answer{answer});
}

/// Clears what an answer of a server that runs on shows to be sound.
void clear_suspects(entry_state& state, possible_crash const& answered)
{
    clear_request_suspect(state, answered.fingerprint, answered.at);
    if (is_success(answered.status))
        clear_prompt_suspects(state, answered.prompt, answered.at);
}

} // namespace

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

bool start_trial(entry_state& state, entry_request& request, time_point at)
{
    if (decisions::should_refuse(state.crashes,
                                 request_fingerprint(request.routed), at) ||
        !decisions::start_trial(state.crashing_parts,
                                request.routed.terms.prompt, state.options.self,
                                state.other_routers, at))
        return false;
    request.is_trial = true;
    log(state.telemetry_sink, log_severity::info, "prompt_tried",
        fmt::format("request={}", to_text(request.routed.id)));
    return true;
}

void record_possible_crash(entry_state& state, entry_request const& request,
                           backend_server& server, bool is_answered,
                           time_point at)
{
    constexpr std::size_t max_possible_crashes = 256;
    if (state.possible_crashes.size() >= max_possible_crashes)
        state.possible_crashes.erase(state.possible_crashes.begin());
    state.possible_crashes.push_back(
        {.server = server.listed.id,
         .run = request.server_run,
         .request = request.routed.id,
         .fingerprint = request_fingerprint(request.routed),
         .prompt = request.attempt_answer.is_past_start
                       ? std::vector<prompt_part>{}
                       : request.routed.terms.prompt,
         .status = request.attempt_status,
         .is_answered = is_answered,
         .at = at});
    send_probe(state, server, at);
}

void confirm_crashes(entry_state& state, entry_context& ctx,
                     server_id const& server)
{
    auto const is_of_server = [&](possible_crash const& crash)
    { return crash.server == server; };
    if (std::ranges::none_of(state.possible_crashes, is_of_server))
        return;
    for (auto const& crash : state.possible_crashes)
    {
        if (!is_of_server(crash))
            continue;
        record_crash_suspect(state, crash);
        record_prompt_suspect(state, crash);
    }
    std::erase_if(state.possible_crashes, is_of_server);
    end_refused_requests(state, ctx);
}

bool discard_crashes(entry_state& state, backend_server& server, time_point at)
{
    auto const is_of_server = [&](possible_crash const& crash)
    { return crash.server == server.listed.id; };
    auto const is_refuted = [&](possible_crash const& crash)
    { return is_of_server(crash) && crash.at <= server.probe_sent_at; };
    bool has_broken_answer = false;
    for (auto const& crash : state.possible_crashes)
    {
        if (!is_refuted(crash))
            continue;
        if (crash.is_answered)
            clear_suspects(state, crash);
        else
            has_broken_answer = true;
    }
    std::erase_if(state.possible_crashes, is_refuted);
    if (std::ranges::any_of(state.possible_crashes, is_of_server))
        send_probe(state, server, at);
    return has_broken_answer;
}

void confirm_crashes_of_ended_runs(entry_state& state, entry_context& ctx)
{
    auto const possible = state.possible_crashes;
    for (auto const& crash : possible)
    {
        auto const server = state.servers.find(crash.server);
        if (server == state.servers.end())
            std::erase_if(state.possible_crashes,
                          [&](possible_crash const& other)
                          { return other.server == crash.server; });
        else if (run_of(server->second) != crash.run)
            confirm_crashes(state, ctx, crash.server);
    }
}

void clear_prompt_suspects(entry_state& state,
                           std::vector<prompt_part> const& prompt,
                           time_point at)
{
    for (auto const& answer :
         decisions::record_prompt_answer(state.crashing_parts, prompt, at))
        send(state.peers_service, gossip_part_answer{answer});
}

void record_whole_answer(entry_state& state, entry_request const& request,
                         bool by_close, time_point at)
{
    if (by_close)
    {
        // A server that leaves may be gone when the probe arrives.
        auto* const server = find_current_server(state, request);
        if (server && is_in_use(state, server->listed.service, *server))
            record_possible_crash(state, request, *server,
                                  /*is_answered=*/true, at);
        return;
    }
    clear_request_suspect(state, request_fingerprint(request.routed), at);
    if (is_success(request.attempt_status) &&
        !request.attempt_answer.is_past_start)
        clear_prompt_suspects(state, request.routed.terms.prompt, at);
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
        if (!request.is_trial && request.attempt_bytes == 0 &&
            request.stage == request_stage::awaiting_answer &&
            decisions::should_refuse(state.crashing_parts,
                                     request.routed.terms.prompt))
            refused.push_back(id);
    }
    for (auto const& id : refused)
        refuse_crashing_request(state, ctx, state.requests.at(id));
}

} // namespace bramleyarch::services

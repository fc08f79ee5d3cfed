#include "services/entry/entry_parts.hpp"

#include "common/digest.hpp"
#include "decisions/server_priority.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <unordered_map>
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

/// Returns whether a server of the service has stated its pace lately.
bool states_pace(entry_state const& state, service_id const& service,
                 time_point at)
{
    return std::ranges::any_of(
        state.servers,
        [&](auto const& entry)
        {
            return entry.second.listed.service == service &&
                   decisions::has_stated_pace(state.server_model,
                                              entry.second.hash, at);
        });
}

/// Returns, by the hash of the server, the prompt tokens that servers have yet
/// to read for requests of this router. They have read a prompt when they send
/// the first byte after the head.
std::unordered_map<std::uint64_t, double>
unread_tokens(entry_state const& state)
{
    std::unordered_map<std::uint64_t, double> unread;
    for (auto const& [id, request] : state.requests)
    {
        if (!request.current_server.empty() && request.attempt_bytes == 0 &&
            request.tokens_to_read > 0)
            unread[name_hash(request.current_server.value)] +=
                request.tokens_to_read;
    }
    return unread;
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
        is_first ? first_byte_base_tokens + request.tokens_to_read : 1;
    decisions::record_time(state.server_model,
                           name_hash(server.listed.service.value), server.hash,
                           is_first ? decisions::measured_time::first_byte
                                    : decisions::measured_time::event_gap,
                           at - request.last_byte_at, work, at);
}

std::optional<decisions::server_choice>
choose_server(entry_state& state, entry_request& request,
              std::vector<decisions::server_candidate>& candidates, double mean,
              std::optional<decisions::shared_prefix> const& prefix,
              time_point at)
{
    auto const draw = state.random();
    auto const& options = state.options;
    request.tokens_to_read = 0;
    if (!states_pace(state, request.routed.service, at))
        return decisions::select_server(candidates, mean, prefix,
                                        options.server_choice, draw);
    auto const unread = unread_tokens(state);
    for (auto& candidate : candidates)
    {
        auto const& model = state.server_model;
        candidate.pace = decisions::pace_at(model, candidate.hash, at).percent /
                         decisions::usual_pace_percent;
        candidate.expected_load =
            decisions::load_at(model, candidate.hash, candidate.load, at);
        if (auto const found = unread.find(candidate.hash);
            found != unread.end())
            candidate.unread_tokens = found->second;
    }
    auto const& terms = request.routed.terms;
    decisions::expected_work const work{.prompt_tokens = terms.prompt_tokens,
                                        .answer_tokens =
                                            terms.expected_answer_tokens,
                                        .gap_target = terms.gap_target};
    auto const choice = decisions::select_server_by_work(
        candidates, mean, prefix, work, options.server_choice,
        options.work_choice, draw);
    if (choice)
        request.tokens_to_read = decisions::tokens_to_read(
            *choice, prefix, work, options.work_choice);
    return choice;
}

std::optional<std::uint32_t> priority_of(entry_state const& state,
                                         entry_request const& request)
{
    if (state.options.server_priorities == config::server_priority_mode::off)
        return std::nullopt;
    return decisions::server_priority(*state.deployment->rules,
                                      request.routed.service,
                                      request.routed.terms.rank);
}

std::string pace_text(entry_state const& state, entry_request const& request,
                      backend_server const& server, time_point at)
{
    auto const pace = decisions::pace_at(state.server_model, server.hash, at);
    if (pace.source != decisions::pace_source::stated &&
        request.tokens_to_read <= 0)
        return {};
    return fmt::format(" pace={:.0f} pace_from={} pace_age_ms={} read={:.0f}",
                       pace.percent, to_name(pace.source), to_ms(pace.age),
                       request.tokens_to_read);
}

} // namespace bramleyarch::services

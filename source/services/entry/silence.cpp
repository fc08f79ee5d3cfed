/// Attempts that give no byte: the server may be unreachable, or only busy.
#include "services/entry/entry_parts.hpp"

#include "common/request_id_text.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>
#include <vector>

namespace bramleyarch::services
{

namespace
{

/// After this long without a byte the request is better sent elsewhere.
duration first_byte_limit(entry_state const& state, entry_request const& r)
{
    auto const whole = r.request.deadline - r.attempt_at;
    return std::min(of_target(r, state.options.first_byte_targets,
                              state.options.first_byte_floor),
                    whole / 2);
}

bool may_run_again(entry_request const& r)
{
    if (r.request.kind != request_kind::idempotent ||
        r.sent >= r.request.terms.max_attempts)
        return false;
    return r.stage == request_stage::sending || r.request.terms.resumable;
}

void probe(entry_state& state, server_view& view)
{
    if (std::exchange(view.probing, true))
        return;
    send(state.backend,
         probe_server{.server = view.listed.id,
                      .address = view.listed.address,
                      .connect_limit = state.options.probe_limit});
}

/// Gives the current attempt up for one at another server, if there is one
/// and the fleet's budget allows it.
void give_up_attempt(entry_state& state, entry_context& ctx, entry_request& r,
                     std::string_view why)
{
    auto const at = now(ctx);
    // Without another server the current one may still answer.
    if (!may_run_again(r) || !has_alternative(state, r, at))
        return;
    if (!decisions::acquire_retry(state.retries[r.request.service],
                                  state.options.retries, fleet_of(state), at))
    {
        count(state.counted, counter::retries_denied);
        return;
    }
    r.may_have_run = true;
    log(state.counted, log_severity::info, "attempt_given_up",
        fmt::format("request={} attempt={} server={} after_ms={} reason={}",
                    to_text(r.request.id), r.attempt, r.server.value,
                    to_ms(at - r.attempt_at), why));
    drop_attempt(state, ctx, r);
    r.last_failure = {error_kind::server_silent, "no byte in time"};
    send_attempt(state, ctx, r);
}

} // namespace

void check_silence(entry_state& state, entry_context& ctx, entry_request& r)
{
    auto const at = now(ctx);
    if (r.first_byte_due)
    {
        give_up_attempt(state, ctx, r, "no_first_byte");
        return;
    }
    auto* const view = server_of(state, r);
    if (view && view->heard_at < r.attempt_at)
        probe(state, *view);
    r.first_byte_due = true;
    auto const due = r.attempt_at + first_byte_limit(state, r);
    r.silence_timer = schedule(ctx, std::max(due - at, duration::zero()),
                               request_check_due{r.request.id});
}

void probe_left_out(entry_state& state, time_point at)
{
    for (auto& [id, view] : state.servers)
    {
        if (view.left_out && at >= view.probe_at)
            probe(state, view);
    }
}

void check_pauses(entry_state& state, time_point at)
{
    for (auto const& [id, r] : state.requests)
    {
        if (r.stage != request_stage::answering || r.server.empty())
            continue;
        auto const pause =
            std::max(r.request.terms.gap_target, state.options.dark_floor);
        auto* const view = server_of(state, r);
        if (view && at - r.byte_at > pause && at - view->heard_at > pause)
            probe(state, *view);
    }
}

void take_probe(entry_state& state, entry_context& ctx,
                server_probed const& probed)
{
    auto const found = state.servers.find(probed.server);
    if (found == state.servers.end())
        return;
    auto& view = found->second;
    view.probing = false;
    auto const at = now(ctx);
    log(state.counted, log_severity::info, "server_probed",
        fmt::format("server={} reachable={} own={} heard_ms_ago={}",
                    probed.server.value, probed.reachable, view.own,
                    to_ms(at - view.heard_at)));
    if (probed.reachable)
    {
        view.heard_at = at;
        view.left_out = false;
        return;
    }
    note_failure(state, view, at, "unreachable");
    std::vector<request_id> waiting;
    for (auto const& [id, r] : state.requests)
    {
        if (r.server == probed.server &&
            r.byte_at + state.options.dark_floor < at)
            waiting.push_back(id);
    }
    for (auto const& id : waiting)
    {
        auto const r = state.requests.find(id);
        if (r != state.requests.end())
            give_up_attempt(state, ctx, r->second, "unreachable");
    }
}

} // namespace bramleyarch::services

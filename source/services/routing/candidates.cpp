#include "services/routing/routing_parts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleyarch::services::routing
{

namespace
{

using decisions::candidate;

bool serves_model(eligible_server const& server, std::string const& model)
{
    return model.empty() ||
           std::find(server.models.begin(), server.models.end(), model) !=
               server.models.end();
}

bool was_tried(pending_request const& pending, server_id const& server)
{
    return std::find(pending.tried.begin(), pending.tried.end(), server) !=
           pending.tried.end();
}

candidate make_candidate(routing_state const& state,
                         eligible_server const& server,
                         pending_request const& pending, time_point at)
{
    candidate result{.id = server.id,
                     .hash = server.hash,
                     .capacity = server.capacity,
                     .limit = static_cast<double>(server.capacity),
                     .usable = !server.owner.empty() &&
                               !state.lost_owners.contains(server.owner),
                     .tried = was_tried(pending, server.id)};
    auto const load = state.loads.find(server.id);
    if (load == state.loads.end())
        return result;
    result.load =
        estimate_in_flight(load->second, at, state.options.load_decay);
    if (!load->second.reported)
        return result;
    auto const& reported = *load->second.reported;
    result.queued = reported.queued;
    result.limit = std::max(1.0, static_cast<double>(reported.limit));
    result.usable = result.usable && reported.usable;
    return result;
}

/// Updates the state's candidates for the request. Returns how many of them the
/// request can be offered to.
std::size_t gather_candidates(routing_state& state,
                              pending_request const& pending, time_point at)
{
    state.candidates.clear();
    auto const service = state.services.find(pending.request.service);
    if (service == state.services.end())
        return 0;
    std::size_t open_count = 0;
    for (auto const& server : service->second.servers)
    {
        if (!serves_model(server, pending.request.model))
            continue;
        state.candidates.push_back(make_candidate(state, server, pending, at));
        auto const& added = state.candidates.back();
        open_count += added.usable && !added.tried ? 1 : 0;
    }
    return open_count;
}

/// Returns the owner of the server, or an empty id if it has none.
router_id find_owner(routing_state const& state, pending_request const& pending,
                     server_id const& id)
{
    auto const service = state.services.find(pending.request.service);
    if (service == state.services.end())
        return {};
    for (auto const& server : service->second.servers)
    {
        if (server.id == id)
            return server.owner;
    }
    return {};
}

/// Whether the owner may queue the offer if the server is at its limit, and
/// whether it may if the server is at the load bound.
struct queueing_permission
{
    bool at_limit = false;
    bool at_bound = false;
};

/// Returns whether the request may crash its server, as a server closed the
/// connection of an earlier attempt. An answer that has started resumes without
/// this caution, as its server has already processed the request.
bool may_crash_server(pending_request const& pending)
{
    return pending.server_closes > 0 && !pending.head_sent;
}

/// Sends an offer to the owner. Returns false if it cannot be sent.
bool send_offer(routing_state& state, pending_request& pending,
                server_id server, router_id owner, queueing_permission allowed)
{
    ++pending.attempt;
    ++pending.offers;
    pending.server = std::move(server);
    pending.owner = std::move(owner);
    pending.attempt_chunks = 0;
    pending.attempt_bytes = 0;
    decisions::record_offer(pending.latch);
    ++state.loads[pending.server].local;
    count(state.metrics, counter::offers_sent);
    bool const sent =
        send_to_owner(state, pending,
                      offer{.attempt = current_attempt(pending),
                            .server = pending.server,
                            .config_version = state.config->version,
                            .request = pending.request,
                            .may_queue = allowed.at_limit,
                            .may_wait_at_bound = allowed.at_bound,
                            .must_run_alone = may_crash_server(pending)});
    if (sent)
        return true;
    // The offer never left this process, so it cannot have run.
    decisions::record_redirect(pending.latch);
    detach_from_server(state, pending);
    return false;
}

/// Schedules another round of offers after a random pause. Returns false if
/// another round cannot find room or would start after the deadline. A server
/// at the load bound may get room, as the mean changes with the reported loads.
bool schedule_offer_round(routing_state& state, routing_context& ctx,
                          pending_request& pending)
{
    constexpr std::uint32_t max_doublings = 8;
    if (!pending.may_find_room)
        return false;
    auto const doublings = std::min(pending.rounds, max_doublings);
    auto const longest = std::min(state.options.max_round_pause,
                                  state.options.round_pause * (1 << doublings));
    auto const half = static_cast<double>(longest.count()) / 2;
    auto const pause =
        duration{static_cast<std::int64_t>(half + half * random_unit(state))};
    if (now(ctx) + pause >= pending.request.deadline)
        return false;
    ++pending.rounds;
    schedule(ctx, pause, request_check_due{pending.request.id});
    return true;
}

/// Returns whether the owner of a server with the model is behind a lost link,
/// which may open again soon.
bool has_owner_behind_lost_link(routing_state const& state,
                                pending_request const& pending)
{
    auto const service = state.services.find(pending.request.service);
    if (service == state.services.end())
        return false;
    auto const& servers = service->second.servers;
    return std::any_of(servers.begin(), servers.end(),
                       [&](eligible_server const& server)
                       {
                           return state.lost_owners.contains(server.owner) &&
                                  serves_model(server, pending.request.model);
                       });
}

/// Schedules another round of offers or ends the request with an error.
void handle_no_candidate_left(routing_state& state, routing_context& ctx,
                              pending_request& pending)
{
    pending.may_find_room =
        pending.may_find_room || has_owner_behind_lost_link(state, pending);
    if (schedule_offer_round(state, ctx, pending))
        return;
    bool const busy = !pending.tried.empty();
    auto const kind =
        busy ? error_kind::queue_full : error_kind::no_eligible_server;
    end_with_error(
        state, ctx, pending,
        {kind, fmt::format("{} servers tried", pending.tried.size())},
        decisions::known_outcome(pending.latch), pending.retry_after);
}

void record_choice(routing_state& state, pending_request const& pending,
                   decisions::choice const& chosen, router_id const& owner)
{
    auto const& server = state.candidates[chosen.index];
    record(state.metrics,
           {.kind = event_kind::candidate_chosen,
            .request = pending.request.id,
            .server = server.id,
            .team = pending.request.team,
            .config = state.config->version,
            .cause = fmt::format("{}; believed {:.0f} of {:.0f}; owner {}",
                                 to_name(chosen.reason), server.load,
                                 server.limit, owner.value)});
}

} // namespace

double estimate_in_flight(load_estimate const& load, time_point at,
                          duration decay)
{
    double remote = 0;
    if (load.reported && load.reported->in_flight > load.local_at_report)
    {
        double const age =
            std::chrono::duration<double>(at - load.reported_at) /
            std::chrono::duration<double>(decay);
        remote =
            (load.reported->in_flight - load.local_at_report) * std::exp(-age);
    }
    return remote + load.local;
}

void record_exact_load(routing_state& state, router_id const& owner,
                       server_load const& load, time_point at)
{
    if (load.server.empty() || load.limit == 0)
        return;
    auto& estimate = state.loads[load.server];
    estimate.reported = load;
    estimate.reported_at = at;
    estimate.exact_until = at + state.options.exact_load_hold;
    estimate.local_at_report = estimate.local;
    // This load is newer than any reported one, and the local owner service
    // computes the mean load from it.
    if (owner != state.options.self)
        kernel::send(state.owner,
                     loads_changed{.owner = owner, .loads = {load}});
}

void detach_from_server(routing_state& state, pending_request& pending)
{
    auto const found = state.loads.find(pending.server);
    if (found != state.loads.end() && found->second.local > 0)
        --found->second.local;
    pending.server = {};
    pending.owner = {};
}

bool send_to_owner(routing_state& state, pending_request const& pending,
                   owner_request request)
{
    if (pending.owner == state.options.self)
        return kernel::send(
            state.owner,
            owner_request_received{state.options.self, std::move(request)});
    return kernel::send(state.link,
                        send_owner_request{pending.owner, std::move(request)});
}

void offer_to_next_candidate(routing_state& state, routing_context& ctx,
                             pending_request& pending)
{
    auto const max_offers = std::max(state.config->limits.max_candidates, 1U);
    decisions::ranking_options const ranking{
        .policy = state.options.policy,
        .load_bound_percent = state.config->limits.load_bound_percent};
    while (pending.offers < max_offers)
    {
        auto const open_count = gather_candidates(state, pending, now(ctx));
        decisions::ranking_key const key{.chat = pending.request.chat,
                                         .random_bits = random_bits(state)};
        auto const chosen =
            decisions::choose_server(state.candidates, key, ranking);
        if (!chosen)
            break;
        auto const id = state.candidates[chosen->index].id;
        auto const owner = find_owner(state, pending, id);
        bool const last = open_count == 1 || pending.offers + 1 >= max_offers;
        bool const may_queue =
            last || chosen->reason == decisions::choice_reason::all_saturated;
        record_choice(state, pending, *chosen, owner);
        pending.tried.push_back(id);
        bool const at_bound =
            chosen->reason == decisions::choice_reason::await_prefix ||
            chosen->reason == decisions::choice_reason::first_choice;
        if (send_offer(state, pending, id, owner,
                       {.at_limit = may_queue, .at_bound = at_bound}))
            return;
    }
    handle_no_candidate_left(state, ctx, pending);
}

void offer_resumption(routing_state& state, pending_request& pending)
{
    pending.request.resume_offset = pending.first_offset + pending.bytes;
    pending.uncredited_bytes =
        pending.bytes - std::min(pending.consumed_bytes, pending.bytes);
    auto const server = pending.server;
    auto const owner = find_owner(state, pending, server);
    detach_from_server(state, pending);
    pending.awaits_owner = false;
    if (!owner.empty() && !state.lost_owners.contains(owner))
    {
        count(state.metrics, counter::resumes);
        if (send_offer(state, pending, server, owner,
                       {.at_limit = true, .at_bound = true}))
            return;
    }
    ++state.loads[server].local;
    pending.server = server;
    pending.awaits_owner = true;
}

void offer_waiting_resumptions(routing_state& state)
{
    for (auto& [id, pending] : state.requests)
    {
        if (pending.awaits_owner)
            offer_resumption(state, pending);
    }
}

void start_offer_round(routing_state& state, routing_context& ctx,
                       request_id id)
{
    auto const found = state.requests.find(id);
    if (found == state.requests.end())
        return;
    auto& pending = found->second;
    pending.tried.clear();
    pending.offers = 0;
    pending.may_find_room = false;
    offer_to_next_candidate(state, ctx, pending);
}

} // namespace bramleyarch::services::routing

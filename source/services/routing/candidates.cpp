#include "services/routing/routing_parts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleyarch::services::entry
{

namespace
{

using decisions::candidate;

bool holds_model(eligible_server const& server, std::string const& model)
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
    candidate made{.id = server.id,
                   .hash = server.hash,
                   .capacity = server.capacity,
                   .limit = static_cast<double>(server.capacity),
                   .usable = !server.owner.empty() &&
                             !state.lost_owners.contains(server.owner),
                   .tried = was_tried(pending, server.id)};
    auto const load = state.loads.find(server.id);
    if (load == state.loads.end())
        return made;
    made.load = believed_in_flight(load->second, at, state.options.load_decay);
    if (!load->second.reported)
        return made;
    auto const& reported = *load->second.reported;
    made.queued = reported.queued;
    made.limit = std::max(1.0, static_cast<double>(reported.limit));
    made.usable = made.usable && reported.usable;
    return made;
}

/// Fills the state's candidates; returns those of them that can be offered.
std::size_t gather(routing_state& state, pending_request const& pending,
                   time_point at)
{
    state.candidates.clear();
    auto const service = state.services.find(pending.request.service);
    if (service == state.services.end())
        return 0;
    std::size_t open = 0;
    for (auto const& server : service->second.servers)
    {
        if (!holds_model(server, pending.request.model))
            continue;
        state.candidates.push_back(make_candidate(state, server, pending, at));
        auto const& made = state.candidates.back();
        open += made.usable && !made.tried ? 1 : 0;
    }
    return open;
}

router_id owner_in_view(routing_state const& state,
                        pending_request const& pending, server_id const& id)
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

/// When the owner may let the offer wait.
struct queueing
{
    bool at_limit = false;
    bool at_bound = false;
};

/// A body that a server closed may be what took it down. An answer that had
/// begun goes on where it was: its server is known to have borne it.
bool in_doubt(pending_request const& pending)
{
    return pending.server_closes > 0 && !pending.head_sent;
}

/// Hands the offer to the owner; false when there is no way to it.
bool make_offer(routing_state& state, pending_request& pending,
                server_id server, router_id owner, queueing allowed)
{
    ++pending.attempt;
    ++pending.offers;
    pending.server = std::move(server);
    pending.owner = std::move(owner);
    pending.attempt_chunks = 0;
    pending.attempt_bytes = 0;
    decisions::record_offer(pending.latch);
    ++state.loads[pending.server].own;
    count(state.metrics, counter::offers_sent);
    bool const sent =
        send_to_owner(state, pending,
                      offer{.attempt = current_attempt(pending),
                            .server = pending.server,
                            .config_version = state.config->version,
                            .request = pending.request,
                            .may_queue = allowed.at_limit,
                            .may_wait_at_bound = allowed.at_bound,
                            .must_run_alone = in_doubt(pending)});
    if (sent)
        return true;
    // It never left this process.
    decisions::record_redirect(pending.latch);
    leave_server(state, pending);
    return false;
}

/// Starts another round of offers after a pause, if a server has room but is
/// at the bound over the mean, which moves as loads become known.
bool pause_for_round(routing_state& state, routing_context& ctx,
                     pending_request& pending)
{
    constexpr std::uint32_t most_doublings = 8;
    if (!pending.met_bound)
        return false;
    auto const doublings = std::min(pending.rounds, most_doublings);
    auto const longest = std::min(state.options.longest_round_pause,
                                  state.options.round_pause * (1 << doublings));
    auto const half = static_cast<double>(longest.count()) / 2;
    auto const pause =
        duration{static_cast<std::int64_t>(half + half * draw_unit(state))};
    if (now(ctx) + pause >= pending.request.deadline)
        return false;
    ++pending.rounds;
    schedule(ctx, pause, request_check_due{pending.request.id});
    return true;
}

/// Whether an owner behind a lost link may be reached again in a moment.
bool awaits_link(routing_state const& state, pending_request const& pending)
{
    auto const service = state.services.find(pending.request.service);
    if (service == state.services.end())
        return false;
    auto const& servers = service->second.servers;
    return std::any_of(servers.begin(), servers.end(),
                       [&](eligible_server const& server)
                       {
                           return state.lost_owners.contains(server.owner) &&
                                  holds_model(server, pending.request.model);
                       });
}

void refuse_for_want_of_servers(routing_state& state, routing_context& ctx,
                                pending_request& pending)
{
    pending.met_bound = pending.met_bound || awaits_link(state, pending);
    if (pause_for_round(state, ctx, pending))
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
    auto const& picked = state.candidates[chosen.index];
    record(state.metrics,
           {.kind = event_kind::candidate_chosen,
            .request = pending.request.id,
            .server = picked.id,
            .team = pending.request.team,
            .config = state.config->version,
            .cause = fmt::format("{}; believed {:.0f} of {:.0f}; owner {}",
                                 to_name(chosen.reason), picked.load,
                                 picked.limit, owner.value)});
}

} // namespace

double believed_in_flight(believed_load const& load, time_point at,
                          duration decay)
{
    double others = 0;
    if (load.reported && load.reported->in_flight > load.own_at_report)
    {
        double const age = std::chrono::duration<double>(at - load.seen) /
                           std::chrono::duration<double>(decay);
        others =
            (load.reported->in_flight - load.own_at_report) * std::exp(-age);
    }
    return others + load.own;
}

void note_exact_load(routing_state& state, router_id const& owner,
                     server_load const& load, time_point at)
{
    if (load.server.empty() || load.limit == 0)
        return;
    auto& believed = state.loads[load.server];
    believed.reported = load;
    believed.seen = at;
    believed.exact_until = at + state.options.exact_hold;
    believed.own_at_report = believed.own;
    // Fresher than any digest: the own owner service computes means with it.
    if (owner != state.options.self)
        kernel::send(state.owner,
                     loads_changed{.owner = owner, .loads = {load}});
}

void leave_server(routing_state& state, pending_request& pending)
{
    auto const found = state.loads.find(pending.server);
    if (found != state.loads.end() && found->second.own > 0)
        --found->second.own;
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

void offer_next(routing_state& state, routing_context& ctx,
                pending_request& pending)
{
    auto const most = std::max(state.config->limits.max_candidates, 1U);
    decisions::ranking_options const ranking{
        .policy = state.options.policy,
        .load_bound_percent = state.config->limits.load_bound_percent};
    while (pending.offers < most)
    {
        auto const open = gather(state, pending, now(ctx));
        decisions::ranking_key const key{.chat = pending.request.chat,
                                         .random_bits = draw_bits(state)};
        auto const chosen =
            decisions::choose_server(state.candidates, key, ranking);
        if (!chosen)
            break;
        auto const id = state.candidates[chosen->index].id;
        auto const owner = owner_in_view(state, pending, id);
        bool const last = open == 1 || pending.offers + 1 >= most;
        bool const may_queue =
            last || chosen->reason == decisions::choice_reason::all_saturated;
        record_choice(state, pending, *chosen, owner);
        pending.tried.push_back(id);
        bool const at_bound =
            chosen->reason == decisions::choice_reason::await_prefix ||
            chosen->reason == decisions::choice_reason::first_choice;
        if (make_offer(state, pending, id, owner,
                       {.at_limit = may_queue, .at_bound = at_bound}))
            return;
    }
    refuse_for_want_of_servers(state, ctx, pending);
}

void offer_resumption(routing_state& state, pending_request& pending)
{
    pending.request.resume_offset = pending.first_offset + pending.bytes;
    pending.uncredited = pending.bytes - std::min(pending.taken, pending.bytes);
    auto const server = pending.server;
    auto const owner = owner_in_view(state, pending, server);
    leave_server(state, pending);
    pending.awaits_owner = false;
    if (!owner.empty() && !state.lost_owners.contains(owner))
    {
        count(state.metrics, counter::resumes);
        if (make_offer(state, pending, server, owner,
                       {.at_limit = true, .at_bound = true}))
            return;
    }
    ++state.loads[server].own;
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

void begin_round(routing_state& state, routing_context& ctx, request_id id)
{
    auto const found = state.requests.find(id);
    if (found == state.requests.end())
        return;
    auto& pending = found->second;
    pending.tried.clear();
    pending.offers = 0;
    pending.met_bound = false;
    offer_next(state, ctx, pending);
}

} // namespace bramleyarch::services::entry

#include "services/peers/peers_service.hpp"

#include "common/digest.hpp"
#include "services/messages/names.hpp"
#include "wire/peer_heartbeats.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using context = kernel::context<peers_message>;

constexpr duration tick_interval = std::chrono::seconds{1};

/// Number of known peers at which heartbeats add no more, three times the size
/// of the largest planned fleet. It limits memory, since a sender can put any
/// router name into its heartbeats.
constexpr std::size_t max_peers = 1000;

/// Rebuilds the heartbeat rotation from the known peers. If the set of peers
/// has changed, logs this and reports the peers to the routing service.
void update_fleet(peers_state& state)
{
    std::vector<router_id> others;
    state.rotation.own_domain.clear();
    state.rotation.other_domains.clear();
    for (auto const& [id, peer] : state.peers)
    {
        others.push_back(id);
        auto& targets = peer.domain == state.options.domain
                            ? state.rotation.own_domain
                            : state.rotation.other_domains;
        targets.push_back(id);
    }
    if (others == state.reported_peers)
        return;
    state.reported_peers = others;
    log(state.telemetry_sink, log_severity::info, "fleet_changed",
        fmt::format("routers={} own_domain={}", others.size() + 1,
                    state.rotation.own_domain.size() + 1));
    send(state.routing, fleet_changed{std::move(others)});
}

void handle_message(peers_state& state, context& ctx,
                    routers_listed const& listed)
{
    for (auto& [id, peer] : state.peers)
        peer.listed = false;
    for (auto const& router : listed.routers)
    {
        auto& peer = state.peers[router.id];
        peer.heartbeat_address = router.heartbeat;
        peer.domain = router.domain;
        peer.listed = true;
        peer.last_seen = now(ctx);
    }
    update_fleet(state);
}

/// Merges the store revisions of a heartbeat into the newest ones received.
/// Those of a later era of the store replace them. Reports what has changed to
/// the store service.
void merge_peer_revisions(peers_state& state,
                          decisions::peer_heartbeat const& heartbeat)
{
    auto& known = state.peer_revisions;
    if (heartbeat.store_era < known.era)
        return;
    known_revisions newest{.era = heartbeat.store_era,
                           .rules = heartbeat.rules_revision,
                           .servers = heartbeat.servers_revision};
    if (newest.era == known.era)
    {
        newest.rules = std::max(newest.rules, known.rules);
        newest.servers = std::max(newest.servers, known.servers);
    }
    if (newest == known)
        return;
    known = newest;
    send(state.store, peer_revisions_received{newest});
}

/// Returns the peer that sent a heartbeat from `sender`. Adds it if it is
/// unknown: it may have started after the store's list was last read. Returns
/// nullptr if the peer is unknown and `max_peers` are known already.
peer_router* find_or_add_peer(peers_state& state,
                              decisions::peer_heartbeat const& heartbeat,
                              endpoint const& sender)
{
    auto const found = state.peers.find(heartbeat.from);
    if (found != state.peers.end())
        return &found->second;
    if (state.peers.size() >= max_peers)
        return nullptr;
    auto& added = state.peers[heartbeat.from];
    added.heartbeat_address = sender;
    added.domain = heartbeat.domain;
    update_fleet(state);
    return &added;
}

/// Decodes a heartbeat and applies it, unless it is this router's own or not
/// newer than the last one of the same peer.
void handle_datagram(peers_state& state, endpoint const& sender,
                     std::string_view bytes)
{
    add(state.telemetry_sink.counted, counter::control_bytes_received,
        bytes.size());
    auto decoded = wire::decode_peer_heartbeat(bytes);
    if (!decoded)
    {
        count(state.telemetry_sink, counter::heartbeats_malformed);
        return;
    }
    auto& heartbeat = decoded.value();
    if (heartbeat.from == state.options.self)
        return;
    auto* const found = find_or_add_peer(state, heartbeat, sender);
    if (!found)
    {
        count(state.telemetry_sink, counter::heartbeats_malformed);
        return;
    }
    auto& peer = *found;
    if (heartbeat.started < peer.started ||
        (heartbeat.started == peer.started &&
         heartbeat.sequence <= peer.sequence))
        return;
    count(state.telemetry_sink, counter::heartbeats_received);
    peer.started = heartbeat.started;
    peer.sequence = heartbeat.sequence;
    peer.last_seen = now(*state.clock);
    merge_peer_revisions(state, heartbeat);
    auto const time_of = [&peer](auto const& aged)
    { return peer.last_seen - std::chrono::milliseconds{aged.age_ms}; };
    for (auto const& crash : heartbeat.request_crashes)
        send(state.routing,
             peer_request_crash_received{{.request = crash.request,
                                          .server = crash.server,
                                          .at = time_of(crash)}});
    for (auto const& answer : heartbeat.request_answers)
        send(state.routing,
             peer_request_answer_received{{answer.request, time_of(answer)}});
    for (auto& crash : heartbeat.prompt_crashes)
        send(state.routing,
             peer_prompt_crash_received{{.server = crash.server,
                                         .at = time_of(crash),
                                         .parts = std::move(crash.parts)}});
    for (auto const& answer : heartbeat.part_answers)
        send(state.routing,
             peer_part_answer_received{{answer.part, time_of(answer)}});
    send(state.routing, peer_heartbeat_received{std::move(heartbeat)});
}

void send_heartbeat(peers_state& state, std::vector<router_id> const& targets,
                    decisions::peer_heartbeat const& heartbeat)
{
    auto const bytes = wire::encode_peer_heartbeat(heartbeat);
    for (auto const& id : targets)
    {
        net::send(*state.socket, state.peers.at(id).heartbeat_address, bytes);
        count(state.telemetry_sink, counter::heartbeats_sent);
        count(state.telemetry_sink, counter::control_bytes_sent, bytes.size());
    }
}

std::uint32_t age_ms(peers_state const& state, time_point at)
{
    return static_cast<std::uint32_t>(to_ms(now(*state.clock) - at));
}

/// Adds the crashes of requests, and the answers that clear them, to a
/// heartbeat.
void add_request_news(peers_state& state, decisions::peer_heartbeat& heartbeat)
{
    auto const is_sent = [](auto const& pending)
    { return pending.rounds_left <= 0; };
    for (auto& [crash, rounds_left] : state.request_crashes)
    {
        heartbeat.request_crashes.push_back(
            {.request = crash.request,
             .server = crash.server,
             .age_ms = age_ms(state, crash.at)});
        --rounds_left;
    }
    std::erase_if(state.request_crashes, is_sent);
    for (auto& [answer, rounds_left] : state.request_answers)
    {
        heartbeat.request_answers.push_back(
            {.request = answer.request, .age_ms = age_ms(state, answer.at)});
        --rounds_left;
    }
    std::erase_if(state.request_answers, is_sent);
}

/// Adds the oldest crashes to a heartbeat, as many as its size allows; the
/// others follow in later rounds.
void add_prompt_crashes(peers_state& state,
                        decisions::peer_heartbeat& heartbeat)
{
    // 2 KiB, so that a heartbeat of a large fleet stays far below the size that
    // receivers accept. A crash has at most 64 parts.
    constexpr std::size_t max_parts = 256;
    std::size_t parts = 0;
    for (auto& pending : state.prompt_crashes)
    {
        auto const& crash = pending.crash;
        parts += crash.parts.size();
        if (parts > max_parts && !heartbeat.prompt_crashes.empty())
            break;
        heartbeat.prompt_crashes.push_back({.server = crash.server,
                                            .age_ms = age_ms(state, crash.at),
                                            .parts = crash.parts});
        --pending.rounds_left;
    }
    std::erase_if(state.prompt_crashes, [](pending_prompt_crash const& pending)
                  { return pending.rounds_left <= 0; });
}

/// Adds the oldest answers to a heartbeat; the others follow in later rounds.
void add_part_answers(peers_state& state, decisions::peer_heartbeat& heartbeat)
{
    for (auto& pending : state.part_answers)
    {
        if (heartbeat.part_answers.size() >=
            decisions::max_answers_per_heartbeat)
            break;
        heartbeat.part_answers.push_back(
            {.part = pending.answer.part,
             .age_ms = age_ms(state, pending.answer.at)});
        --pending.rounds_left;
    }
    std::erase_if(state.part_answers, [](pending_part_answer const& pending)
                  { return pending.rounds_left <= 0; });
}

/// Sends one round of heartbeats. Peers of the same domain receive the loads
/// of this router, peers of other domains those of its whole domain.
void handle_message(peers_state& state, context&, local_load_report report)
{
    if (!state.socket || state.peers.empty())
        return;
    decisions::peer_heartbeat heartbeat{
        .from = state.options.self,
        .domain = state.options.domain,
        .started = state.options.started,
        .sequence = ++state.sequence,
        .store_era = state.local_revisions.era,
        .rules_revision = state.local_revisions.rules,
        .servers_revision = state.local_revisions.servers};
    add_request_news(state, heartbeat);
    add_prompt_crashes(state, heartbeat);
    add_part_answers(state, heartbeat);
    auto const round =
        next_heartbeat_targets(state.rotation, state.options.rotation);
    heartbeat.server_paces = std::move(report.paces);
    heartbeat.server_limits = std::move(report.limits);
    heartbeat.loads = std::move(report.local);
    heartbeat.rollouts = std::move(report.local_rollouts);
    heartbeat.service_demands = std::move(report.local_demands);
    send_heartbeat(state, round.own_domain, heartbeat);
    heartbeat.loads = std::move(report.domain);
    heartbeat.rollouts = std::move(report.domain_rollouts);
    heartbeat.service_demands = std::move(report.domain_demands);
    send_heartbeat(state, round.other_domains, heartbeat);
}

void handle_message(peers_state& state, context&, known_revisions const& local)
{
    state.local_revisions = local;
}

/// Adds a crash to the next heartbeats; replaces the oldest one if too many are
/// pending.
void handle_message(peers_state& state, context&,
                    gossip_request_crash const& gossip)
{
    auto& pending = state.request_crashes;
    bool const is_full = pending.size() >= decisions::max_pending_crashes;
    if (is_full && gossip.is_repeat)
        return;
    if (is_full)
        pending.erase(pending.begin());
    pending.push_back(
        {gossip.crash, gossip.is_repeat ? 1 : decisions::rounds_per_suspect});
}

/// Adds an answer to the next heartbeats. It takes the place of an earlier one
/// to the same request, or of the oldest one if too many are pending.
void handle_message(peers_state& state, context&,
                    gossip_request_answer const& gossip)
{
    auto& pending = state.request_answers;
    std::erase_if(pending, [&gossip](pending_request_answer const& earlier)
                  { return earlier.answer.request == gossip.answer.request; });
    if (pending.size() >= decisions::max_pending_crashes)
        pending.erase(pending.begin());
    pending.push_back({gossip.answer, decisions::rounds_per_suspect});
}

/// Adds a crash to the next heartbeats, as with those of requests.
void handle_message(peers_state& state, context&,
                    gossip_prompt_crash const& gossip)
{
    if (state.prompt_crashes.size() >= decisions::max_pending_crashes)
        state.prompt_crashes.erase(state.prompt_crashes.begin());
    state.prompt_crashes.push_back(
        {gossip.crash, decisions::rounds_per_suspect});
}

/// Adds an answer to the next heartbeats. It takes the place of an earlier one
/// for the same part.
void handle_message(peers_state& state, context&,
                    gossip_part_answer const& gossip)
{
    auto const same_part = [&](pending_part_answer const& pending)
    { return pending.answer.part == gossip.answer.part; };
    auto const known = std::ranges::find_if(state.part_answers, same_part);
    if (known != state.part_answers.end())
    {
        known->answer.at = std::max(known->answer.at, gossip.answer.at);
        known->rounds_left = decisions::rounds_per_suspect;
        return;
    }
    if (state.part_answers.size() >= decisions::max_pending_answers)
        state.part_answers.erase(state.part_answers.begin());
    state.part_answers.push_back(
        {gossip.answer, decisions::rounds_per_suspect});
}

void handle_message(peers_state&, context&, drain_started) {}

void handle_message(peers_state& state, context&, status_query const& query)
{
    query.reply(fmt::format(R"({{"peers":{}}})", state.peers.size()));
}

void handle_message(peers_state& state, context& ctx, peers_tick)
{
    schedule(ctx, tick_interval, peers_tick{});
    std::erase_if(state.peers,
                  [&](auto const& entry)
                  {
                      return !entry.second.listed &&
                             now(ctx) - entry.second.last_seen >
                                 state.options.unlisted_peer_timeout;
                  });
    update_fleet(state);
    flush(state.telemetry_sink);
}

void start(peers_state& state, context& ctx)
{
    state.self = ctx.self;
    state.clock = ctx.clock;
    connect(state.telemetry_sink, *ctx.names);
    decisions::stagger(state.rotation, mix(name_hash(state.options.self.value),
                                           state.options.seed));
    state.routing =
        ctx.names->find<routing_message>(to_name(service_name::routing));
    state.store = ctx.names->find<store_message>(to_name(service_name::store));
    auto socket = net::open_datagrams(
        *state.options.loop, state.options.listen,
        [&state](endpoint const& sender, std::string_view bytes)
        { handle_datagram(state, sender, bytes); });
    if (socket)
        state.socket = socket.value();
    else
        log(state.telemetry_sink, log_severity::error, "start_failed",
            describe(socket.error()));
    schedule(ctx, tick_interval, peers_tick{});
}

void receive(peers_state& state, context& ctx, peers_message message)
{
    std::visit(
        [&](auto&& alternative)
        {
            handle_message(state, ctx,
                           std::forward<decltype(alternative)>(alternative));
        },
        std::move(message));
}

void stop(peers_state& state, context&)
{
    if (state.socket)
        net::close(*state.socket);
    state.socket = nullptr;
}

void wait(peers_state& state, duration limit)
{
    net::wait(*state.options.loop, limit);
}

void wake(peers_state& state)
{
    net::wake(*state.options.loop);
}

} // namespace

peers_service make_peers_service(peers_options options)
{
    return {.name = std::string{to_name(service_name::peers)},
            .state = {.options = std::move(options)},
            .start = start,
            .receive = receive,
            .stop = stop,
            .loop = {.wait = wait, .wake = wake}};
}

} // namespace bramleyarch::services

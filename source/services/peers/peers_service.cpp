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

/// Beats that tell of a suspected request: losing all of them is unlikely
/// where some in a hundred datagrams are lost.
constexpr int beats_per_suspect = 4;

/// Peers that are known at most, three times the largest fleet planned: beats
/// name their senders themselves.
constexpr std::size_t max_peers = 1000;

/// Tells the routing service of the other routers when they change.
void rebuild_order(peers_state& state)
{
    std::vector<router_id> others;
    state.order.own_domain.clear();
    state.order.other_domains.clear();
    for (auto const& [id, p] : state.peers)
    {
        others.push_back(id);
        auto& turn = p.domain == state.options.domain
                         ? state.order.own_domain
                         : state.order.other_domains;
        turn.push_back(id);
    }
    if (others == state.told_fleet)
        return;
    state.told_fleet = others;
    log(state.counted, log_severity::info, "fleet_changed",
        fmt::format("routers={} own_domain={}", others.size() + 1,
                    state.order.own_domain.size() + 1));
    send(state.routing, fleet_changed{std::move(others)});
}

void receive_one(peers_state& state, context& ctx, routers_listed const& listed)
{
    for (auto& [id, p] : state.peers)
        p.listed = false;
    for (auto const& router : listed.routers)
    {
        auto& p = state.peers[router.id];
        p.heartbeat = router.heartbeat;
        p.domain = router.domain;
        p.listed = true;
        p.seen = now(ctx);
    }
    rebuild_order(state);
}

/// Tells the store service of changes that were not heard of before.
void note_changes(peers_state& state, decisions::peer_heartbeat const& beat)
{
    auto& known = state.peer_changes;
    known_revisions const newest{
        .rules = std::max(known.rules, beat.rules_revision),
        .servers = std::max(known.servers, beat.servers_revision)};
    if (newest == known)
        return;
    known = newest;
    send(state.store, peer_revisions_received{newest});
}

/// The peer of a beat. One that no list named yet has started since the last
/// one was read. Null when too many are known.
peer* peer_of(peers_state& state, decisions::peer_heartbeat const& beat,
              endpoint const& from)
{
    auto const found = state.peers.find(beat.from);
    if (found != state.peers.end())
        return &found->second;
    if (state.peers.size() >= max_peers)
        return nullptr;
    auto& added = state.peers[beat.from];
    added.heartbeat = from;
    added.domain = beat.domain;
    rebuild_order(state);
    return &added;
}

void take_beat(peers_state& state, endpoint const& from, std::string_view bytes)
{
    add(state.counted.counted, counter::control_bytes_received, bytes.size());
    auto decoded = wire::decode_peer_heartbeat(bytes);
    if (!decoded)
    {
        count(state.counted, counter::heartbeats_malformed);
        return;
    }
    auto& beat = decoded.value();
    if (beat.from == state.options.self)
        return;
    auto* const known = peer_of(state, beat, from);
    if (!known)
    {
        count(state.counted, counter::heartbeats_malformed);
        return;
    }
    auto& p = *known;
    if (beat.started < p.started ||
        (beat.started == p.started && beat.sequence <= p.sequence))
        return;
    count(state.counted, counter::heartbeats_received);
    p.started = beat.started;
    p.sequence = beat.sequence;
    p.seen = now(*state.clock);
    note_changes(state, beat);
    for (auto const& suspect : beat.suspects)
        send(state.routing,
             peer_suspect_received{suspect.fingerprint, suspect.server});
    send(state.routing, peer_heartbeat_received{std::move(beat)});
}

void send_beat(peers_state& state, std::vector<router_id> const& to,
               decisions::peer_heartbeat const& beat)
{
    auto const bytes = wire::encode_peer_heartbeat(beat);
    for (auto const& id : to)
    {
        net::send(*state.socket, state.peers.at(id).heartbeat, bytes);
        count(state.counted, counter::heartbeats_sent);
        count(state.counted, counter::control_bytes_sent, bytes.size());
    }
}

/// Tells the next peers in turn.
void receive_one(peers_state& state, context&, local_load_report own)
{
    if (!state.socket || state.peers.empty())
        return;
    decisions::peer_heartbeat beat{.from = state.options.self,
                                   .domain = state.options.domain,
                                   .started = state.options.started,
                                   .sequence = ++state.sequence,
                                   .rules_revision = state.own_changes.rules,
                                   .servers_revision =
                                       state.own_changes.servers};
    for (auto& suspect : state.suspects)
    {
        beat.suspects.push_back(suspect.body);
        --suspect.beats_left;
    }
    std::erase_if(state.suspects,
                  [](told_suspect const& s) { return s.beats_left <= 0; });
    auto const round = next_heartbeat_targets(state.order, state.options.order);
    beat.loads = std::move(own.local);
    send_beat(state, round.own_domain, beat);
    beat.loads = std::move(own.domain);
    send_beat(state, round.other_domains, beat);
}

void receive_one(peers_state& state, context&, known_revisions const& own)
{
    state.own_changes = own;
}

void receive_one(peers_state& state, context&, gossip_suspect const& suspect)
{
    constexpr std::size_t most_suspects = 32;
    if (state.suspects.size() >= most_suspects)
        state.suspects.erase(state.suspects.begin());
    state.suspects.push_back(
        {{suspect.fingerprint, suspect.server_hash}, beats_per_suspect});
}

void receive_one(peers_state&, context&, drain_started) {}

void receive_one(peers_state& state, context&, status_query const& query)
{
    query.reply(fmt::format(R"({{"peers":{}}})", state.peers.size()));
}

void receive_one(peers_state& state, context& ctx, peers_tick)
{
    schedule(ctx, tick_interval, peers_tick{});
    std::erase_if(state.peers,
                  [&](auto const& entry)
                  {
                      return !entry.second.listed &&
                             now(ctx) - entry.second.seen >
                                 state.options.absent_after;
                  });
    rebuild_order(state);
    flush(state.counted);
}

void start(peers_state& state, context& ctx)
{
    state.self = ctx.self;
    state.clock = ctx.clock;
    connect(state.counted, *ctx.names);
    decisions::stagger(state.order, mix(name_hash(state.options.self.value),
                                        state.options.seed));
    state.routing =
        ctx.names->find<routing_message>(to_name(service_name::routing));
    state.store = ctx.names->find<store_message>(to_name(service_name::store));
    auto socket = net::open_datagrams(
        *state.options.loop, state.options.listen,
        [&state](endpoint const& from, std::string_view bytes)
        { take_beat(state, from, bytes); });
    if (socket)
        state.socket = socket.value();
    else
        log(state.counted, log_severity::error, "start_failed",
            describe(socket.error()));
    schedule(ctx, tick_interval, peers_tick{});
}

void receive(peers_state& state, context& ctx, peers_message message)
{
    std::visit([&](auto&& m)
               { receive_one(state, ctx, std::forward<decltype(m)>(m)); },
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

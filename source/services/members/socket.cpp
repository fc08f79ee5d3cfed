/// Sending and receiving of datagrams, and publishing of changes.
#include "services/members/members_core.hpp"

#include "wire/heartbeats.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include <fmt/core.h>

#include <cstdio>
#include <string_view>

namespace bramleyarch::services
{

namespace
{

using boost::asio::ip::udp;
using boost::system::error_code;

void handle_datagram(members_core& core, std::string_view bytes)
{
    add(core.counters, counter::control_bytes_received, bytes.size());
    auto const decoded = wire::decode_heartbeat(bytes);
    if (!decoded)
    {
        add(core.counters, counter::heartbeats_malformed);
        return;
    }
    add(core.counters, counter::heartbeats_received);
    endpoint const from{.address = core.sender.address().to_string(),
                        .port = core.sender.port()};
    publish(core, handle_heartbeat(core.protocol_state, decoded.value(), from,
                                   now(core)));
}

void receive_next(members_core& core)
{
    core.socket.async_receive_from(
        boost::asio::buffer(core.received), core.sender,
        [&core](error_code failed, std::size_t size)
        {
            if (failed == boost::asio::error::operation_aborted)
                return;
            if (!failed)
                handle_datagram(core, {core.received.data(), size});
            receive_next(core);
        });
}

/// Sends a datagram. A datagram that cannot be sent is lost: the protocol
/// tolerates the loss of any datagram.
void send_datagram(members_core& core, datagram const& message)
{
    error_code failed;
    auto const address =
        boost::asio::ip::make_address(message.to.address, failed);
    if (failed)
        return;
    auto const bytes = wire::encode_heartbeat(message.content);
    core.socket.send_to(boost::asio::buffer(bytes), {address, message.to.port},
                        0, failed);
    add(core.counters, counter::heartbeats_sent);
    add(core.counters, counter::control_bytes_sent, bytes.size());
}

/// Recomputes which servers this router owns in a new view.
void update_ownership(members_core& core, member_view const& view)
{
    if (!core.protocol_state.config)
        return;
    auto const assigned =
        decisions::assign_owners(*core.protocol_state.config, view);
    decisions::apply_ownership(core.local_loads, assigned, view.self,
                               now(core));
}

void publish_transition(members_core& core, member_transition const& transition)
{
    event recorded;
    recorded.cause = transition.router.value;
    switch (transition.state)
    {
    case member_state::joining:
        recorded.kind = event_kind::member_joining;
        break;
    case member_state::live:
        recorded.kind = event_kind::member_live;
        break;
    case member_state::suspect:
        recorded.kind = event_kind::member_suspect;
        add(core.counters, counter::members_suspected);
        break;
    case member_state::leaving:
        recorded.kind = event_kind::member_leaving;
        break;
    case member_state::gone:
        recorded.kind = event_kind::member_gone;
        add(core.counters, counter::members_gone);
        break;
    }
    send(core.timeline, record_event{std::move(recorded)});
}

void publish_loads(members_core& core, received_loads const& received)
{
    loads_changed message{.owner = received.owner, .age = received.age};
    for (auto const& load : received.loads)
    {
        auto const server = core.names.servers.find(load.server);
        if (server == core.names.servers.end())
            continue;
        message.loads.push_back({.server = server->second,
                                 .in_flight = load.in_flight,
                                 .queued = load.queued,
                                 .limit = load.limit,
                                 .cold = load.cold,
                                 .usable = load.usable});
    }
    send(core.routing, std::move(message));
}

void publish_demand(members_core& core, received_demand const& received)
{
    demand_changed message{.router = received.router};
    for (auto const& rate : received.demand)
    {
        auto const team = core.names.teams.find(rate.team);
        if (team != core.names.teams.end())
            message.demand.push_back({team->second, rate.rate_milli});
    }
    send(core.routing, std::move(message));
}

void publish_quarantine(members_core& core,
                        decisions::compact_quarantine const& update)
{
    quarantine_update message{.body_fingerprint = update.body_fingerprint,
                              .quarantined = update.quarantined,
                              .ttl_ms = update.ttl_ms};
    auto const server = core.names.servers.find(update.server);
    if (server != core.names.servers.end())
        message.server = server->second;
    send(core.routing, message);
    send(core.owner, message);
}

} // namespace

bool open_socket(members_core& core, endpoint const& at)
{
    error_code failed;
    auto const address = boost::asio::ip::make_address(at.address, failed);
    if (!failed)
        core.socket.open(udp::v4(), failed);
    if (!failed)
        core.socket.bind({address, at.port}, failed);
    if (!failed)
        core.socket.non_blocking(true, failed);
    if (failed)
    {
        fmt::print(stderr,
                   "members: cannot bind {}:{}: {}; configure a free "
                   "address of this machine\n",
                   at.address, at.port, failed.message());
        return false;
    }
    receive_next(core);
    return true;
}

void publish(members_core& core, protocol_output const& out)
{
    for (auto const& message : out.datagrams)
        send_datagram(core, message);
    if (out.view)
    {
        update_ownership(core, *out.view);
        members_changed const message{out.view};
        send(core.routing, message);
        send(core.owner, message);
        send(core.link, message);
        send(core.claims, message);
        send(core.configuration, message);
        send(core.admin, message);
    }
    for (auto const& transition : out.transitions)
        publish_transition(core, transition);
    for (auto const& peer : out.versions)
        send(core.configuration,
             peer_version_advertised{peer.router, peer.version});
    for (auto const& loads : out.loads)
        publish_loads(core, loads);
    for (auto const& demand : out.demand)
        publish_demand(core, demand);
    for (auto const& entry : out.quarantine)
        publish_quarantine(core, entry);
}

} // namespace bramleyarch::services

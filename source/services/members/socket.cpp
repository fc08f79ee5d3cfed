/// Datagrams in and out of the members service.
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
    add(core.counted, counter::control_bytes_received, bytes.size());
    auto const decoded = wire::decode_heartbeat(bytes);
    if (!decoded)
    {
        add(core.counted, counter::heartbeats_malformed);
        return;
    }
    add(core.counted, counter::heartbeats_received);
    endpoint const from{.address = core.sender.address().to_string(),
                        .port = core.sender.port()};
    publish(core, receive_heartbeat(core.p, decoded.value(), from, now(core)));
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

/// A datagram that can't be sent now is lost, as any may be.
void send_datagram(members_core& core, datagram const& d)
{
    error_code failed;
    auto const address = boost::asio::ip::make_address(d.to.address, failed);
    if (failed)
        return;
    auto const bytes = wire::encode_heartbeat(d.content);
    core.socket.send_to(boost::asio::buffer(bytes), {address, d.to.port}, 0,
                        failed);
    add(core.counted, counter::heartbeats_sent);
    add(core.counted, counter::control_bytes_sent, bytes.size());
}

void publish_view(members_core& core, member_view const& view)
{
    if (!core.p.config)
        return;
    auto const assigned = decisions::assign_owners(*core.p.config, view);
    decisions::apply_ownership(core.own, assigned, view.self, now(core));
}

void publish_transition(members_core& core, member_transition const& t)
{
    event what;
    what.cause = t.router.value;
    switch (t.state)
    {
    case member_state::joining:
        what.kind = event_kind::member_joining;
        break;
    case member_state::live:
        what.kind = event_kind::member_live;
        break;
    case member_state::suspect:
        what.kind = event_kind::member_suspect;
        add(core.counted, counter::members_suspected);
        break;
    case member_state::leaving:
        what.kind = event_kind::member_leaving;
        break;
    case member_state::gone:
        what.kind = event_kind::member_gone;
        add(core.counted, counter::members_gone);
        break;
    }
    send(core.timeline, record_event{std::move(what)});
}

void publish_loads(members_core& core, learned_loads const& learned)
{
    loads_changed message{.owner = learned.owner, .age = learned.age};
    for (auto const& l : learned.loads)
    {
        auto const server = core.names.servers.find(l.server);
        if (server == core.names.servers.end())
            continue;
        message.loads.push_back({.server = server->second,
                                 .in_flight = l.in_flight,
                                 .queued = l.queued,
                                 .limit = l.limit,
                                 .cold = l.cold,
                                 .usable = l.usable});
    }
    send(core.routing, std::move(message));
}

void publish_demand(members_core& core, learned_demand const& learned)
{
    demand_changed message{.router = learned.router};
    for (auto const& d : learned.demand)
    {
        auto const team = core.names.teams.find(d.team);
        if (team != core.names.teams.end())
            message.demand.push_back({team->second, d.rate_milli});
    }
    send(core.routing, std::move(message));
}

void publish_quarantine(members_core& core,
                        decisions::compact_quarantine const& news)
{
    quarantine_update message{.body_fingerprint = news.body_fingerprint,
                              .quarantined = news.quarantined,
                              .ttl_ms = news.ttl_ms};
    auto const server = core.names.servers.find(news.server);
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
                   "members: can't use {}:{}: {}; give the settings a free "
                   "address of this machine\n",
                   at.address, at.port, failed.message());
        return false;
    }
    receive_next(core);
    return true;
}

void publish(members_core& core, protocol_output const& out)
{
    for (auto const& d : out.datagrams)
        send_datagram(core, d);
    if (out.view)
    {
        publish_view(core, *out.view);
        members_changed const message{out.view};
        send(core.routing, message);
        send(core.owner, message);
        send(core.link, message);
        send(core.claims, message);
        send(core.configuration, message);
        send(core.admin, message);
    }
    for (auto const& t : out.transitions)
        publish_transition(core, t);
    for (auto const& v : out.versions)
        send(core.configuration, peer_version_advertised{v.router, v.version});
    for (auto const& l : out.loads)
        publish_loads(core, l);
    for (auto const& d : out.demand)
        publish_demand(core, d);
    for (auto const& q : out.quarantine)
        publish_quarantine(core, q);
}

} // namespace bramleyarch::services

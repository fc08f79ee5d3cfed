#include "services/link/link_service.hpp"

#include "services/link/link_core.hpp"
#include "services/loops/asio_loop.hpp"
#include "services/messages/names.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using boost::asio::ip::tcp;

constexpr duration tick_interval = milliseconds{100};

constexpr std::size_t scratch_bytes = 256U << 10;

void listen(link_core& core)
{
    boost::system::error_code failed;
    auto const& at = core.options.listen;
    auto const address = boost::asio::ip::make_address(at.address, failed);
    if (!failed)
        core.acceptor.open(tcp::v4(), failed);
    if (!failed)
        core.acceptor.set_option(tcp::acceptor::reuse_address{true}, failed);
    if (!failed)
        core.acceptor.bind({address, at.port}, failed);
    if (!failed)
        core.acceptor.listen(tcp::acceptor::max_listen_connections, failed);
    if (failed)
    {
        fmt::print(stderr,
                   "link: can't listen on {}:{}: {}; give the settings a free "
                   "address of this machine\n",
                   at.address, at.port, failed.message());
        return;
    }
    *core.options.bound_port = core.acceptor.local_endpoint().port();
    accept_next(core);
}

void start(link_state& state, kernel::context<link_message>& ctx)
{
    state.core.reset(new link_core{.options = state.options,
                                   .clock = ctx.clock,
                                   .scratch = std::vector<char>(scratch_bytes),
                                   .ticked_at = now(ctx),
                                   .reported_at = now(ctx)});
    auto& core = *state.core;
    auto const& names = *ctx.names;
    core.routing = names.find<routing_message>(to_name(service_name::routing));
    core.owner = names.find<owner_message>(to_name(service_name::owner));
    core.members = names.find<members_message>(to_name(service_name::members));
    core.configuration =
        names.find<configuration_message>(to_name(service_name::configuration));
    core.timeline =
        names.find<timeline_message>(to_name(service_name::timeline));
    core.metrics = names.find<metrics_message>(to_name(service_name::metrics));
    listen(core);
    schedule(ctx, tick_interval, link_tick{});
}

/// The connection to `to`, opened if need be; nothing for a router without a
/// known address or one that could not be reached a moment ago.
connection_ptr connection_to(link_core& core, router_id const& to)
{
    auto const existing = core.outgoing.find(to);
    if (existing != core.outgoing.end())
        return existing->second;
    auto const peer = core.peers.find(to);
    if (peer == core.peers.end())
        return nullptr;
    auto const rest = core.backoffs.find(to);
    if (rest != core.backoffs.end() && now(core) < rest->second.until)
        return nullptr;
    return open_connection(core, to, peer->second.link);
}

void handle(link_core& core, offer offered, router_id const& to)
{
    auto const c = connection_to(core, to);
    if (c)
        send_when_open(core, c, std::move(offered));
    else
        answer_unsent(core, to, {offered.attempt, offered.server},
                      error_kind::owner_lost);
}

/// Cancellations and credit mean nothing on another connection than that of
/// their offer.
template <class Message>
void handle(link_core& core, Message message, router_id const& to)
{
    auto const existing = core.outgoing.find(to);
    if (existing == core.outgoing.end())
    {
        send(core.routing, link_lost{to, std::vector{message.attempt}});
        return;
    }
    auto const c = existing->second;
    send_when_open(core, c, std::move(message));
}

void handle(link_core& core, send_owner_request message)
{
    std::visit([&](auto& request)
               { handle(core, std::move(request), message.to); },
               message.request);
}

void handle(link_core& core, send_owner_reply message)
{
    auto const found = core.incoming.find(message.to);
    if (found == core.incoming.end())
    {
        send(core.owner, link_lost{message.to});
        return;
    }
    auto const c = found->second;
    std::visit(
        [&](auto& reply)
        {
            using type = std::remove_reference_t<decltype(reply)>;
            constexpr bool ends = std::is_same_v<type, redirect> ||
                                  std::is_same_v<type, answer_end> ||
                                  std::is_same_v<type, answer_error>;
            if constexpr (ends)
                c->in_flight.erase(reply.attempt);
            send_when_open(core, c, std::move(reply));
        },
        message.reply);
}

void handle(link_core& core, fetch_config const& message)
{
    if (auto const c = connection_to(core, message.from))
        send_when_open(core, c, wire::config_fetch{message.newer_than});
}

void handle(link_core& core, send_config message)
{
    auto const found = core.incoming.find(message.to);
    auto const c = found != core.incoming.end()
                       ? found->second
                       : connection_to(core, message.to);
    if (c)
        send_when_open(core, c, wire::config_answer{std::move(message.json)});
}

/// A router that started anew has lost what was in flight to it.
void replace_address(link_core& core, router_id const& id,
                     peer_address const& next)
{
    core.backoffs.erase(id);
    auto const existing = core.outgoing.find(id);
    if (existing == core.outgoing.end())
        return;
    auto const c = existing->second;
    bool const same_process =
        c->phase == link_phase::open && c->peer_started == next.started;
    if (!same_process)
        close_connection(core, c, close_cause::replaced);
}

void handle(link_core& core, members_changed const& message)
{
    std::unordered_map<router_id, peer_address> peers;
    for (auto const& m : message.view->members)
    {
        if (m.id == core.options.self || m.link.port == 0)
            continue;
        peer_address const next{.link = m.link, .started = m.started};
        auto const known = core.peers.find(m.id);
        bool const changed = known != core.peers.end() &&
                             (known->second.link != next.link ||
                              known->second.started != next.started);
        if (changed)
            replace_address(core, m.id, next);
        peers.emplace(m.id, next);
    }
    core.peers = std::move(peers);
}

void handle(link_core& core, status_query const& message)
{
    message.reply(fmt::format(R"({{"outgoing":{},"incoming":{}}})",
                              core.outgoing.size(), core.incoming.size()));
}

bool has_written_all(connection_ptr const& c)
{
    return c->waiting.empty() && c->pending.empty() && c->writing.empty();
}

void handle(link_core& core, idle_query const& message)
{
    auto const done = [](auto const& entry)
    { return has_written_all(entry.second); };
    message.reply(std::ranges::all_of(core.outgoing, done) &&
                  std::ranges::all_of(core.incoming, done));
}

void handle(link_core&, config_changed const&) {}

/// Links stay up during a drain: what is in flight has to finish.
void handle(link_core&, drain_started const&) {}

void receive(link_state& state, kernel::context<link_message>& ctx,
             link_message message)
{
    auto& core = *state.core;
    if (std::holds_alternative<link_tick>(message))
    {
        keep_up(core);
        schedule(ctx, tick_interval, link_tick{});
        return;
    }
    std::visit(
        [&](auto& m)
        {
            using type = std::remove_reference_t<decltype(m)>;
            if constexpr (!std::is_same_v<type, link_tick>)
                handle(core, std::move(m));
        },
        message);
}

void stop(link_state& state, kernel::context<link_message>&)
{
    auto& core = *state.core;
    boost::system::error_code ignored;
    core.acceptor.close(ignored);
    while (!core.outgoing.empty())
        close_connection(core, connection_ptr{core.outgoing.begin()->second},
                         close_cause::stopped);
    while (!core.incoming.empty())
        close_connection(core, connection_ptr{core.incoming.begin()->second},
                         close_cause::stopped);
}

} // namespace

void link_core_deleter::operator()(link_core* core) const
{
    delete core;
}

kernel::service<link_state, link_message>
make_link_service(link_options options)
{
    return {.name = std::string{to_name(service_name::link)},
            .state = {.options = std::move(options)},
            .start = start,
            .receive = receive,
            .stop = stop,
            .loop = asio_loop<link_state>()};
}

} // namespace bramleyarch::services

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

constexpr std::size_t read_buffer_bytes = 256U << 10;

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
                   "link: can't listen on {}:{}: {}; set listen.link to a free "
                   "address of this machine\n",
                   at.address, at.port, failed.message());
        return;
    }
    *core.options.bound_port = core.acceptor.local_endpoint().port();
    accept_connections(core);
}

void start(link_state& state, kernel::context<link_message>& ctx)
{
    state.core.reset(
        new link_core{.options = state.options,
                      .clock = ctx.clock,
                      .read_buffer = std::vector<char>(read_buffer_bytes),
                      .last_tick_at = now(ctx),
                      .last_report_at = now(ctx)});
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

/// Returns the connection to a router and opens it if there is none. Returns
/// nullptr if the address of the router is unknown or the delay after a failure
/// to connect has not passed.
connection_ptr find_or_open_connection(link_core& core, router_id const& to)
{
    auto const existing = core.outgoing.find(to);
    if (existing != core.outgoing.end())
        return existing->second;
    auto const peer = core.peers.find(to);
    if (peer == core.peers.end())
        return nullptr;
    auto const retry = core.backoffs.find(to);
    if (retry != core.backoffs.end() && now(core) < retry->second.retry_at)
        return nullptr;
    return open_connection(core, to, peer->second.link);
}

void handle(link_core& core, offer offered, router_id const& to)
{
    auto const link = find_or_open_connection(core, to);
    if (link)
        send_when_open(core, link, std::move(offered));
    else
        reject_unsent_offer(core, to, {offered.attempt, offered.server},
                            error_kind::owner_lost);
}

/// Sends a cancellation or credit. It is valid only on the connection of its
/// offer, so the attempt is reported as lost if that connection is gone.
template <class Message>
void handle(link_core& core, Message message, router_id const& to)
{
    auto const existing = core.outgoing.find(to);
    if (existing == core.outgoing.end())
    {
        send(core.routing, link_lost{to, std::vector{message.attempt}});
        return;
    }
    auto const link = existing->second;
    send_when_open(core, link, std::move(message));
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
    auto const link = found->second;
    std::visit(
        [&](auto& reply)
        {
            using type = std::remove_reference_t<decltype(reply)>;
            constexpr bool ends = std::is_same_v<type, redirect> ||
                                  std::is_same_v<type, answer_end> ||
                                  std::is_same_v<type, answer_error>;
            if constexpr (ends)
                link->in_flight.erase(reply.attempt);
            send_when_open(core, link, std::move(reply));
        },
        message.reply);
}

void handle(link_core& core, fetch_config const& message)
{
    if (auto const link = find_or_open_connection(core, message.from))
        send_when_open(core, link, wire::config_fetch{message.newer_than});
}

void handle(link_core& core, send_config message)
{
    auto const found = core.incoming.find(message.to);
    auto const link = found != core.incoming.end()
                          ? found->second
                          : find_or_open_connection(core, message.to);
    if (link)
        send_when_open(core, link,
                       wire::config_answer{std::move(message.json)});
}

/// Closes the connection to a router whose address or start changed, since a
/// restarted router has lost the requests in flight to it. A connection that
/// already belongs to the new start stays open.
void handle_address_change(link_core& core, router_id const& id,
                           peer_address const& next)
{
    core.backoffs.erase(id);
    auto const existing = core.outgoing.find(id);
    if (existing == core.outgoing.end())
        return;
    auto const link = existing->second;
    bool const same_process =
        link->phase == link_phase::open && link->peer_started == next.started;
    if (!same_process)
        close_connection(core, link, close_cause::replaced);
}

void handle(link_core& core, members_changed const& message)
{
    std::unordered_map<router_id, peer_address> peers;
    for (auto const& router : message.view->members)
    {
        if (router.id == core.options.self || router.link.port == 0)
            continue;
        peer_address const next{.link = router.link, .started = router.started};
        auto const known = core.peers.find(router.id);
        bool const changed = known != core.peers.end() &&
                             (known->second.link != next.link ||
                              known->second.started != next.started);
        if (changed)
            handle_address_change(core, router.id, next);
        peers.emplace(router.id, next);
    }
    core.peers = std::move(peers);
}

void handle(link_core& core, status_query const& message)
{
    message.reply(fmt::format(R"({{"outgoing":{},"incoming":{}}})",
                              core.outgoing.size(), core.incoming.size()));
}

bool has_written_all(connection_ptr const& link)
{
    return link->queued_frames.empty() && link->pending.empty() &&
           link->writing.empty();
}

void handle(link_core& core, idle_query const& message)
{
    auto const is_written = [](auto const& entry)
    { return has_written_all(entry.second); };
    message.reply(std::ranges::all_of(core.outgoing, is_written) &&
                  std::ranges::all_of(core.incoming, is_written));
}

void handle(link_core&, config_changed const&) {}

/// Links stay open during a drain, so that requests in flight can finish.
void handle(link_core&, drain_started const&) {}

void receive(link_state& state, kernel::context<link_message>& ctx,
             link_message message)
{
    auto& core = *state.core;
    if (std::holds_alternative<link_tick>(message))
    {
        maintain_links(core);
        schedule(ctx, tick_interval, link_tick{});
        return;
    }
    std::visit(
        [&](auto& content)
        {
            using type = std::remove_reference_t<decltype(content)>;
            if constexpr (!std::is_same_v<type, link_tick>)
                handle(core, std::move(content));
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

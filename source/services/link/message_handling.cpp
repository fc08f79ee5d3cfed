/// Handling of received frames and of closed connections.
#include "services/link/link_core.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace bramleyarch::services
{

namespace
{

/// Opens an outgoing connection once the expected router has sent its hello.
/// Returns false if another router or an unexpected hello arrives.
bool handle_hello_reply(link_core& core, connection_ptr const& link,
                        wire::hello const& hello)
{
    bool const expected = link->direction == link_direction::outgoing &&
                          link->phase == link_phase::awaiting_hello &&
                          hello.from == link->peer;
    if (!expected)
        return false;
    link->peer_started = hello.started;
    core.backoffs.erase(link->peer);
    mark_open(core, link);
    return true;
}

/// Identifies the router of an accepted connection. The connection replaces an
/// earlier one of that router, unless the earlier one belongs to a later start
/// of the router. Returns false if the hello is rejected.
bool handle_initial_hello(link_core& core, connection_ptr const& link,
                          wire::hello const& hello)
{
    if (link->phase != link_phase::awaiting_hello ||
        hello.to != core.options.self)
        return false;
    auto const former = core.incoming.find(hello.from);
    if (former != core.incoming.end())
    {
        if (former->second->peer_started > hello.started)
            return false;
        close_connection(core, connection_ptr{former->second},
                         close_cause::replaced);
    }
    link->peer = hello.from;
    link->peer_started = hello.started;
    std::erase(core.unidentified, link);
    core.incoming[link->peer] = link;
    queue_frame(core, link,
                wire::hello{.from = core.options.self,
                            .to = link->peer,
                            .started = core.options.started});
    mark_open(core, link);
    return true;
}

void handle_heartbeat(link_core& core, connection_ptr const& link,
                      wire::link_heartbeat const& heartbeat)
{
    if (!heartbeat.reply)
    {
        queue_frame(
            core, link,
            wire::link_heartbeat{.number = heartbeat.number, .reply = true});
        return;
    }
    if (heartbeat.number == link->heartbeat_number)
        core.round_trips.push_back(now(core) - link->heartbeat_at);
}

void handle_request(link_core& core, connection_ptr const& link,
                    owner_request request)
{
    if (auto const* offered = std::get_if<offer>(&request))
    {
        if (link->in_flight.empty())
            link->busy_since = now(core);
        link->in_flight.insert(offered->attempt);
    }
    else if (auto const* cancelled = std::get_if<cancel_attempt>(&request))
    {
        link->in_flight.erase(cancelled->attempt);
    }
    send(core.owner, owner_request_received{link->peer, std::move(request)});
}

/// Returns true for the last reply to an attempt.
bool ends_attempt(owner_reply const& reply)
{
    return std::holds_alternative<redirect>(reply) ||
           std::holds_alternative<answer_end>(reply) ||
           std::holds_alternative<answer_error>(reply);
}

void handle_reply(link_core& core, connection_ptr const& link,
                  owner_reply reply)
{
    if (ends_attempt(reply))
    {
        std::visit([&](auto const& message)
                   { link->in_flight.erase(message.attempt); },
                   reply);
    }
    send(core.routing, owner_reply_received{link->peer, std::move(reply)});
}

template <class Message>
constexpr bool is_request = std::is_constructible_v<owner_request, Message>;

template <class Message>
constexpr bool is_reply = std::is_constructible_v<owner_reply, Message>;

/// Handles a message on an open connection. Returns false if the message is not
/// allowed in that direction.
template <class Message>
bool handle_message(link_core& core, connection_ptr const& link,
                    Message message)
{
    bool const incoming = link->direction == link_direction::incoming;
    if constexpr (std::is_same_v<Message, wire::link_heartbeat>)
    {
        handle_heartbeat(core, link, message);
        return true;
    }
    link->last_used_at = now(core);
    if constexpr (std::is_same_v<Message, wire::config_answer>)
    {
        send(core.configuration,
             document_received{std::move(message.json), link->peer});
        return true;
    }
    else if constexpr (std::is_same_v<Message, wire::config_fetch>)
    {
        send(core.configuration,
             config_requested{link->peer, message.newer_than});
        return incoming;
    }
    else if constexpr (is_request<Message>)
    {
        if (incoming)
            handle_request(core, link, std::move(message));
        return incoming;
    }
    else if constexpr (is_reply<Message>)
    {
        if (!incoming)
            handle_reply(core, link, std::move(message));
        return !incoming;
    }
    return false;
}

/// Rejects the offers that were not sent and, if the connection was open,
/// reports the attempts in flight as lost.
void report_lost_requests(link_core& core, connection& link, bool was_open)
{
    for (auto const& what : link.queued_frames)
    {
        if (auto const* offered = std::get_if<offer>(&what))
            reject_unsent_offer(core, link.peer,
                                {offered->attempt, offered->server},
                                error_kind::owner_lost);
    }
    for (auto const& offered : link.unsent_offers)
        reject_unsent_offer(core, link.peer, offered, error_kind::owner_lost);
    if (was_open)
        send(core.routing, link_lost{link.peer, std::vector<attempt_id>(
                                                    link.in_flight.begin(),
                                                    link.in_flight.end())});
}

void increase_backoff(link_core& core, router_id const& peer)
{
    auto& retry = core.backoffs[peer];
    retry.delay = std::clamp(retry.delay * 2, core.options.initial_backoff,
                             core.options.max_backoff);
    retry.retry_at = now(core) + retry.delay;
}

void remove_connection(link_core& core, connection_ptr const& link)
{
    std::erase(core.unidentified, link);
    auto& map = link->direction == link_direction::outgoing ? core.outgoing
                                                            : core.incoming;
    auto const found = map.find(link->peer);
    if (found != map.end() && found->second == link)
        map.erase(found);
}

/// Returns true if the peer may still be reachable after a close for `cause`.
bool should_reopen(close_cause cause)
{
    return cause == close_cause::silent ||
           cause == close_cause::closed_by_peer ||
           cause == close_cause::queue_full;
}

/// Opens a new connection at once, so that routing learns early whether only
/// the connection or the whole router failed.
void reopen_connection(link_core& core, router_id const& peer)
{
    auto const known = core.peers.find(peer);
    if (known != core.peers.end() && !core.outgoing.contains(peer))
        open_connection(core, peer, known->second.link)->reopened = true;
}

void record_close(link_core& core, connection const& link, close_cause cause)
{
    add(core.counters, counter::links_closed);
    auto kind = event_kind::link_closed;
    if (cause == close_cause::silent)
    {
        add(core.counters, counter::links_silent);
        kind = event_kind::link_silent;
    }
    record_link_event(core, kind, link.peer, to_name(cause));
}

} // namespace

bool handle_frame(link_core& core, connection_ptr const& link, wire::frame what)
{
    if (auto const* hello = std::get_if<wire::hello>(&what))
    {
        return link->direction == link_direction::outgoing
                   ? handle_hello_reply(core, link, *hello)
                   : handle_initial_hello(core, link, *hello);
    }
    if (link->phase != link_phase::open)
        return false;
    return std::visit(
        [&](auto& message)
        {
            using type = std::remove_reference_t<decltype(message)>;
            return handle_message<type>(core, link, std::move(message));
        },
        what);
}

void close_connection(link_core& core, connection_ptr const& link,
                      close_cause cause)
{
    if (link->phase == link_phase::closed)
        return;
    bool const was_open = link->phase == link_phase::open;
    link->phase = link_phase::closed;
    boost::system::error_code ignored;
    link->socket.close(ignored);
    remove_connection(core, link);
    bool const lost = was_open && cause != close_cause::idle;
    if (link->direction == link_direction::outgoing)
    {
        if (!was_open && cause != close_cause::replaced)
            increase_backoff(core, link->peer);
        report_lost_requests(core, *link, lost);
        if (was_open && should_reopen(cause))
            reopen_connection(core, link->peer);
    }
    else if (lost)
    {
        send(core.owner, link_lost{link->peer});
    }
    if (lost)
        send(core.members, link_lost{link->peer});
    if (was_open)
        record_close(core, *link, cause);
}

void reject_unsent_offer(link_core& core, router_id const& to,
                         unsent_offer const& offered, error_kind cause)
{
    redirect const rejection{.attempt = offered.attempt,
                             .cause = cause,
                             .load = {.server = offered.server}};
    send(core.routing, owner_reply_received{to, rejection});
}

void record_link_event(link_core& core, event_kind kind, router_id const& peer,
                       std::string_view cause)
{
    send(core.timeline,
         record_event{{.kind = kind,
                       .cause = fmt::format("{}: {}", peer.value, cause)}});
}

} // namespace bramleyarch::services

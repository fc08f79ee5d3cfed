/// What frames mean, and what a closed connection means for the services.
#include "services/link/link_core.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace bramleyarch::services
{

namespace
{

bool greeted_by_peer(link_core& core, connection_ptr const& c,
                     wire::hello const& greeting)
{
    bool const expected = c->direction == link_direction::outgoing &&
                          c->phase == link_phase::greeting &&
                          greeting.from == c->peer;
    if (!expected)
        return false;
    c->peer_started = greeting.started;
    core.backoffs.erase(c->peer);
    mark_open(core, c);
    return true;
}

/// Takes an accepted connection in place of the former one of its router.
bool admit_stranger(link_core& core, connection_ptr const& c,
                    wire::hello const& greeting)
{
    if (c->phase != link_phase::greeting || greeting.to != core.options.self)
        return false;
    auto const former = core.incoming.find(greeting.from);
    if (former != core.incoming.end())
    {
        if (former->second->peer_started > greeting.started)
            return false;
        close_connection(core, connection_ptr{former->second},
                         close_cause::replaced);
    }
    c->peer = greeting.from;
    c->peer_started = greeting.started;
    std::erase(core.strangers, c);
    core.incoming[c->peer] = c;
    queue_frame(core, c,
                wire::hello{.from = core.options.self,
                            .to = c->peer,
                            .started = core.options.started});
    mark_open(core, c);
    return true;
}

void answer_heartbeat(link_core& core, connection_ptr const& c,
                      wire::link_heartbeat const& beat)
{
    if (!beat.reply)
    {
        queue_frame(core, c,
                    wire::link_heartbeat{.number = beat.number, .reply = true});
        return;
    }
    if (beat.number == c->heartbeat_number)
        core.round_trips.push_back(now(core) - c->heartbeat_at);
}

void take_request(link_core& core, connection_ptr const& c,
                  owner_request request)
{
    if (auto const* offered = std::get_if<offer>(&request))
    {
        if (c->in_flight.empty())
            c->busy_since = now(core);
        c->in_flight.insert(offered->attempt);
    }
    else if (auto const* cancelled = std::get_if<cancel_attempt>(&request))
    {
        c->in_flight.erase(cancelled->attempt);
    }
    send(core.owner, owner_request_received{c->peer, std::move(request)});
}

/// True for a reply after which none follows.
bool ends_attempt(owner_reply const& reply)
{
    return std::holds_alternative<redirect>(reply) ||
           std::holds_alternative<answer_end>(reply) ||
           std::holds_alternative<answer_error>(reply);
}

void take_reply(link_core& core, connection_ptr const& c, owner_reply reply)
{
    if (ends_attempt(reply))
    {
        std::visit([&](auto const& r) { c->in_flight.erase(r.attempt); },
                   reply);
    }
    send(core.routing, owner_reply_received{c->peer, std::move(reply)});
}

template <class Message>
constexpr bool is_request = std::is_constructible_v<owner_request, Message>;

template <class Message>
constexpr bool is_reply = std::is_constructible_v<owner_reply, Message>;

/// Handles a message on an open connection; false where it may not stand.
template <class Message>
bool handle_message(link_core& core, connection_ptr const& c, Message message)
{
    bool const incoming = c->direction == link_direction::incoming;
    if constexpr (std::is_same_v<Message, wire::link_heartbeat>)
    {
        answer_heartbeat(core, c, message);
        return true;
    }
    c->used_at = now(core);
    if constexpr (std::is_same_v<Message, wire::config_answer>)
    {
        send(core.configuration,
             document_received{std::move(message.json), c->peer});
        return true;
    }
    else if constexpr (std::is_same_v<Message, wire::config_fetch>)
    {
        send(core.configuration, config_requested{c->peer, message.newer_than});
        return incoming;
    }
    else if constexpr (is_request<Message>)
    {
        if (incoming)
            take_request(core, c, std::move(message));
        return incoming;
    }
    else if constexpr (is_reply<Message>)
    {
        if (!incoming)
            take_reply(core, c, std::move(message));
        return !incoming;
    }
    return false;
}

/// Answers the offers that never left and reports the others as lost.
void report_lost_requests(link_core& core, connection& c, bool was_open)
{
    for (auto const& what : c.waiting)
    {
        if (auto const* offered = std::get_if<offer>(&what))
            answer_unsent(core, c.peer, {offered->attempt, offered->server},
                          error_kind::owner_lost);
    }
    for (auto const& offered : c.unsent)
        answer_unsent(core, c.peer, offered, error_kind::owner_lost);
    if (was_open)
        send(core.routing,
             link_lost{c.peer, std::vector<attempt_id>(c.in_flight.begin(),
                                                       c.in_flight.end())});
}

void rest_from(link_core& core, router_id const& peer)
{
    auto& rest = core.backoffs[peer];
    rest.next = std::clamp(rest.next * 2, core.options.first_backoff,
                           core.options.greatest_backoff);
    rest.until = now(core) + rest.next;
}

void forget(link_core& core, connection_ptr const& c)
{
    std::erase(core.strangers, c);
    auto& map = c->direction == link_direction::outgoing ? core.outgoing
                                                         : core.incoming;
    auto const found = map.find(c->peer);
    if (found != map.end() && found->second == c)
        map.erase(found);
}

/// Whether a loss leaves in doubt if the peer can be reached.
bool opens_again(close_cause cause)
{
    return cause == close_cause::silent ||
           cause == close_cause::closed_by_peer ||
           cause == close_cause::queue_full;
}

/// Opens the next connection at once, so that routing learns early whether
/// only the link was lost or the router as well.
void reopen(link_core& core, router_id const& peer)
{
    auto const known = core.peers.find(peer);
    if (known != core.peers.end() && !core.outgoing.contains(peer))
        open_connection(core, peer, known->second.link)->reopened = true;
}

void count_close(link_core& core, connection const& c, close_cause cause)
{
    add(core.counted, counter::links_closed);
    auto kind = event_kind::link_closed;
    if (cause == close_cause::silent)
    {
        add(core.counted, counter::links_silent);
        kind = event_kind::link_silent;
    }
    record(core, kind, c.peer, to_name(cause));
}

} // namespace

bool handle_frame(link_core& core, connection_ptr const& c, wire::frame what)
{
    if (auto const* greeting = std::get_if<wire::hello>(&what))
    {
        return c->direction == link_direction::outgoing
                   ? greeted_by_peer(core, c, *greeting)
                   : admit_stranger(core, c, *greeting);
    }
    if (c->phase != link_phase::open)
        return false;
    return std::visit(
        [&](auto& message)
        {
            using type = std::remove_reference_t<decltype(message)>;
            return handle_message<type>(core, c, std::move(message));
        },
        what);
}

void close_connection(link_core& core, connection_ptr const& c,
                      close_cause cause)
{
    if (c->phase == link_phase::closed)
        return;
    bool const was_open = c->phase == link_phase::open;
    c->phase = link_phase::closed;
    boost::system::error_code ignored;
    c->socket.close(ignored);
    forget(core, c);
    bool const lost = was_open && cause != close_cause::idle;
    if (c->direction == link_direction::outgoing)
    {
        if (!was_open && cause != close_cause::replaced)
            rest_from(core, c->peer);
        report_lost_requests(core, *c, lost);
        if (was_open && opens_again(cause))
            reopen(core, c->peer);
    }
    else if (lost)
    {
        send(core.owner, link_lost{c->peer});
    }
    if (lost)
        send(core.members, link_lost{c->peer});
    if (was_open)
        count_close(core, *c, cause);
}

void answer_unsent(link_core& core, router_id const& to,
                   unsent_offer const& offered, error_kind cause)
{
    redirect const elsewhere{.attempt = offered.attempt,
                             .cause = cause,
                             .load = {.server = offered.server}};
    send(core.routing, owner_reply_received{to, elsewhere});
}

void record(link_core& core, event_kind kind, router_id const& peer,
            std::string_view cause)
{
    send(core.timeline,
         record_event{{.kind = kind,
                       .cause = fmt::format("{}: {}", peer.value, cause)}});
}

} // namespace bramleyarch::services

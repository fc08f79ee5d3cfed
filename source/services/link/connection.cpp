#include "services/link/connection.hpp"

#include "services/link/link_core.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace bramleyarch::services
{

namespace
{

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Reads of one connection before others get their turn.
constexpr int reads_per_turn = 4;

/// Capacity that a buffer keeps when it is empty.
constexpr std::size_t kept_capacity_bytes = 64U << 10;

void release_large(std::string& buffer)
{
    buffer.clear();
    if (buffer.capacity() > kept_capacity_bytes)
        std::string{}.swap(buffer);
}

/// Handles the frames at the begin of `bytes`; returns how many bytes they
/// took. The connection may be closed by it.
std::size_t handle_frames(link_core& core, connection_ptr const& c,
                          std::string_view bytes)
{
    std::size_t used = 0;
    while (c->phase != link_phase::closed && used < bytes.size())
    {
        auto taken = wire::take_frame(bytes.substr(used), now(core));
        bool const valid = taken.has_value();
        if (valid && !taken.value())
            break;
        if (!valid || !handle_frame(core, c, std::move(taken.value()->what)))
        {
            add(core.counted, counter::link_protocol_errors);
            close_connection(core, c, close_cause::protocol_error);
            break;
        }
        add(core.counted, counter::link_frames_received);
        used += taken.value()->bytes;
    }
    return used;
}

void handle_bytes(link_core& core, connection_ptr const& c,
                  std::string_view bytes)
{
    add(core.counted, counter::link_bytes_received, bytes.size());
    c->received_at = now(core);
    if (c->partial.empty())
    {
        auto const used = handle_frames(core, c, bytes);
        c->partial.append(bytes.substr(used));
        return;
    }
    c->partial.append(bytes);
    auto const used = handle_frames(core, c, c->partial);
    c->partial.erase(0, used);
    if (c->partial.empty())
        release_large(c->partial);
}

void read_next(link_core& core, connection_ptr const& c);

/// Reads what has arrived.
void read_ready(link_core& core, connection_ptr const& c)
{
    for (int i = 0; i < reads_per_turn; ++i)
    {
        error_code failed;
        auto const size =
            c->socket.read_some(boost::asio::buffer(core.scratch), failed);
        if (failed == boost::asio::error::would_block)
            break;
        if (failed)
        {
            close_connection(core, c, close_cause::closed_by_peer);
            return;
        }
        handle_bytes(core, c, {core.scratch.data(), size});
        if (c->phase == link_phase::closed)
            return;
    }
    read_next(core, c);
}

void read_next(link_core& core, connection_ptr const& c)
{
    c->socket.async_wait(tcp::socket::wait_read,
                         [&core, c](error_code failed)
                         {
                             if (!failed && c->phase != link_phase::closed)
                                 read_ready(core, c);
                         });
}

void prepare_socket(connection& c)
{
    error_code ignored;
    c.socket.set_option(tcp::no_delay{true}, ignored);
    c.socket.non_blocking(true, ignored);
}

void write_pending(link_core& core, connection_ptr const& c);

void write_done(link_core& core, connection_ptr const& c, error_code failed)
{
    release_large(c->writing);
    if (c->phase == link_phase::closed)
        return;
    if (failed)
        close_connection(core, c, close_cause::closed_by_peer);
    else if (!c->pending.empty())
        write_pending(core, c);
}

/// Writes all frames that are pending at once.
void write_pending(link_core& core, connection_ptr const& c)
{
    c->writing.swap(c->pending);
    for (auto const& offered : c->unsent)
        c->in_flight.insert(offered.attempt);
    c->unsent.clear();
    c->sent_at = now(core);
    add(core.counted, counter::link_bytes_sent, c->writing.size());
    boost::asio::async_write(c->socket, boost::asio::buffer(c->writing),
                             [&core, c](error_code failed, std::size_t)
                             { write_done(core, c, failed); });
}

/// Posted, so that all frames of one turn go into one write.
void post_flush(link_core& core, connection_ptr const& c)
{
    if (c->flush_posted)
        return;
    c->flush_posted = true;
    boost::asio::post(core.io,
                      [&core, c]
                      {
                          c->flush_posted = false;
                          bool const idle = c->writing.empty();
                          if (c->phase != link_phase::closed && idle &&
                              !c->pending.empty())
                              write_pending(core, c);
                      });
}

/// Bytes that a waiting message counts for, besides its body.
constexpr std::size_t waiting_overhead_bytes = 512;

std::size_t waiting_size(wire::frame const& what)
{
    auto const* offered = std::get_if<offer>(&what);
    bool const has_body = offered && offered->request.body;
    return waiting_overhead_bytes +
           (has_body ? offered->request.body->size() : 0);
}

void keep_waiting(link_core& core, connection_ptr const& c, wire::frame what)
{
    c->waiting_bytes += waiting_size(what);
    c->waiting.push_back(std::move(what));
    if (c->waiting_bytes > core.options.max_queued_bytes)
        close_connection(core, c, close_cause::queue_full);
}

/// Keeps account of the offers that have not been handed to the socket.
void note_offer(link_core const& core, connection& c, wire::frame const& what)
{
    if (auto const* offered = std::get_if<offer>(&what))
    {
        if (c.in_flight.empty() && c.unsent.empty())
            c.busy_since = now(core);
        c.unsent.push_back({offered->attempt, offered->server});
    }
    else if (auto const* cancelled = std::get_if<cancel_attempt>(&what))
    {
        c.in_flight.erase(cancelled->attempt);
        std::erase_if(c.unsent, [&](unsent_offer const& offered)
                      { return offered.attempt == cancelled->attempt; });
    }
}

void connected(link_core& core, connection_ptr const& c, error_code failed)
{
    if (c->phase == link_phase::closed)
        return;
    if (failed)
    {
        close_connection(core, c, close_cause::refused);
        return;
    }
    prepare_socket(*c);
    c->phase = link_phase::greeting;
    queue_frame(core, c,
                wire::hello{.from = core.options.self,
                            .to = c->peer,
                            .started = core.options.started});
    read_next(core, c);
}

void accepted(link_core& core, tcp::socket socket)
{
    auto const at = now(core);
    auto const count = core.incoming.size() + core.strangers.size();
    if (count >= core.options.max_connections)
        return;
    auto const c = std::make_shared<connection>(
        connection{.direction = link_direction::incoming,
                   .phase = link_phase::greeting,
                   .socket = std::move(socket),
                   .opened_at = at,
                   .received_at = at});
    prepare_socket(*c);
    core.strangers.push_back(c);
    read_next(core, c);
}

} // namespace

connection_ptr open_connection(link_core& core, router_id const& peer,
                               endpoint const& to)
{
    auto const c = std::make_shared<connection>(
        connection{.direction = link_direction::outgoing,
                   .phase = link_phase::connecting,
                   .socket = tcp::socket{core.io},
                   .peer = peer,
                   .opened_at = now(core),
                   .received_at = now(core)});
    core.outgoing[peer] = c;
    error_code failed;
    auto const address = boost::asio::ip::make_address(to.address, failed);
    if (failed)
    {
        boost::asio::post(core.io,
                          [&core, c, failed] { connected(core, c, failed); });
        return c;
    }
    c->socket.async_connect({address, to.port}, [&core, c](error_code refused)
                            { connected(core, c, refused); });
    return c;
}

void accept_next(link_core& core)
{
    core.acceptor.async_accept(
        [&core](error_code failed, tcp::socket socket)
        {
            if (failed == boost::asio::error::operation_aborted)
                return;
            if (!failed)
                accepted(core, std::move(socket));
            accept_next(core);
        });
}

void queue_frame(link_core& core, connection_ptr const& c,
                 wire::frame const& what)
{
    if (c->phase == link_phase::closed)
        return;
    if (!wire::append_frame(c->pending, what, now(core)))
    {
        if (auto const* offered = std::get_if<offer>(&what))
            answer_unsent(core, c->peer, {offered->attempt, offered->server},
                          error_kind::body_too_large);
        return;
    }
    add(core.counted, counter::link_frames_sent);
    note_offer(core, *c, what);
    auto const queued = c->pending.size() + c->writing.size();
    if (queued > core.options.max_queued_bytes)
        close_connection(core, c, close_cause::queue_full);
    else
        post_flush(core, c);
}

void send_when_open(link_core& core, connection_ptr const& c, wire::frame what)
{
    c->used_at = now(core);
    if (c->phase == link_phase::open)
        queue_frame(core, c, what);
    else
        keep_waiting(core, c, std::move(what));
}

void mark_open(link_core& core, connection_ptr const& c)
{
    c->phase = link_phase::open;
    c->used_at = now(core);
    add(core.counted, counter::links_opened);
    record(core, event_kind::link_opened, c->peer, to_name(c->direction));
    if (c->reopened)
        send(core.routing, link_opened{c->peer});
    c->waiting_bytes = 0;
    while (!c->waiting.empty() && c->phase == link_phase::open)
    {
        auto const what = std::move(c->waiting.front());
        c->waiting.pop_front();
        queue_frame(core, c, what);
    }
}

} // namespace bramleyarch::services

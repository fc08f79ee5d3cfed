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

/// Reads from one connection before other connections are served.
constexpr int max_reads_per_wakeup = 4;

/// Capacity that an empty buffer may retain.
constexpr std::size_t max_kept_capacity_bytes = 64U << 10;

/// Clears the buffer and frees its memory if it is large.
void clear_buffer(std::string& buffer)
{
    buffer.clear();
    if (buffer.capacity() > max_kept_capacity_bytes)
        std::string{}.swap(buffer);
}

/// Handles the complete frames at the start of `bytes` and returns their size.
/// Closes the connection if a frame violates the protocol.
std::size_t handle_frames(link_core& core, connection_ptr const& link,
                          std::string_view bytes)
{
    std::size_t used = 0;
    while (link->phase != link_phase::closed && used < bytes.size())
    {
        auto decoded = wire::decode_frame(bytes.substr(used), now(core));
        bool const valid = decoded.has_value();
        if (valid && !decoded.value())
            break;
        if (!valid ||
            !handle_frame(core, link, std::move(decoded.value()->what)))
        {
            add(core.counters, counter::link_protocol_errors);
            close_connection(core, link, close_cause::protocol_error);
            break;
        }
        add(core.counters, counter::link_frames_received);
        used += decoded.value()->bytes;
    }
    return used;
}

void handle_bytes(link_core& core, connection_ptr const& link,
                  std::string_view bytes)
{
    add(core.counters, counter::link_bytes_received, bytes.size());
    link->received_at = now(core);
    if (link->partial_frame.empty())
    {
        auto const used = handle_frames(core, link, bytes);
        link->partial_frame.append(bytes.substr(used));
        return;
    }
    link->partial_frame.append(bytes);
    auto const used = handle_frames(core, link, link->partial_frame);
    link->partial_frame.erase(0, used);
    if (link->partial_frame.empty())
        clear_buffer(link->partial_frame);
}

void read_next(link_core& core, connection_ptr const& link);

/// Reads the bytes that have arrived, up to the limit of one wakeup.
void read_available(link_core& core, connection_ptr const& link)
{
    for (int i = 0; i < max_reads_per_wakeup; ++i)
    {
        error_code failed;
        auto const size = link->socket.read_some(
            boost::asio::buffer(core.read_buffer), failed);
        if (failed == boost::asio::error::would_block)
            break;
        if (failed)
        {
            close_connection(core, link, close_cause::closed_by_peer);
            return;
        }
        handle_bytes(core, link, {core.read_buffer.data(), size});
        if (link->phase == link_phase::closed)
            return;
    }
    read_next(core, link);
}

void read_next(link_core& core, connection_ptr const& link)
{
    link->socket.async_wait(tcp::socket::wait_read,
                            [&core, link](error_code failed)
                            {
                                if (!failed &&
                                    link->phase != link_phase::closed)
                                    read_available(core, link);
                            });
}

void set_socket_options(connection& link)
{
    error_code ignored;
    link.socket.set_option(tcp::no_delay{true}, ignored);
    link.socket.non_blocking(true, ignored);
}

void write_pending(link_core& core, connection_ptr const& link);

void handle_write_result(link_core& core, connection_ptr const& link,
                         error_code failed)
{
    clear_buffer(link->writing);
    if (link->phase == link_phase::closed)
        return;
    if (failed)
        close_connection(core, link, close_cause::closed_by_peer);
    else if (!link->pending.empty())
        write_pending(core, link);
}

/// Writes all pending frames in one operation. Their offers count as in flight
/// from here on.
void write_pending(link_core& core, connection_ptr const& link)
{
    link->writing.swap(link->pending);
    for (auto const& offered : link->unsent_offers)
        link->in_flight.insert(offered.attempt);
    link->unsent_offers.clear();
    link->sent_at = now(core);
    add(core.counters, counter::link_bytes_sent, link->writing.size());
    boost::asio::async_write(link->socket, boost::asio::buffer(link->writing),
                             [&core, link](error_code failed, std::size_t)
                             { handle_write_result(core, link, failed); });
}

/// Posts the write, so that frames queued by the same handler share it.
void schedule_flush(link_core& core, connection_ptr const& link)
{
    if (link->flush_posted)
        return;
    link->flush_posted = true;
    boost::asio::post(core.io,
                      [&core, link]
                      {
                          link->flush_posted = false;
                          bool const idle = link->writing.empty();
                          if (link->phase != link_phase::closed && idle &&
                              !link->pending.empty())
                              write_pending(core, link);
                      });
}

/// Estimated size of a queued frame without its body.
constexpr std::size_t queued_frame_overhead_bytes = 512;

std::size_t queued_frame_size(wire::frame const& what)
{
    auto const* offered = std::get_if<offer>(&what);
    bool const has_body = offered && offered->request.body;
    return queued_frame_overhead_bytes +
           (has_body ? offered->request.body->size() : 0);
}

void queue_until_open(link_core& core, connection_ptr const& link,
                      wire::frame what)
{
    link->queued_frames_bytes += queued_frame_size(what);
    link->queued_frames.push_back(std::move(what));
    if (link->queued_frames_bytes > core.options.max_queued_bytes)
        close_connection(core, link, close_cause::queue_full);
}

/// Records which attempts are unsent or in flight when a frame is queued: an
/// offer adds its attempt, a cancellation removes it.
void track_attempt(link_core const& core, connection& link,
                   wire::frame const& what)
{
    if (auto const* offered = std::get_if<offer>(&what))
    {
        if (link.in_flight.empty() && link.unsent_offers.empty())
            link.busy_since = now(core);
        link.unsent_offers.push_back({offered->attempt, offered->server});
    }
    else if (auto const* cancelled = std::get_if<cancel_attempt>(&what))
    {
        link.in_flight.erase(cancelled->attempt);
        std::erase_if(link.unsent_offers, [&](unsent_offer const& offered)
                      { return offered.attempt == cancelled->attempt; });
    }
}

void handle_connect_result(link_core& core, connection_ptr const& link,
                           error_code failed)
{
    if (link->phase == link_phase::closed)
        return;
    if (failed)
    {
        close_connection(core, link, close_cause::refused);
        return;
    }
    set_socket_options(*link);
    link->phase = link_phase::awaiting_hello;
    queue_frame(core, link,
                wire::hello{.from = core.options.self,
                            .to = link->peer,
                            .started = core.options.started});
    read_next(core, link);
}

void handle_accepted_socket(link_core& core, tcp::socket socket)
{
    auto const at = now(core);
    auto const count = core.incoming.size() + core.unidentified.size();
    if (count >= core.options.max_connections)
        return;
    auto const link = std::make_shared<connection>(
        connection{.direction = link_direction::incoming,
                   .phase = link_phase::awaiting_hello,
                   .socket = std::move(socket),
                   .created_at = at,
                   .received_at = at});
    set_socket_options(*link);
    core.unidentified.push_back(link);
    read_next(core, link);
}

} // namespace

connection_ptr open_connection(link_core& core, router_id const& peer,
                               endpoint const& to)
{
    auto const link = std::make_shared<connection>(
        connection{.direction = link_direction::outgoing,
                   .phase = link_phase::connecting,
                   .socket = tcp::socket{core.io},
                   .peer = peer,
                   .created_at = now(core),
                   .received_at = now(core)});
    core.outgoing[peer] = link;
    error_code failed;
    auto const address = boost::asio::ip::make_address(to.address, failed);
    if (failed)
    {
        boost::asio::post(core.io, [&core, link, failed]
                          { handle_connect_result(core, link, failed); });
        return link;
    }
    link->socket.async_connect({address, to.port},
                               [&core, link](error_code refused)
                               { handle_connect_result(core, link, refused); });
    return link;
}

void accept_connections(link_core& core)
{
    core.acceptor.async_accept(
        [&core](error_code failed, tcp::socket socket)
        {
            if (failed == boost::asio::error::operation_aborted)
                return;
            if (!failed)
                handle_accepted_socket(core, std::move(socket));
            accept_connections(core);
        });
}

void queue_frame(link_core& core, connection_ptr const& link,
                 wire::frame const& what)
{
    if (link->phase == link_phase::closed)
        return;
    if (!wire::append_frame(link->pending, what, now(core)))
    {
        if (auto const* offered = std::get_if<offer>(&what))
            reject_unsent_offer(core, link->peer,
                                {offered->attempt, offered->server},
                                error_kind::body_too_large);
        return;
    }
    add(core.counters, counter::link_frames_sent);
    track_attempt(core, *link, what);
    auto const queued = link->pending.size() + link->writing.size();
    if (queued > core.options.max_queued_bytes)
        close_connection(core, link, close_cause::queue_full);
    else
        schedule_flush(core, link);
}

void send_when_open(link_core& core, connection_ptr const& link,
                    wire::frame what)
{
    link->last_used_at = now(core);
    if (link->phase == link_phase::open)
        queue_frame(core, link, what);
    else
        queue_until_open(core, link, std::move(what));
}

void mark_open(link_core& core, connection_ptr const& link)
{
    link->phase = link_phase::open;
    link->last_used_at = now(core);
    add(core.counters, counter::links_opened);
    record_link_event(core, event_kind::link_opened, link->peer,
                      to_name(link->direction));
    if (link->reopened)
        send(core.routing, link_opened{link->peer});
    link->queued_frames_bytes = 0;
    while (!link->queued_frames.empty() && link->phase == link_phase::open)
    {
        auto const what = std::move(link->queued_frames.front());
        link->queued_frames.pop_front();
        queue_frame(core, link, what);
    }
}

} // namespace bramleyarch::services

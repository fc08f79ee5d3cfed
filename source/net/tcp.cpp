#include "net/tcp.hpp"

#include "net/address.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace bramleyarch::net
{

struct connection
{
    loop* event_loop = nullptr;
    watched* socket = nullptr;
    connection_events events;
    std::string queue; ///< Bytes before `queue_at` are already sent.
    std::size_t queue_at = 0;
    bool connecting = false;
    bool reading = true;
    bool flush_pending = false;
    bool blocked = false; ///< The send buffer of the socket is full.
    bool finishing = false;
    kernel::timer_id linger_timer = 0;
    bool closed = false;
};

struct listener
{
    loop* event_loop = nullptr;
    watched* socket = nullptr;
    std::uint16_t port = 0;
    std::function<connection_events(connection&)> accepted;
    kernel::timer_id pause_timer = 0;
};

namespace
{

/// Size of one read. The loop reports the descriptor again if more is
/// available.
constexpr std::size_t read_bytes = 16U << 10;

/// Sent bytes are erased from the queue once there are more than this.
constexpr std::size_t compaction_threshold_bytes = 64U << 10;

/// Time for the peer to read the last bytes of a finished connection and close
/// it: a few round trips of a distant caller.
constexpr duration linger_timeout = std::chrono::seconds{1};

constexpr int listen_backlog = 1024;

/// Time without accepting after the descriptors ran out. The waiting callers
/// would wake the loop at once.
constexpr duration accept_pause = std::chrono::milliseconds{100};

/// Frees the connection after the calls that may still use it have returned.
void release(connection* conn)
{
    defer(*conn->event_loop, [conn] { delete conn; });
}

void end(connection& conn, ending how)
{
    if (conn.closed)
        return;
    conn.closed = true;
    cancel(*conn.event_loop, conn.linger_timer);
    if (conn.socket)
        unwatch(*conn.socket);
    conn.socket = nullptr;
    auto const ended = std::move(conn.events.ended);
    release(&conn);
    if (ended)
        ended(how);
}

void flush(connection& conn)
{
    conn.flush_pending = false;
    if (conn.closed || conn.connecting || conn.blocked)
        return;
    std::size_t written = 0;
    while (conn.queue_at < conn.queue.size())
    {
        auto const sent = ::send(
            descriptor_of(*conn.socket), conn.queue.data() + conn.queue_at,
            conn.queue.size() - conn.queue_at, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
        {
            end(conn, ending::reset);
            return;
        }
        if (sent < 0)
        {
            conn.blocked = true;
            await_writable(*conn.socket);
            break;
        }
        conn.queue_at += static_cast<std::size_t>(sent);
        written += static_cast<std::size_t>(sent);
    }
    if (conn.queue_at == conn.queue.size())
    {
        // A kept connection would hold the memory of its largest message.
        if (conn.queue.capacity() > compaction_threshold_bytes)
            std::string{}.swap(conn.queue);
        conn.queue.clear();
        conn.queue_at = 0;
    }
    else if (conn.queue_at > compaction_threshold_bytes)
    {
        conn.queue.erase(0, std::exchange(conn.queue_at, 0));
    }
    if (conn.finishing && conn.queue.empty())
        ::shutdown(descriptor_of(*conn.socket), SHUT_WR);
    if (written > 0 && conn.events.written)
        conn.events.written(written);
}

void flush_soon(connection& conn)
{
    if (std::exchange(conn.flush_pending, true))
        return;
    defer(*conn.event_loop,
          [&conn]
          {
              // The connection still exists: only one flush is pending at a
              // time, and a later deferred call releases a closed connection.
              flush(conn);
          });
}

void on_connected(connection& conn)
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(descriptor_of(*conn.socket), SOL_SOCKET, SO_ERROR, &error,
               &size);
    if (error != 0)
    {
        end(conn, ending::refused);
        return;
    }
    conn.connecting = false;
    poll_input(*conn.socket, true);
    if (conn.events.opened)
        conn.events.opened();
    if (!conn.closed)
        flush(conn);
}

void on_readable(connection& conn)
{
    if (conn.connecting)
    {
        on_connected(conn);
        return;
    }
    // Reported in the same turn of the loop before reading was paused.
    if (!conn.reading)
        return;
    std::array<char, read_bytes> bytes;
    auto const received =
        ::recv(descriptor_of(*conn.socket), bytes.data(), bytes.size(), 0);
    if (received > 0)
    {
        if (conn.events.received)
            conn.events.received(
                {bytes.data(), static_cast<std::size_t>(received)});
        return;
    }
    if (received == 0)
        end(conn, ending::closed);
    else if (errno != EAGAIN && errno != EINTR && errno != EWOULDBLOCK)
        end(conn, ending::reset);
}

void on_ready(connection& conn, readiness what)
{
    if (conn.closed)
        return;
    switch (what)
    {
    case readiness::readable:
        on_readable(conn);
        break;
    case readiness::writable:
        conn.blocked = false;
        if (conn.connecting)
            on_connected(conn);
        else
            flush(conn);
        break;
    case readiness::closed:
        conn.socket = nullptr;
        end(conn, conn.connecting ? ending::refused : ending::reset);
        break;
    }
}

connection* adopt(loop& event_loop, int descriptor)
{
    int const on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto* const conn = new connection{.event_loop = &event_loop};
    conn->socket = watch(event_loop, descriptor,
                         [conn](readiness what) { on_ready(*conn, what); });
    if (conn->socket)
        return conn;
    delete conn;
    return nullptr;
}

void accept_one(listener& acceptor, int descriptor)
{
    auto* const conn = adopt(*acceptor.event_loop, descriptor);
    if (!conn)
        return;
    conn->events = acceptor.accepted(*conn);
}

/// Leaves waiting callers in the backlog for a time.
void pause(listener& acceptor)
{
    poll_input(*acceptor.socket, false);
    acceptor.pause_timer =
        call_after(*acceptor.event_loop, accept_pause,
                   [&acceptor] { poll_input(*acceptor.socket, true); });
}

void on_acceptable(listener& acceptor)
{
    constexpr int max_accepts_per_event = 32;
    for (int i = 0; i < max_accepts_per_event; ++i)
    {
        int const descriptor =
            ::accept4(descriptor_of(*acceptor.socket), nullptr, nullptr,
                      SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
        {
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
                errno == ENOMEM)
                pause(acceptor);
            return;
        }
        accept_one(acceptor, descriptor);
    }
}

} // namespace

result<connection*> connect(loop& event_loop, endpoint const& to,
                            connection_events events)
{
    constexpr auto exhausted =
        "no descriptor is left; raise the limit of open files";
    auto const address = to_sockaddr(to);
    if (!address)
        return fail(error_kind::server_connect_failed,
                    to.address + " is not an IPv4 address");
    int const descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return fail(error_kind::too_many_connections, exhausted);
    if (::connect(descriptor, reinterpret_cast<sockaddr const*>(&*address),
                  sizeof *address) != 0 &&
        errno != EINPROGRESS)
    {
        // Of the kernel's reasons, only this one is a want of our own.
        bool const is_own = errno == EADDRNOTAVAIL;
        ::close(descriptor);
        if (is_own)
            return fail(error_kind::too_many_connections,
                        "no local port is left");
        return fail(error_kind::server_connect_failed, "refused");
    }
    auto* const conn = adopt(event_loop, descriptor);
    if (!conn)
        return fail(error_kind::too_many_connections, exhausted);
    conn->connecting = true;
    conn->events = std::move(events);
    await_writable(*conn->socket);
    return conn;
}

void write(connection& conn, std::string_view bytes)
{
    if (conn.closed || bytes.empty())
        return;
    conn.queue.append(bytes);
    flush_soon(conn);
}

std::size_t queued(connection const& conn)
{
    return conn.queue.size() - conn.queue_at;
}

std::size_t queue_capacity(connection const& conn)
{
    return conn.queue.capacity();
}

std::uint32_t peer_address(connection const& conn)
{
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (conn.closed ||
        ::getpeername(descriptor_of(*conn.socket),
                      reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
        peer.sin_family != AF_INET)
        return 0;
    return ntohl(peer.sin_addr.s_addr);
}

void read(connection& conn, bool on)
{
    if (conn.closed || conn.connecting)
        return;
    conn.reading = on;
    poll_input(*conn.socket, on);
}

void close(connection& conn)
{
    if (conn.closed)
        return;
    conn.events.ended = nullptr;
    end(conn, ending::closed);
}

void finish(connection& conn)
{
    if (conn.closed || conn.finishing)
        return;
    if (conn.connecting)
    {
        close(conn);
        return;
    }
    // This may be called from one of the handlers, which are destroyed with the
    // connection.
    conn.events.received = [](std::string_view) {};
    conn.events.written = nullptr;
    conn.events.ended = nullptr;
    conn.finishing = true;
    conn.linger_timer =
        call_after(*conn.event_loop, linger_timeout, [&conn] { close(conn); });
    conn.reading = true;
    poll_input(*conn.socket, true);
    flush_soon(conn);
}

result<listener*> listen(loop& event_loop, endpoint const& at,
                         std::function<connection_events(connection&)> accepted)
{
    auto const address = to_sockaddr(at);
    if (!address)
        return fail(error_kind::io_failure,
                    at.address + " is not an IPv4 address");
    int const descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return fail(error_kind::io_failure, "can't create a socket");
    int const on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(descriptor, reinterpret_cast<sockaddr const*>(&*address),
               sizeof *address) != 0 ||
        ::listen(descriptor, listen_backlog) != 0)
    {
        ::close(descriptor);
        return fail(error_kind::io_failure, "can't listen");
    }
    auto* const made = new listener{.event_loop = &event_loop,
                                    .port = bound_port(descriptor),
                                    .accepted = accepted};
    made->socket = watch(event_loop, descriptor,
                         [made](readiness what)
                         {
                             if (what == readiness::readable)
                                 on_acceptable(*made);
                         });
    if (made->socket)
        return made;
    delete made;
    return fail(error_kind::io_failure, "can't poll the listener");
}

std::uint16_t port_of(listener const& acceptor)
{
    return acceptor.port;
}

void close(listener& acceptor)
{
    cancel(*acceptor.event_loop, acceptor.pause_timer);
    unwatch(*acceptor.socket);
    defer(*acceptor.event_loop, [&acceptor] { delete &acceptor; });
}

} // namespace bramleyarch::net

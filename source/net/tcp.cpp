#include "net/tcp.hpp"

#include "net/address.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace bramleyarch::net
{

struct connection
{
    loop* owner = nullptr;
    watched* socket = nullptr;
    connection_events events;
    std::string queue; ///< Bytes from `queue_at` on are waiting.
    std::size_t queue_at = 0;
    bool connecting = false;
    bool flush_pending = false;
    bool blocked = false; ///< Waits for the socket to take bytes.
    bool finishing = false;
    kernel::timer_id linger = 0;
    bool closed = false;
};

struct listener
{
    loop* owner = nullptr;
    watched* socket = nullptr;
    std::uint16_t port = 0;
    std::function<connection_events(connection&)> accepted;
};

namespace
{

/// One read; the loop reports the descriptor again when there is more.
constexpr std::size_t read_bytes = 16U << 10;

/// Queued bytes that were written are cut off beyond this size.
constexpr std::size_t compact_above = 64U << 10;

/// For a peer to read the last bytes of a finished connection and close it;
/// a few round trips of a distant caller.
constexpr duration linger_limit = std::chrono::seconds{1};

constexpr int listen_backlog = 1024;

/// Frees the connection once the calls that may still use it have returned.
void release(connection* c)
{
    defer(*c->owner, [c] { delete c; });
}

void end(connection& c, ending how)
{
    if (c.closed)
        return;
    c.closed = true;
    cancel(*c.owner, c.linger);
    if (c.socket)
        unwatch(*c.socket);
    c.socket = nullptr;
    auto const ended = std::move(c.events.ended);
    release(&c);
    if (ended)
        ended(how);
}

void flush(connection& c)
{
    c.flush_pending = false;
    if (c.closed || c.connecting || c.blocked)
        return;
    std::size_t taken = 0;
    while (c.queue_at < c.queue.size())
    {
        auto const sent =
            ::send(descriptor_of(*c.socket), c.queue.data() + c.queue_at,
                   c.queue.size() - c.queue_at, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
        {
            end(c, ending::reset);
            return;
        }
        if (sent < 0)
        {
            c.blocked = true;
            await_writable(*c.socket);
            break;
        }
        c.queue_at += static_cast<std::size_t>(sent);
        taken += static_cast<std::size_t>(sent);
    }
    if (c.queue_at == c.queue.size())
    {
        c.queue.clear();
        c.queue_at = 0;
    }
    else if (c.queue_at > compact_above)
    {
        c.queue.erase(0, std::exchange(c.queue_at, 0));
    }
    if (c.finishing && c.queue.empty())
        ::shutdown(descriptor_of(*c.socket), SHUT_WR);
    if (taken > 0 && c.events.taken)
        c.events.taken(taken);
}

void flush_soon(connection& c)
{
    if (std::exchange(c.flush_pending, true))
        return;
    defer(*c.owner,
          [&c]
          {
              // Set again by nobody while this call is due, and a closed
              // connection is released by a later deferred call.
              flush(c);
          });
}

void on_connected(connection& c)
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(descriptor_of(*c.socket), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
    {
        end(c, ending::refused);
        return;
    }
    c.connecting = false;
    poll_input(*c.socket, true);
    if (c.events.opened)
        c.events.opened();
    if (!c.closed)
        flush(c);
}

void on_readable(connection& c)
{
    if (c.connecting)
    {
        on_connected(c);
        return;
    }
    std::array<char, read_bytes> bytes;
    auto const got =
        ::recv(descriptor_of(*c.socket), bytes.data(), bytes.size(), 0);
    if (got > 0)
    {
        if (c.events.received)
            c.events.received({bytes.data(), static_cast<std::size_t>(got)});
        return;
    }
    if (got == 0)
        end(c, ending::closed);
    else if (errno != EAGAIN && errno != EINTR && errno != EWOULDBLOCK)
        end(c, ending::reset);
}

void on_ready(connection& c, readiness what)
{
    if (c.closed)
        return;
    switch (what)
    {
    case readiness::readable:
        on_readable(c);
        break;
    case readiness::writable:
        c.blocked = false;
        if (c.connecting)
            on_connected(c);
        else
            flush(c);
        break;
    case readiness::closed:
        c.socket = nullptr;
        end(c, c.connecting ? ending::refused : ending::reset);
        break;
    }
}

connection* adopt(loop& l, int descriptor)
{
    int const on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto* const c = new connection{.owner = &l};
    c->socket =
        watch(l, descriptor, [c](readiness what) { on_ready(*c, what); });
    if (c->socket)
        return c;
    delete c;
    return nullptr;
}

void accept_one(listener& l, int descriptor)
{
    auto* const c = adopt(*l.owner, descriptor);
    if (!c)
        return;
    c->events = l.accepted(*c);
}

void on_acceptable(listener& l)
{
    constexpr int accepts_per_turn = 32;
    for (int i = 0; i < accepts_per_turn; ++i)
    {
        int const got = ::accept4(descriptor_of(*l.socket), nullptr, nullptr,
                                  SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (got < 0)
            return;
        accept_one(l, got);
    }
}

} // namespace

connection* connect(loop& l, endpoint const& to, connection_events events)
{
    auto const address = to_sockaddr(to);
    int const descriptor =
        address
            ? ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
            : -1;
    if (descriptor < 0)
        return nullptr;
    if (::connect(descriptor, reinterpret_cast<sockaddr const*>(&*address),
                  sizeof *address) != 0 &&
        errno != EINPROGRESS)
    {
        ::close(descriptor);
        return nullptr;
    }
    auto* const c = adopt(l, descriptor);
    if (!c)
        return nullptr;
    c->connecting = true;
    c->events = std::move(events);
    await_writable(*c->socket);
    return c;
}

void write(connection& c, std::string_view bytes)
{
    if (c.closed || bytes.empty())
        return;
    c.queue.append(bytes);
    flush_soon(c);
}

std::size_t queued(connection const& c)
{
    return c.queue.size() - c.queue_at;
}

void read(connection& c, bool on)
{
    if (!c.closed && !c.connecting)
        poll_input(*c.socket, on);
}

void close(connection& c)
{
    if (c.closed)
        return;
    c.events.ended = nullptr;
    end(c, ending::closed);
}

void finish(connection& c)
{
    if (c.closed || c.finishing)
        return;
    if (c.connecting)
    {
        close(c);
        return;
    }
    // The handlers may be what is running: they go with the connection.
    c.events.received = [](std::string_view) {};
    c.events.taken = nullptr;
    c.events.ended = nullptr;
    c.finishing = true;
    c.linger = call_after(*c.owner, linger_limit, [&c] { close(c); });
    poll_input(*c.socket, true);
    flush_soon(c);
}

result<listener*> listen(loop& l, endpoint const& at,
                         std::function<connection_events(connection&)> accepted)
{
    auto const address = to_sockaddr(at);
    if (!address)
        return fail(error_kind::io_failure, at.address + ": no IPv4 address");
    int const descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return fail(error_kind::io_failure, "no socket");
    int const on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(descriptor, reinterpret_cast<sockaddr const*>(&*address),
               sizeof *address) != 0 ||
        ::listen(descriptor, listen_backlog) != 0)
    {
        ::close(descriptor);
        return fail(error_kind::io_failure, "can't listen");
    }
    auto* const made = new listener{
        .owner = &l, .port = bound_port(descriptor), .accepted = accepted};
    made->socket = watch(l, descriptor,
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

std::uint16_t port_of(listener const& l)
{
    return l.port;
}

void close(listener& l)
{
    unwatch(*l.socket);
    defer(*l.owner, [&l] { delete &l; });
}

} // namespace bramleyarch::net

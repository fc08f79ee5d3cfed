/// TCP connections and listeners on a loop.
#pragma once

#include "common/ids.hpp"
#include "net/loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace bramleyarch::net
{

enum class ending
{
    closed,  ///< The peer closed the connection after sending all its data.
    reset,   ///< The connection broke; received data may be incomplete.
    refused, ///< The connection was not established; nothing was sent.
};

/// A TCP connection. It is owned by its loop and released after it has ended.
struct connection;

/// Handlers for the events of a connection, all called from `wait`. A handler
/// may write to and close any connection.
struct connection_events
{
    std::function<void()> opened; ///< Outgoing connections only.
    std::function<void(std::string_view)> received;
    /// Reports the number of bytes written to the socket since the last call.
    std::function<void(std::size_t)> written;
    std::function<void(ending)> ended; ///< The last event.
};

/// Starts to connect and later reports `opened` or `ended`. Fails with
/// `too_many_connections` if this process can't open another descriptor, and
/// with `server_connect_failed` if the peer refuses at once.
result<connection*> connect(loop& event_loop, endpoint const& to,
                            connection_events events);

/// Queues bytes, which are sent by a deferred call. Writes in the same
/// iteration of the loop are sent together.
void write(connection& conn, std::string_view bytes);

/// Returns the number of bytes that are not written to the socket yet.
std::size_t queued(connection const& conn);

/// Returns the memory of the queue in bytes, which may exceed what is queued.
std::size_t queue_capacity(connection const& conn);

/// Returns the peer's IPv4 address as a number; 0: unknown.
std::uint32_t peer_address(connection const& conn);

/// Pauses or resumes reading. A reset is detected even while reading is paused.
void read(connection& conn, bool on);

/// Closes the connection, discards queued bytes and reports no further events.
/// The operating system resets a socket that has unread bytes.
void close(connection& conn);

/// Sends the queued bytes and closes the connection gracefully, without further
/// events. Data from the peer is read and discarded for a short time, so that
/// the peer receives the last bytes rather than a reset.
void finish(connection& conn);

struct listener;

/// Listens on `at`. `accepted` is called with each new connection and returns
/// its handlers. While this process can't open another descriptor, callers wait
/// in the backlog. Fails with `io_failure`.
result<listener*>
listen(loop& event_loop, endpoint const& at,
       std::function<connection_events(connection&)> accepted);

std::uint16_t port_of(listener const& acceptor);

void close(listener& acceptor);

} // namespace bramleyarch::net

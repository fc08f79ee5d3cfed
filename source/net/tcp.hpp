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
    closed,  ///< The peer sent everything and closed.
    reset,   ///< Broken off; what was received may not be all.
    refused, ///< Never connected: no byte has left.
};

struct connection;

/// What a connection reports, each from `wait`. Handlers may write to and
/// close any connection.
struct connection_events
{
    std::function<void()> opened; ///< Outgoing connections only.
    std::function<void(std::string_view)> received;
    /// Bytes that the socket took since the last call.
    std::function<void(std::size_t)> taken;
    std::function<void(ending)> ended; ///< No call follows.
};

/// Connects; `opened` or `ended` follows. Null when no socket can be had.
connection* connect(loop& l, endpoint const& to, connection_events events);

/// Queues bytes; they leave at the end of the loop's turn. Writes of one turn
/// leave together.
void write(connection& c, std::string_view bytes);

/// Bytes that the socket did not take yet.
std::size_t queued(connection const& c);

/// Stops or resumes reading; a reset is seen even while reading is off.
void read(connection& c, bool on);

/// Closes; bytes still queued are dropped and no call follows. A socket with
/// unread bytes is reset, as the system does it.
void close(connection& c);

/// Sends what is queued and closes in good order: what the peer still sends is
/// read and dropped for a short while, so that it gets the last bytes rather
/// than a reset. No call follows.
void finish(connection& c);

struct listener;

/// Listens; `accepted` gets each new connection and returns its handlers.
/// Fails with `io_failure`.
result<listener*>
listen(loop& l, endpoint const& at,
       std::function<connection_events(connection&)> accepted);

std::uint16_t port_of(listener const& l);

void close(listener& l);

} // namespace bramleyarch::net

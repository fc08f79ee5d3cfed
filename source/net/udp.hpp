/// UDP sockets on an event loop.
#pragma once

#include "common/ids.hpp"
#include "net/loop.hpp"

#include <cstdint>
#include <functional>
#include <string_view>

namespace bramleyarch::net
{

struct datagram_socket;

/// Binds a socket to `at`. `received` is called with the sender and the content
/// of each datagram. Fails with `io_failure`.
result<datagram_socket*>
open_datagrams(loop& event_loop, endpoint const& at,
               std::function<void(endpoint, std::string_view)> received);

std::uint16_t port_of(datagram_socket const& socket);

/// Sends a datagram without queueing it. Returns false if it was not sent, for
/// example because the send buffer is full; it is not sent again.
bool send(datagram_socket& socket, endpoint const& to, std::string_view bytes);

void close(datagram_socket& socket);

} // namespace bramleyarch::net

/// A UDP socket on a loop.
#pragma once

#include "common/ids.hpp"
#include "net/loop.hpp"

#include <cstdint>
#include <functional>
#include <string_view>

namespace bramleyarch::net
{

struct datagram_socket;

/// Binds; `received` gets each datagram and its sender. Fails with
/// `io_failure`.
result<datagram_socket*>
open_datagrams(loop& l, endpoint const& at,
               std::function<void(endpoint, std::string_view)> received);

std::uint16_t port_of(datagram_socket const& s);

/// Sends at once; a datagram that the socket does not take is lost. False
/// when it was not sent.
bool send(datagram_socket& s, endpoint const& to, std::string_view bytes);

void close(datagram_socket& s);

} // namespace bramleyarch::net

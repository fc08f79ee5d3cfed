/// Encoding of what routers tell each other, one heartbeat to a UDP datagram.
#pragma once

#include "common/error.hpp"
#include "decisions/peer_heartbeat.hpp"

#include <string>
#include <string_view>

namespace bramleyarch::wire
{

std::string encode_peer_heartbeat(decisions::peer_heartbeat const& heartbeat);

/// Errors are `link_protocol`.
result<decisions::peer_heartbeat>
decode_peer_heartbeat(std::string_view datagram);

} // namespace bramleyarch::wire

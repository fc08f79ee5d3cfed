/// Encoding of peer heartbeats. Each is sent as one UDP datagram.
#pragma once

#include "common/error.hpp"
#include "decisions/peer_heartbeat.hpp"

#include <string>
#include <string_view>

namespace bramleyarch::wire
{

std::string encode_peer_heartbeat(decisions::peer_heartbeat const& heartbeat);

/// Fails with `link_protocol` if the datagram is no heartbeat of this version,
/// is malformed or is longer than 16 KiB.
result<decisions::peer_heartbeat>
decode_peer_heartbeat(std::string_view datagram);

} // namespace bramleyarch::wire

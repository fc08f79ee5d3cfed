/// Encoding of heartbeats. Each is sent as one UDP datagram.
#pragma once

#include "common/error.hpp"
#include "decisions/heartbeat.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace bramleyarch::wire
{

/// Longest datagram that is decoded.
constexpr std::size_t max_heartbeat_bytes = 1400;

std::string encode_heartbeat(decisions::heartbeat const& heartbeat);

/// Fails with `link_protocol` if the datagram is no heartbeat of this version,
/// is malformed or is longer than `max_heartbeat_bytes`.
result<decisions::heartbeat> decode_heartbeat(std::string_view datagram);

} // namespace bramleyarch::wire

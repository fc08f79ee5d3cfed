/// Encoding of what routers tell each other, one beat to a UDP datagram.
#pragma once

#include "common/error.hpp"
#include "decisions/peer_beat.hpp"

#include <string>
#include <string_view>

namespace bramleyarch::wire
{

std::string encode_beat(decisions::peer_beat const& beat);

/// Errors are `link_protocol`.
result<decisions::peer_beat> decode_beat(std::string_view datagram);

} // namespace bramleyarch::wire

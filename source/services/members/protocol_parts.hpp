/// Functions that the parts of the heartbeat protocol use of each other.
#pragma once

#include "services/members/protocol.hpp"

namespace bramleyarch::services::heartbeats
{

using namespace bramleyarch::decisions;

// probing.cpp

/// A pseudo-random number; the same seed gives the same ones.
std::uint64_t next_random(protocol& p);

/// A heartbeat of this router without news.
heartbeat make_heartbeat(protocol& p, heartbeat_kind kind);

/// Sends a heartbeat with news, which asks the receiver to ping `probes`.
void send_news(protocol& p, heartbeat_kind kind, endpoint const& to,
               std::vector<router_ref> probes, time_point now,
               protocol_output& out);

void ping(protocol& p, member_record const& record, time_point now,
          protocol_output& out);

/// True unless the member is gone.
bool is_pinged(member_record const& record);

/// Pings the next members of a random order.
void ping_members(protocol& p, time_point now, protocol_output& out);

/// Takes all probes further and drops those that are over.
void continue_probes(protocol& p, time_point now, protocol_output& out);

/// After a pause of this process, silence says nothing about the others.
void forgive_silence(protocol& p, time_point now);

/// Pings endpoints from which nobody answers: at a slow rate, and more of them
/// while this router joins.
void ping_silent(protocol& p, time_point now, protocol_output& out);

/// Up to `most` members that are pinged, drawn by chance.
std::vector<endpoint> draw_members(protocol& p, std::size_t most);

// evidence.cpp

/// Takes what is said of one router, with its endpoints.
void take_full(protocol& p, full_member_update const& news, time_point now,
               protocol_output& out);

/// Takes all news of a heartbeat but its sender's own.
void take_all_news(protocol& p, heartbeat const& h, time_point now,
                   protocol_output& out);

/// Pings what the sender asks about, and remembers to pass on the answer.
void take_probes(protocol& p, heartbeat const& h, endpoint const& from,
                 time_point now, protocol_output& out);

/// Tells those that asked that `heard` has answered.
void answer_relays(protocol& p, router_id const& heard, time_point now,
                   protocol_output& out);

} // namespace bramleyarch::services::heartbeats

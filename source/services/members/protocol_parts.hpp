/// Functions that the source files of the heartbeat protocol share.
#pragma once

#include "services/members/protocol.hpp"

namespace bramleyarch::services::heartbeats
{

using namespace bramleyarch::decisions;

// probing.cpp

/// Returns the next pseudo-random number. The sequence depends only on the
/// router and its incarnation and on the heartbeats that it has sent.
std::uint64_t next_random(protocol& state);

/// Creates a heartbeat of this router without gossip.
heartbeat make_heartbeat(protocol& state, heartbeat_kind kind);

/// Adds a heartbeat with gossip to `out`. It asks the receiver to ping
/// `probes`.
void send_gossip(protocol& state, heartbeat_kind kind, endpoint const& to,
                 std::vector<router_ref> probes, time_point now,
                 protocol_output& out);

/// Sends a ping with gossip to a member.
void ping(protocol& state, member_record const& record, time_point now,
          protocol_output& out);

/// Returns true unless the member is gone.
bool is_pinged(member_record const& record);

/// Pings the next members of a random order.
void ping_members(protocol& state, time_point now, protocol_output& out);

/// Advances all probes and removes those that have ended.
void advance_probes(protocol& state, time_point now, protocol_output& out);

/// Restarts the detection of failures after this process was paused: members
/// may have sent heartbeats meanwhile.
void reset_probes(protocol& state, time_point now);

/// Pings endpoints that do not respond: at a low rate, or several in each round
/// while this router joins.
void ping_unresponsive(protocol& state, time_point now, protocol_output& out);

/// Returns the endpoints of up to `max_count` random members that are not gone.
std::vector<endpoint> sample_members(protocol& state, std::size_t max_count);

// merging.cpp

/// Merges a full record of one router. If it is a later incarnation of this
/// router, this router starts to leave.
void merge_full_update(protocol& state, full_member_update const& update,
                       time_point now, protocol_output& out);

/// Merges the gossip of a heartbeat, without the record of its sender.
void merge_gossip(protocol& state, heartbeat const& received, time_point now,
                  protocol_output& out);

/// Pings the routers that the sender wants to have probed and records that
/// their responses are to be relayed to `from`.
void handle_probe_requests(protocol& state, heartbeat const& received,
                           endpoint const& from, time_point now,
                           protocol_output& out);

/// Relays the evidence of `responder`, which sent a heartbeat, to the routers
/// that requested a probe of it. Removes these requests and expired ones.
void send_relays(protocol& state, router_id const& responder, time_point now,
                 protocol_output& out);

} // namespace bramleyarch::services::heartbeats

/// State machine of the heartbeat protocol. Its inputs are received heartbeats
/// and the current time; its outputs are datagrams and changes. It has no
/// socket, clock or encoding.
#pragma once

#include "common/ids.hpp"
#include "common/member.hpp"
#include "common/time.hpp"
#include "config/model.hpp"
#include "decisions/gossip.hpp"
#include "decisions/heartbeat.hpp"
#include "decisions/membership.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace bramleyarch::services
{

struct protocol_options
{
    decisions::membership_options membership;
    decisions::gossip_options gossip;
    /// Configured heartbeat endpoints of peers.
    std::vector<endpoint> seeds;
    /// True if the platform provides a list of routers. Without seeds, this
    /// router does not join before it has received the list.
    bool awaits_list = false;
    /// A joining router becomes live when all configured and listed peers are
    /// known members and no new router was discovered for this time.
    duration join_quiet_time = std::chrono::milliseconds{500};
    /// A joining router becomes live after this time at the latest.
    duration join_limit = std::chrono::seconds{2};
    /// Interval between heartbeat rounds.
    duration round = std::chrono::milliseconds{250};
    /// Timeout of a direct probe, and then of the assisted probe.
    duration probe_timeout = std::chrono::milliseconds{250};
    std::size_t helpers = 2; ///< Number of routers that assist in a probe.
    /// Interval between pings of endpoints that do not respond.
    duration slow_probe_interval = std::chrono::seconds{1};
    /// One more member is pinged in each round per this number of members.
    std::size_t members_per_ping = 100;
    /// Minimum time between two announcements of quarantine entries.
    duration announcement_interval = std::chrono::milliseconds{100};
    /// Maximum number of routers that receive an announcement of quarantine
    /// entries. The others receive the entries as gossip.
    std::size_t announcement_fan_out = 32;
    /// Maximum number of routers that receive a heartbeat as soon as this
    /// router becomes live.
    std::size_t join_fan_out = 8;
};

struct datagram
{
    endpoint to;
    decisions::heartbeat content;
};

struct received_loads
{
    router_id owner;
    std::vector<decisions::compact_load> loads;
    duration age{};
};

struct received_demand
{
    router_id router;
    std::vector<decisions::compact_demand> demand;
};

struct peer_version
{
    router_id router;
    revision version = 0;
};

struct member_transition
{
    router_id router;
    member_state state = member_state::live;
};

/// Datagrams to send and changes to publish after one step of the protocol.
struct protocol_output
{
    std::vector<datagram> datagrams;
    std::vector<received_loads> loads;
    std::vector<received_demand> demand;
    std::vector<peer_version> versions;
    std::vector<decisions::compact_quarantine> quarantine;
    std::vector<member_transition> transitions;
    /// The new member view, or null if it did not change.
    std::shared_ptr<member_view const> view;
};

enum class probe_stage : std::uint8_t
{
    direct,   ///< Pinged by this router.
    assisted, ///< Pinged again by this router and by helpers.
};

constexpr auto enum_names(probe_stage)
{
    return std::array{
        enum_name<probe_stage>{probe_stage::direct, "direct"},
        enum_name<probe_stage>{probe_stage::assisted, "assisted"},
    };
}

struct probe
{
    probe_stage stage = probe_stage::direct;
    time_point first_ping_at{};
    /// Start of the current wait for a response, to which the timeout applies.
    time_point waiting_since{};
};

/// Request of another router to probe `target`.
struct probe_relay
{
    router_id target;
    endpoint requester;
    time_point until{};
};

struct protocol
{
    protocol_options options;
    decisions::membership members;
    decisions::gossip_state gossip;
    std::shared_ptr<config::document const> config;
    std::uint64_t sequence = 0; ///< Of the last heartbeat that was sent.
    std::map<router_id, probe> probes;
    std::vector<probe_relay> relays;
    std::vector<endpoint> listed_endpoints; ///< From the platform's list.
    /// Members to ping before the next shuffle, in reverse order.
    std::vector<router_id> ping_order;
    std::uint64_t random_state = 0;
    time_point last_joined_at{}; ///< Time of the last discovery of a router.
    time_point last_round_at{};
    time_point slow_probe_at{};
    time_point announced_at{}; ///< Time of the last quarantine announcement.
    std::size_t slow_probe_cursor = 0;
    std::shared_ptr<member_view const> view;
    bool view_stale = true;
};

/// Creates the state of a joining router. `self` has the endpoints at which
/// other routers can reach it.
protocol make_protocol(protocol_options options, member self, time_point now);

/// Runs one heartbeat round: pings members, advances probes, and updates the
/// states of members that do not respond.
protocol_output begin_heartbeat_round(protocol& state, time_point now);

/// Handles a heartbeat that was received from the endpoint `from`.
protocol_output handle_heartbeat(protocol& state,
                                 decisions::heartbeat const& received,
                                 endpoint const& from, time_point now);

/// Starts a probe of `id` at once, for example after its link was lost.
protocol_output probe_member(protocol& state, router_id const& id,
                             time_point now);

/// Announces a quarantine entry of this router to many routers at once and
/// queues it as gossip.
protocol_output announce_quarantine(protocol& state,
                                    decisions::compact_quarantine const& update,
                                    time_point now);

/// Changes the state of this router to leaving and sends a heartbeat to all
/// members at once.
protocol_output start_leaving(protocol& state, time_point now);

/// Sets the active configuration, unless it is older than the current one.
protocol_output adopt_config(protocol& state,
                             std::shared_ptr<config::document const> config,
                             time_point now);

} // namespace bramleyarch::services

/// The heartbeat protocol as a state machine: datagrams and time go in,
/// datagrams and changes come out. It has no socket, clock or encoding.
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
    decisions::gossip_options spread;
    /// Heartbeat endpoints to ask first.
    std::vector<endpoint> seeds;
    /// The platform gives a list, which names peers where no seed does.
    bool awaits_list = false;
    /// A router that has started joins once the named peers have been heard
    /// and nobody new for this time,
    duration join_quiet = std::chrono::milliseconds{500};
    /// and at the latest after this time.
    duration join_limit = std::chrono::seconds{2};
    duration round = std::chrono::milliseconds{250};
    /// For the answer to a ping, and again for the helpers' answers.
    duration probe_timeout = std::chrono::milliseconds{250};
    std::size_t helpers = 2; ///< Routers asked to probe a silent one.
    /// Between pings of a gone member, and of an unanswered seed.
    duration slow_probe_interval = std::chrono::seconds{1};
    /// A member is pinged more for each full number of this many members.
    std::size_t members_per_ping = 100;
    /// Least time between two sendings of notices to many routers at once.
    duration notice_gap = std::chrono::milliseconds{100};
    /// Routers that get a notice at once; the others get it by heartbeats.
    std::size_t notice_fan_out = 32;
    /// Routers that hear at once that this one has joined.
    std::size_t join_fan_out = 8;
};

struct datagram
{
    endpoint to;
    decisions::heartbeat content;
};

struct learned_loads
{
    router_id owner;
    std::vector<decisions::compact_load> loads;
    duration age{};
};

struct learned_demand
{
    router_id router;
    std::vector<decisions::compact_demand> demand;
};

struct learned_version
{
    router_id router;
    revision version = 0;
};

struct member_transition
{
    router_id router;
    member_state state = member_state::live;
};

/// What one step of the protocol brought about.
struct protocol_output
{
    std::vector<datagram> datagrams;
    std::vector<learned_loads> loads;
    std::vector<learned_demand> demand;
    std::vector<learned_version> versions;
    std::vector<decisions::compact_quarantine> quarantine;
    std::vector<member_transition> transitions;
    /// Set when the view changed.
    std::shared_ptr<member_view const> view;
};

enum class probe_stage : std::uint8_t
{
    direct,   ///< Pinged from here.
    assisted, ///< Pinged again, and by helpers.
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
    time_point first_at{};
    time_point asked_at{};
};

/// A router that wants to know whether `target` answers.
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
    decisions::gossip_state news;
    std::shared_ptr<config::document const> config;
    std::uint64_t sequence = 0; ///< Of the own heartbeats.
    std::map<router_id, probe> probes;
    std::vector<probe_relay> relays;
    std::vector<endpoint> listed; ///< From the platform's list.
    std::vector<router_id> order; ///< Members still to be pinged this turn.
    std::uint64_t random = 0;
    time_point joined_at{}; ///< When a router was last learned of.
    time_point round_at{};
    time_point slow_probe_at{};
    time_point noticed_at{}; ///< Last sending of notices.
    std::size_t slow_probe_cursor = 0;
    std::shared_ptr<member_view const> view;
    bool view_stale = true;
};

/// `self` has the endpoints that others are to use.
protocol make_protocol(protocol_options options, member self, time_point now);

/// One round: pings, failed probes, silent members.
protocol_output begin_round(protocol& p, time_point now);

/// Handles a heartbeat that came from `from`.
protocol_output receive_heartbeat(protocol& p, decisions::heartbeat const& h,
                                  endpoint const& from, time_point now);

/// Probes `id` at once: the link to it was lost.
protocol_output probe_member(protocol& p, router_id const& id, time_point now);

/// Spreads what this router found out of a body: to many routers at once,
/// and by its heartbeats.
protocol_output spread_notice(protocol& p,
                              decisions::compact_quarantine const& news,
                              time_point now);

/// Tells all members at once that this router leaves.
protocol_output start_leaving(protocol& p, time_point now);

/// Sets the configuration in force here.
protocol_output adopt_config(protocol& p,
                             std::shared_ptr<config::document const> config,
                             time_point now);

} // namespace bramleyarch::services

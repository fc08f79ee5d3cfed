/// The part of a service's slots that one router may use.
///
/// Each router computes its own part from the demands that travel in
/// heartbeats. Parts are proportional to demand when the slots do not cover it;
/// otherwise each router gets its demand and an equal part of the rest. The
/// part of a router falls when the demand of another one rises, and a router
/// uses a rise of its own demand only after the others had time to hear of it.
/// The parts therefore never sum to more than the slots while no message is
/// later than `settle`.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"
#include "decisions/peer_heartbeat.hpp"
#include "decisions/remote_loads.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bramleyarch::decisions
{

struct capacity_share_options
{
    /// Demands expire after this time, as loads do (`remote_loads_options`).
    duration max_age = std::chrono::milliseconds{1500};
    /// Demands of peers expire later if the domain is so large that a router
    /// is heard of less often: after this multiple of the time in which each
    /// sends to all others, so that one lost heartbeat does no harm. In a
    /// domain of 111 that time is 2.3 s; with `max_age` alone a third of the
    /// demands was missing.
    double max_age_rounds = 2.5;
    /// Peers of the domain that one heartbeat goes to, and its interval.
    std::size_t peers_per_round = heartbeat_rotation_options{}.own_domain;
    duration heartbeat_interval = std::chrono::milliseconds{250};
    /// Time after which a rise of the own demand is used. A router of a domain
    /// of 27 reaches all others within 0.6 s.
    duration settle = std::chrono::milliseconds{600};
    /// An equal part is kept for a listed router that is not heard of, for this
    /// time. Longer than it takes to list a router as gone; two halves that
    /// can't see each other use twice `room_factor` afterwards.
    duration reserve_time = std::chrono::seconds{10};
    /// Requests that may be in flight per slot, so that a slot does not stand
    /// idle while an answer and the next request travel. Two halves of the
    /// fleet stay below three per slot; a desk server has 6 slots and a queue
    /// of 24 and bears five.
    double room_factor = 1.5;
};

/// Demands from the newest heartbeat of one router or domain.
struct received_demands
{
    time_point received_at{};
    std::vector<service_demand> demands;
};

/// A router of the fleet.
struct known_router
{
    time_point listed_at{};
    std::optional<domain_id> domain; ///< Known once it was heard of.
};

/// Demand as this router sent it in one heartbeat.
struct sent_demand
{
    time_point at{};
    double need = 0;
};

/// Demand of all other routers for one service, in slots, and what it was
/// computed from.
struct others_need
{
    double need = 0;
    duration oldest{}; ///< Age of the oldest demand that is included.
};

struct capacity_shares
{
    capacity_share_options options;
    domain_id own_domain;
    /// Demands of each router in this router's domain.
    std::map<router_id, received_demands> peers;
    /// Summed demands of each other domain.
    std::map<domain_id, received_demands> domains;
    /// The other routers of the fleet.
    std::map<router_id, known_router> routers;
    /// Own demands sent within `settle`, by service; the first is older, or the
    /// first ever.
    std::unordered_map<std::uint64_t, std::deque<sent_demand>> sent;
    /// Routers for which an equal part is kept, as of the last `refresh`.
    double unheard = 0;
    /// Routers that are not heard of any more and have no part.
    double gone = 0;
};

/// What a router may use of a service, with its inputs.
struct capacity_part
{
    double part = 1;           ///< Slots, a fraction.
    std::uint32_t allowed = 1; ///< Requests in flight; at least one.
    double own_need = 0;       ///< Demand that this router uses, in slots.
    double others_need = 0;    ///< Of all other routers, in slots.
    double room = 0;           ///< Requests in flight that all may have.
    double unheard = 0;        ///< Routers whose demand is not known.
    double routers = 1;        ///< Without those that are gone.
    duration oldest{};         ///< Age of the oldest demand.
};

/// Returns the slots that a demand needs, if each request holds one for `hold`.
double need_of(service_demand const& demand, duration hold);

/// Returns one router's part of `room` slots. `unheard` of the `routers` have
/// no known demand; an equal part is kept for each of them.
double compute_part(double room, double own, double others, double unheard,
                    double routers);

/// Returns the requests in flight that a part allows, at least one. The
/// fraction is rounded by the router's `position`, from 0 to 1, among all
/// routers, so that the sum of equal parts is not changed by the rounding.
std::uint32_t whole_requests(double part, double position);

/// Replaces the demands of the sender, or of its domain if that is another one.
void apply_demands(capacity_shares& shares, peer_heartbeat const& heartbeat,
                   time_point at);

/// Sets the list of the other routers.
void set_routers(capacity_shares& shares, std::vector<router_id> const& others,
                 time_point at);

/// Removes expired demands and counts the routers that are not heard of. Call
/// it once per heartbeat.
void refresh(capacity_shares& shares, time_point at);

/// Records the own demand that is sent in a heartbeat now.
void record_sent_demand(capacity_shares& shares, service_demand const& demand,
                        duration hold, time_point at);

/// Returns this router's part of a service with `slots` slots.
capacity_part part_of(capacity_shares const& shares, std::uint64_t service,
                      std::uint32_t slots, duration hold, double position,
                      time_point at);

/// Returns the demands of this router's domain: the sum of `own` and those of
/// its peers.
std::vector<service_demand>
domain_demands(capacity_shares const& shares,
               std::vector<service_demand> const& own);

} // namespace bramleyarch::decisions

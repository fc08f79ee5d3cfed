/// Rate limits of teams, enforced over the whole fleet.
///
/// A team's rate is split between the routers in proportion to the demand that
/// each of them receives, with a minimum for routers that receive little; any
/// rate beyond the demand is split evenly. Each router refills a token bucket
/// of its own at its share of the rate.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace bramleyarch::decisions
{

struct team_limit_options
{
    /// Minimum weight of a router, as a fraction of the mean demand per router.
    double floor_share = 0.25;
    /// Demand reports of other routers expire after this time.
    duration demand_ttl = std::chrono::seconds{5};
    /// Time constant of the moving average of the local demand.
    duration demand_window = std::chrono::seconds{2};
    bool enabled = true;
};

/// Demand of one team at another router.
struct reported_demand
{
    double rate = 0; ///< Requests per second.
    time_point reported_at{};
};

/// Limit of one team at this router.
struct team_bucket
{
    double rate = 0;  ///< Requests per second, fleet-wide; 0: no limit.
    double burst = 0; ///< Requests at once, fleet-wide.
    double share = 1; ///< Fraction of rate and burst that this router uses.
    double tokens = 0;
    time_point refilled_at{};
    double local_demand = 0;    ///< Moving average, requests per second.
    std::uint32_t requests = 0; ///< Since the average was last updated.
    std::map<router_id, reported_demand> remote_demand;
};

struct team_limits
{
    team_limit_options options;
    std::unordered_map<team_id, team_bucket> teams;
};

/// Sets the fleet-wide rate and burst of a team.
void set_team_rate(team_limits& limits, team_id const& team, double rate,
                   double burst, time_point at);

/// Stores the demand that another router reported. Does nothing for a team
/// without a limit.
void record_remote_demand(team_limits& limits, team_id const& team,
                          router_id const& router, double rate, time_point at);

/// Updates the average of the local demand over the last `elapsed` and computes
/// the share of every team. `routers` is the number of routers that accept
/// requests, this one included.
void update_shares(team_limits& limits, std::size_t routers, duration elapsed,
                   time_point at);

/// Demand on the rate of one team, as this router knows it.
struct fleet_demand
{
    double local = 0;  ///< At this router, requests per second.
    double remote = 0; ///< At all other routers, requests per second.
    double rate = 0;   ///< The team's limit, requests per second.
    std::size_t routers = 1;
};

/// Returns the fraction of the rate that this router may use. A router needs
/// its demand plus the floor. Needs are met first and the rest of the rate is
/// split evenly; a rate that does not cover all needs is split in proportion to
/// them.
double compute_share(fleet_demand const& demand,
                     team_limit_options const& options);

struct limit_decision
{
    bool allowed = true;
    /// Time until the next token; zero if the request is allowed.
    duration retry_after{};
};

/// Counts a request towards the demand and takes a token for it.
limit_decision acquire_token(team_limits& limits, team_id const& team,
                             time_point at);

} // namespace bramleyarch::decisions

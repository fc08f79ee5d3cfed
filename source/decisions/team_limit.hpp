/// Rate limits of teams over the whole fleet.
///
/// A team's rate is split between the routers by the demand that each of them
/// sees, with a floor for routers that see little yet; what demand leaves of
/// the rate is split evenly. Each router fills its own token bucket at its
/// share.
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
    /// Least weight of a router, as a part of the mean demand per router.
    double floor_share = 0.25;
    /// Demand reports count for this long.
    duration demand_ttl = std::chrono::seconds{5};
    /// Time constant of the own demand's moving average.
    duration demand_window = std::chrono::seconds{2};
    bool enabled = true;
};

/// Demand of one team at another router, requests per second.
struct reported_demand
{
    double rate = 0;
    time_point reported_at{};
};

/// One team's limit at this router.
struct team_bucket
{
    double rate = 0;  ///< Requests per second over the fleet; 0: no limit.
    double burst = 0; ///< Requests at once over the fleet.
    double share = 1; ///< Part of rate and burst that this router uses.
    double tokens = 0;
    time_point filled{};     ///< When the tokens were last computed.
    double local_demand = 0; ///< Moving average, requests per second.
    std::uint32_t asked = 0; ///< Requests since the last average.
    std::map<router_id, reported_demand> others;
};

struct team_limits
{
    team_limit_options options;
    std::unordered_map<team_id, team_bucket> teams;
};

/// Sets rate and burst by configuration.
void set_team_rate(team_limits& limits, team_id const& team, double rate,
                   double burst, time_point at);

/// Takes over the demand that another router reported.
void record_remote_demand(team_limits& limits, team_id const& team,
                          router_id const& router, double rate, time_point at);

/// Averages the own demand over `elapsed` and computes every team's share.
/// `routers` is the number of routers that take requests, this one included.
void update_shares(team_limits& limits, std::size_t routers, duration elapsed,
                   time_point at);

/// What a router knows of the demand on one team's rate.
struct fleet_demand
{
    double own = 0;    ///< At this router, requests per second.
    double others = 0; ///< At all others, requests per second.
    double rate = 0;   ///< The team's limit, requests per second.
    std::size_t routers = 1;
};

/// Share of a router among all. Needs, that is demand with the floor, are met
/// first and what they leave of the rate is split evenly; where the rate does
/// not cover all needs, it is split in proportion to them.
double compute_share(fleet_demand const& demand,
                     team_limit_options const& options);

/// Result of asking for one request.
struct limit_decision
{
    bool allowed = true;
    duration retry_after{}; ///< Until the next token when not allowed.
};

/// Counts a request and takes a token.
limit_decision acquire_token(team_limits& limits, team_id const& team,
                             time_point at);

} // namespace bramleyarch::decisions

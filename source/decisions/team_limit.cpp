#include "decisions/team_limit.hpp"

#include <algorithm>
#include <cmath>

namespace bramleyarch::decisions
{

namespace
{

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Returns the size of the bucket. It holds at least one token, since a smaller
/// bucket would never allow a request.
double max_tokens(team_bucket const& bucket)
{
    return std::max(1.0, bucket.burst * bucket.share);
}

void refill(team_bucket& bucket, time_point at)
{
    double const earned =
        to_seconds(at - bucket.refilled_at) * bucket.rate * bucket.share;
    bucket.tokens = std::min(max_tokens(bucket), bucket.tokens + earned);
    bucket.refilled_at = at;
}

void update_local_demand(team_bucket& bucket, duration elapsed,
                         team_limit_options const& options)
{
    double const span = to_seconds(elapsed);
    if (span <= 0)
        return;
    double const keep = std::exp(-span / to_seconds(options.demand_window));
    double const rate = bucket.requests / span;
    bucket.local_demand = bucket.local_demand * keep + rate * (1 - keep);
    bucket.requests = 0;
}

void update_share(team_bucket& bucket, std::size_t routers,
                  team_limit_options const& options, time_point at)
{
    double remote = 0;
    std::size_t reporting = 1;
    for (auto const& [router, demand] : bucket.remote_demand)
    {
        if (demand.reported_at + options.demand_ttl < at)
            continue;
        remote += demand.rate;
        ++reporting;
    }
    refill(bucket, at);
    bucket.share = compute_share({.local = bucket.local_demand,
                                  .remote = remote,
                                  .rate = bucket.rate,
                                  .routers = std::max(routers, reporting)},
                                 options);
    bucket.tokens = std::min(bucket.tokens, max_tokens(bucket));
}

} // namespace

void set_team_rate(team_limits& limits, team_id const& team, double rate,
                   double burst, time_point at)
{
    auto const [entry, added] = limits.teams.try_emplace(team);
    auto& bucket = entry->second;
    if (added)
        bucket.refilled_at = at;
    else
        refill(bucket, at);
    bucket.rate = rate;
    bucket.burst = burst;
}

void record_remote_demand(team_limits& limits, team_id const& team,
                          router_id const& router, double rate, time_point at)
{
    auto const found = limits.teams.find(team);
    if (found == limits.teams.end())
        return;
    found->second.remote_demand.insert_or_assign(router,
                                                 reported_demand{rate, at});
}

void update_shares(team_limits& limits, std::size_t routers, duration elapsed,
                   time_point at)
{
    for (auto& [team, bucket] : limits.teams)
    {
        update_local_demand(bucket, elapsed, limits.options);
        if (bucket.rate > 0)
            update_share(bucket, routers, limits.options, at);
    }
}

double compute_share(fleet_demand const& demand,
                     team_limit_options const& options)
{
    auto const count =
        static_cast<double>(std::max<std::size_t>(demand.routers, 1));
    double const total = demand.local + demand.remote;
    // Every router adds the floor to its demand, so the shares of routers that
    // received the same reports add up to 1.
    double const floor = options.floor_share * total / count;
    double const need = demand.local + floor;
    double const all_needs = total + floor * count;
    if (all_needs >= demand.rate)
        return all_needs > 0 ? need / all_needs : 1 / count;
    double const spare = demand.rate - all_needs;
    return (need + spare / count) / demand.rate;
}

limit_decision acquire_token(team_limits& limits, team_id const& team,
                             time_point at)
{
    auto const found = limits.teams.find(team);
    if (found == limits.teams.end())
        return {};
    auto& bucket = found->second;
    ++bucket.requests;
    if (bucket.rate <= 0 || !limits.options.enabled)
        return {};
    refill(bucket, at);
    if (bucket.tokens >= 1)
    {
        bucket.tokens -= 1;
        return {};
    }
    double const rate = std::max(bucket.rate * bucket.share, 1e-3);
    double const wait = (1 - bucket.tokens) / rate;
    constexpr double ns_per_s = 1e9;
    return {.allowed = false,
            .retry_after =
                duration{static_cast<std::int64_t>(wait * ns_per_s)}};
}

} // namespace bramleyarch::decisions

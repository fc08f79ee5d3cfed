/// Steps of a rollout: which share of a service's requests may go to the new
/// version now.
///
/// The limit holds for all requests to the new version until it is decided on,
/// since a version may turn bad at any time. A small share of the requests is
/// therefore sent to it for most of the time, and the rest of what the limit
/// allows is spent shortly before the deadline, when all requests go to the new
/// version.
#pragma once

#include "common/enum_names.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <vector>

namespace bramleyarch::decisions
{

/// Limits on what a bad version gets, which the deployment's settings state.
struct exposure_limits
{
    /// Share of all requests to the service until the deadline, and requests in
    /// addition.
    double share = 0.1;
    double slack = 50;
    /// A bad version gets no request later than this after its 50th bad answer.
    duration rollback = std::chrono::seconds{5};
};

/// How far a rollout is at one router.
enum class rollout_step : std::uint8_t
{
    waiting, ///< No server of the new version is known.
    probe,   ///< A few requests go to the new version.
    canary,  ///< More requests do; no evidence speaks against it.
    streams, ///< All streams go there too, as they take longest to finish.
    full,    ///< All requests go to the new version.
    stopped, ///< No requests go to the new version.
};

constexpr auto enum_names(rollout_step)
{
    using s = rollout_step;
    using row = enum_name<rollout_step>;
    return std::array{row{s::waiting, "waiting"}, row{s::probe, "probe"},
                      row{s::canary, "canary"},   row{s::streams, "streams"},
                      row{s::full, "full"},       row{s::stopped, "stopped"}};
}

struct rollout_plan_options
{
    exposure_limits limits;
    /// Part of the share that is used. The rest covers requests that routers
    /// have sent and not reported yet.
    double usable_share = 0.9;
    /// Part of the slack that is used. The rest covers that each router sends
    /// whole requests, which adds up to some tens with 1,000 routers.
    double usable_slack = 0.7;
    /// Shares of the requests in the first two steps, and the part of the
    /// slack that is added to them, which makes up for few requests.
    double probe_share = 0.01;
    double canary_share = 0.03;
    double canary_slack = 0.4;
    /// Fraction of the time to the decision that the first step takes, and
    /// that the slack is spread over.
    double probe_fraction = 0.25;
    double slack_fraction = 0.5;
    /// Time between the decision and the deadline, in which the decision is
    /// written: the first three routers in order try, and a write may take
    /// some 300 ms. Not more than `max_margin_fraction` of the order's length.
    duration write_margin = std::chrono::milliseconds{1500};
    double max_margin_fraction = 0.125;
    /// Longest time for which all requests go to the new version before the
    /// decision: streams last up to 15 s, and the routers start apart.
    duration max_full = std::chrono::seconds{16};
    /// The same as a fraction of the time to the decision. Most of the time is
    /// left for finding a bad version with few requests.
    double max_full_fraction = 0.3;
    /// Part of what is left of the limit that streams may take before all
    /// requests go to the new version, and the fraction of the time to the
    /// decision that this step takes at most.
    double stream_part = 0.5;
    double max_stream_fraction = 0.5;
};

/// Requests to the service, counted from the order on.
struct request_totals
{
    double all = 0;
    double new_version = 0;
    double per_second = 0; ///< Recent rate of all requests.
};

/// Time from the order to the decision at the latest.
duration decision_time(duration length, rollout_plan_options const& options);

/// Position of this router among all, in [0, 1). Routers with equal numbers of
/// requests round up at different times by it, so that the sum of whole
/// requests is the sum of the shares.
double rounding_position(router_id const& self,
                         std::vector<router_id> const& others);

/// Returns how many requests this router may have sent to the new version
/// after `own_all` requests to the service. `since` is the time since the
/// order, `routers` the number of routers.
std::uint64_t canary_allowance(std::uint64_t own_all, duration since,
                               duration length, double routers, double position,
                               rollout_plan_options const& options);

/// Returns the time for which all requests can go to the new version until the
/// limit is reached, for an order of this length.
duration affordable_full_time(request_totals const& totals, duration length,
                              rollout_plan_options const& options);

/// Returns the time before the decision from which on all streams can go to the
/// new version. `streams_per_second` is their recent rate.
duration affordable_stream_time(request_totals const& totals,
                                double streams_per_second, duration length,
                                rollout_plan_options const& options);

/// Returns whether the usable part of the limit is spent.
bool is_limit_reached(request_totals const& totals,
                      rollout_plan_options const& options);

/// Probability with which a request of a route takes a place at the new
/// version. Routes with few requests take each one, so that a version that is
/// bad on such a route is found.
double route_weight(double route_requests, double all_requests, double routes);

/// Order of this router among the live ones for decisions on an order; 0: it
/// is responsible.
std::size_t writer_rank(router_id const& self,
                        std::vector<router_id> const& others,
                        service_id const& service, revision order);

/// Returns the servers of the new version that get the requests of a canary:
/// as many as make the requests per server about those after the rollout, so
/// that a version which is bad under load is found. They change with time, so
/// that all servers are tried and fill their caches. `servers` holds hashes of
/// server ids.
std::vector<std::uint64_t> canary_servers(std::vector<std::uint64_t> servers,
                                          revision order, double share,
                                          duration since);

} // namespace bramleyarch::decisions

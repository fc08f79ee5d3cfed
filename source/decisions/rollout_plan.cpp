#include "decisions/rollout_plan.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <cmath>

namespace bramleyarch::decisions
{

namespace
{

using seconds = std::chrono::duration<double>;

/// Time for which the requests of a canary go to the same servers: several
/// rounds of heartbeats.
constexpr duration canary_server_time = std::chrono::seconds{2};

double usable_share(rollout_plan_options const& options)
{
    return options.limits.share * options.usable_share;
}

double usable_limit(double all, rollout_plan_options const& options)
{
    return usable_share(options) * all +
           options.limits.slack * options.usable_slack;
}

/// Requests that may still go to the new version.
double left_of(request_totals const& totals,
               rollout_plan_options const& options)
{
    return std::max(usable_limit(totals.all, options) - totals.new_version,
                    0.0);
}

std::uint64_t writer_weight(router_id const& router, service_id const& service,
                            revision order)
{
    return mix(mix(name_hash(router.value), name_hash(service.value)),
               static_cast<std::uint64_t>(order));
}

} // namespace

duration decision_time(duration length, rollout_plan_options const& options)
{
    auto const margin = std::min(seconds{options.write_margin},
                                 seconds{length} * options.max_margin_fraction);
    return length - std::chrono::duration_cast<duration>(margin);
}

double rounding_position(router_id const& self,
                         std::vector<router_id> const& others)
{
    auto const before =
        std::count_if(others.begin(), others.end(),
                      [&self](router_id const& other) { return other < self; });
    return (static_cast<double>(before) + 0.5) /
           (static_cast<double>(others.size()) + 1);
}

std::uint64_t canary_allowance(std::uint64_t own_all, duration since,
                               duration length, double routers, double position,
                               rollout_plan_options const& options)
{
    auto const until = seconds{decision_time(length, options)}.count();
    auto const passed =
        until > 0 ? std::max(seconds{since}.count() / until, 0.0) : 1;
    auto const share =
        std::min(passed < options.probe_fraction ? options.probe_share
                                                 : options.canary_share,
                 usable_share(options));
    auto const slack = options.limits.slack * options.canary_slack *
                       std::min(passed / options.slack_fraction, 1.0);
    auto const allowed =
        share * static_cast<double>(own_all) + slack / std::max(routers, 1.0);
    return static_cast<std::uint64_t>(std::floor(allowed + position));
}

duration affordable_stream_time(request_totals const& totals,
                                double streams_per_second, duration length,
                                rollout_plan_options const& options)
{
    auto const longest = std::min(seconds{options.max_full},
                                  seconds{decision_time(length, options)} *
                                      options.max_stream_fraction);
    if (streams_per_second <= 0)
        return std::chrono::duration_cast<duration>(longest);
    return std::chrono::duration_cast<duration>(std::min(
        longest, seconds{options.stream_part * left_of(totals, options) /
                         streams_per_second}));
}

duration affordable_full_time(request_totals const& totals, duration length,
                              rollout_plan_options const& options)
{
    auto const left = left_of(totals, options);
    auto const rate = totals.per_second * (1 - usable_share(options));
    auto const longest = std::min(seconds{options.max_full},
                                  seconds{decision_time(length, options)} *
                                      options.max_full_fraction);
    auto const affordable =
        rate > 0 ? std::min(seconds{left / rate}, longest) : longest;
    return std::chrono::duration_cast<duration>(affordable);
}

bool is_limit_reached(request_totals const& totals,
                      rollout_plan_options const& options)
{
    return totals.new_version >= usable_limit(totals.all, options);
}

double route_weight(double route_requests, double all_requests, double routes)
{
    if (route_requests <= 0 || routes <= 0)
        return 1;
    return std::min(all_requests / (routes * route_requests), 1.0);
}

std::size_t writer_rank(router_id const& self,
                        std::vector<router_id> const& others,
                        service_id const& service, revision order)
{
    auto const own = writer_weight(self, service, order);
    return static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(),
                      [&](router_id const& other)
                      { return writer_weight(other, service, order) > own; }));
}

std::vector<std::uint64_t> canary_servers(std::vector<std::uint64_t> servers,
                                          revision order, double share,
                                          duration since)
{
    if (servers.empty())
        return servers;
    auto const seed = static_cast<std::uint64_t>(order);
    std::sort(servers.begin(), servers.end(),
              [seed](std::uint64_t a, std::uint64_t b)
              { return mix(a, seed) < mix(b, seed); });
    auto const total = servers.size();
    auto const used = std::clamp(
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(total))),
        std::size_t{1}, total);
    auto const turn = static_cast<std::size_t>(
        std::max<std::int64_t>(since / canary_server_time, 0));
    std::rotate(servers.begin(),
                servers.begin() +
                    static_cast<std::ptrdiff_t>(turn * used % total),
                servers.end());
    servers.resize(used);
    return servers;
}

} // namespace bramleyarch::decisions

#include "decisions/request_limits.hpp"

#include "decisions/fleet_share.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleyarch::decisions
{

namespace
{

/// Runs of servers whose limits are kept, three times those of the largest
/// planned fleet. It bounds the memory, since any sender of a heartbeat can put
/// any run into it.
constexpr std::size_t max_limits = 2000;

/// This router's part of a limit.
struct limit_share
{
    double rate = 0;  ///< Requests per second; 0: none.
    double burst = 0; ///< Requests at once.
};

/// Divides the limit between the routers. Each router that sends at all may
/// send one request at any moment, so that there are at most as many of them as
/// requests are allowed in a burst.
limit_share share_of(request_limits const& state, stated_limit const& limit)
{
    auto const& options = state.options;
    std::chrono::duration<double> const window{options.window};
    auto const rate = std::max(*limit.rate, options.min_rate);
    auto const beyond_rate =
        (options.overage - 1) * rate * window.count() + options.slack;
    auto const burst = options.usable_fraction * beyond_rate;
    auto const routers = static_cast<double>(state.others.size() + 1);
    auto const senders = std::clamp(std::floor(burst), 1.0, routers);
    if (static_cast<double>(limit.routers_ahead) >= senders)
        return {};
    return {.rate = rate / senders, .burst = std::max(burst / senders, 1.0)};
}

/// Returns the requests that this router may send now.
double tokens_at(stated_limit const& limit, limit_share const& share,
                 time_point at)
{
    std::chrono::duration<double> const elapsed{
        std::max(at - limit.refilled_at, duration::zero())};
    return std::min(limit.tokens + share.rate * elapsed.count(), share.burst);
}

stated_limit const* find_limit(request_limits const& state, std::uint64_t run)
{
    auto const found = state.by_run.find(run);
    return found == state.by_run.end() || !found->second.rate ? nullptr
                                                              : &found->second;
}

std::size_t count_routers_ahead(request_limits const& state, std::uint64_t run)
{
    return routers_ahead(run, state.self, state.others);
}

} // namespace

void set_routers(request_limits& state, std::vector<router_id> others)
{
    state.others = std::move(others);
    for (auto& [run, limit] : state.by_run)
        limit.routers_ahead = count_routers_ahead(state, run);
}

limit_change record_limit(request_limits& state, std::uint64_t run,
                          std::optional<double> rate, time_point stated_at,
                          time_point at)
{
    auto const found = state.by_run.find(run);
    if (found == state.by_run.end())
    {
        if (!rate || state.by_run.size() >= max_limits)
            return limit_change::none;
        auto& added = state.by_run[run];
        added = {.rate = rate,
                 .stated_at = stated_at,
                 .routers_ahead = count_routers_ahead(state, run),
                 .refilled_at = at};
        added.tokens = share_of(state, added).burst;
        return limit_change::set;
    }
    auto& limit = found->second;
    if (stated_at < limit.stated_at)
        return limit_change::none;
    limit.stated_at = stated_at;
    if (limit.rate == rate)
        return limit_change::none;
    if (limit.rate)
    {
        limit.tokens = tokens_at(limit, share_of(state, limit), at);
        limit.refilled_at = at;
    }
    limit.rate = rate;
    return rate ? limit_change::set : limit_change::ended;
}

std::optional<duration> time_to_send(request_limits const& state,
                                     std::uint64_t run, time_point at)
{
    auto const* const limit = find_limit(state, run);
    if (!limit)
        return duration::zero();
    auto const share = share_of(state, *limit);
    if (share.rate <= 0)
        return std::nullopt;
    auto const missing = 1 - tokens_at(*limit, share, at);
    if (missing <= 0)
        return duration::zero();
    // Rounded up, so that the request may be sent when this time has passed.
    return std::chrono::ceil<duration>(
        std::chrono::duration<double>{missing / share.rate});
}

void record_send(request_limits& state, std::uint64_t run, time_point at)
{
    auto const found = state.by_run.find(run);
    if (found == state.by_run.end() || !found->second.rate)
        return;
    auto& limit = found->second;
    limit.tokens = tokens_at(limit, share_of(state, limit), at) - 1;
    limit.refilled_at = at;
}

std::optional<double> limit_of(request_limits const& state, std::uint64_t run)
{
    auto const* const limit = find_limit(state, run);
    return limit ? limit->rate : std::nullopt;
}

bool needs_refresh(request_limits const& state, std::uint64_t run,
                   time_point at)
{
    auto const* const limit = find_limit(state, run);
    return limit && at - limit->stated_at >= state.options.refresh_interval;
}

std::size_t count_limited(request_limits const& state)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(state.by_run, [](auto const& entry)
                              { return entry.second.rate.has_value(); }));
}

std::vector<aged_server_limit> limits_to_send(request_limits& state,
                                              time_point at)
{
    std::vector<aged_server_limit> limits;
    auto const count = std::min(max_limits_per_heartbeat, state.by_run.size());
    auto next = state.by_run.upper_bound(state.last_sent_run);
    while (limits.size() < count)
    {
        if (next == state.by_run.end())
            next = state.by_run.begin();
        auto const& [run, limit] = *next++;
        auto const age = std::max(at - limit.stated_at, duration::zero());
        limits.push_back({.run = run,
                          .is_limited = limit.rate.has_value(),
                          .rate = limit.rate.value_or(0),
                          .age_ms = static_cast<std::uint32_t>(to_ms(age))});
        state.last_sent_run = run;
    }
    return limits;
}

void record_limits(request_limits& state,
                   std::vector<aged_server_limit> const& limits, time_point at)
{
    for (auto const& stated : limits)
    {
        // No router sends another value.
        if (stated.is_limited &&
            !(stated.rate >= 0 && std::isfinite(stated.rate)))
            continue;
        record_limit(state, stated.run,
                     stated.is_limited ? std::optional{stated.rate}
                                       : std::nullopt,
                     at - std::chrono::milliseconds{stated.age_ms}, at);
    }
}

void remove_expired(request_limits& state, time_point at)
{
    std::erase_if(state.by_run,
                  [&](auto const& entry)
                  {
                      auto const& limit = entry.second;
                      auto const retention = limit.rate
                                                 ? state.options.retention
                                                 : state.options.end_retention;
                      return at - limit.stated_at >= retention;
                  });
}

} // namespace bramleyarch::decisions

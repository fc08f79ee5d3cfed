#include "decisions/fleet_share.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <numeric>

namespace bramleyarch::decisions
{

namespace
{

constexpr double min_cold_rate_per_s = 0.2;

/// Moves the window to `at` and clears the slots that it enters.
void advance_window(retry_share& share, retry_share_options const& options,
                    time_point at)
{
    auto const width =
        options.window / static_cast<std::int64_t>(retry_share::slots);
    auto const slot = at.time_since_epoch() / width;
    auto const passed =
        std::clamp<std::int64_t>(slot - share.slot, 0, retry_share::slots);
    for (std::int64_t i = 1; i <= passed; ++i)
    {
        auto const index =
            static_cast<std::size_t>(slot - passed + i) % retry_share::slots;
        share.requests[index] = 0;
        share.retries[index] = 0;
    }
    share.slot = std::max(share.slot, slot);
}

std::size_t newest_slot(retry_share const& share)
{
    return static_cast<std::size_t>(share.slot) % retry_share::slots;
}

double sum(std::array<std::uint32_t, retry_share::slots> const& counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0.0);
}

} // namespace

void record_request(retry_share& share, retry_share_options const& options,
                    time_point at)
{
    advance_window(share, options, at);
    ++share.requests[newest_slot(share)];
}

bool acquire_retry(retry_share& share, retry_share_options const& options,
                   std::uint32_t routers, time_point at)
{
    advance_window(share, options, at);
    auto const allowed =
        options.usable_fraction * (options.ratio * sum(share.requests) +
                                   options.slack / std::max(routers, 1U));
    if (sum(share.retries) + 1 > allowed)
        return false;
    ++share.retries[newest_slot(share)];
    return true;
}

std::size_t routers_ahead(std::uint64_t key, router_id const& self,
                          std::vector<router_id> const& others)
{
    auto const weight = [key](router_id const& id)
    { return mix(key, name_hash(id.value)); };
    auto const own_weight = weight(self);
    return static_cast<std::size_t>(std::count_if(
        others.begin(), others.end(),
        [&](router_id const& id) { return weight(id) > own_weight; }));
}

bool may_send_to_cold_server(server_id const& server, router_id const& self,
                             std::vector<router_id> const& others,
                             cold_share_options const& options)
{
    return routers_ahead(name_hash(server.value), self, others) <
           options.senders;
}

duration cold_send_interval(double cold_rate, cold_share_options const& options)
{
    // A router that keeps an interval of t seconds sends at most 1 / t + 1
    // requests in any second. Up to twice `senders` routers may send.
    auto const limit = cold_rate * options.overage + options.slack;
    auto const rate =
        std::max(limit / (2.0 * options.senders) - 1, min_cold_rate_per_s);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{1 / rate});
}

} // namespace bramleyarch::decisions

/// Share of one router in limits that apply to all routers of the fleet
/// together.
///
/// The limits hold even if the routers can't reach each other.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace bramleyarch::decisions
{

/// Limit on the retries of one service within a sliding window, fleet-wide.
struct retry_share_options
{
    /// Retries allowed per request.
    double ratio = 0.2;
    /// Retries allowed in addition.
    double slack = 50;
    duration window = std::chrono::seconds{10};
    /// Fraction of the limit that is used. The rest allows for the windows of
    /// the routers and of whoever checks the limit not being aligned.
    double usable_fraction = 0.7;
};

/// Requests and retries of one service at this router within the window.
struct retry_share
{
    /// Parts into which the window is divided.
    static constexpr std::size_t slots = 10;
    std::array<std::uint32_t, slots> requests{};
    std::array<std::uint32_t, slots> retries{};
    /// Number of the newest slot, counted from the epoch of the clock.
    std::int64_t slot = 0;
};

/// Counts a request that a caller sent to the service.
void record_request(retry_share& share, retry_share_options const& options,
                    time_point at);

/// Counts a retry if this router's share of the limit allows one more. Returns
/// false if it does not. `routers` is the size of the fleet.
bool acquire_retry(retry_share& share, retry_share_options const& options,
                   std::uint32_t routers, time_point at);

/// Limit on the requests to one cold server, fleet-wide.
struct cold_share_options
{
    /// Multiple of the server's cold rate that is allowed.
    double overage = 1.5;
    /// Requests per second allowed in addition.
    double slack = 5;
    /// Number of routers that may send to one cold server. Two routers with
    /// different views of the fleet can select up to twice as many.
    std::uint32_t senders = 3;
};

/// Returns how many of `others` come before `self` in the order of the key, by
/// rendezvous hashing.
std::size_t routers_ahead(std::uint64_t key, router_id const& self,
                          std::vector<router_id> const& others);

/// Returns whether `self` is one of the routers that may send to the cold
/// server. Rendezvous hashing selects them from `self` and `others`.
bool may_send_to_cold_server(server_id const& server, router_id const& self,
                             std::vector<router_id> const& others,
                             cold_share_options const& options);

/// Returns the shortest time between two requests of one router to a cold
/// server with which all senders together stay within the limit in any second.
/// `cold_rate` is in requests per second.
duration cold_send_interval(double cold_rate,
                            cold_share_options const& options);

} // namespace bramleyarch::decisions

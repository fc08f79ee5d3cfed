/// This router's share of limits that hold for all routers together, whether
/// or not they are in touch.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace bramleyarch::decisions
{

struct retry_share_options
{
    double ratio = 0.2; ///< Repeats for each request, of the whole fleet.
    double slack = 50;  ///< Repeats beyond that, of the whole fleet.
    duration window = std::chrono::seconds{10};
    /// Part of the limit that is used: windows of routers and of those who
    /// count differ.
    double usable_fraction = 0.7;
};

/// Requests and repeats of one service within the window.
struct retry_share
{
    static constexpr std::size_t slots = 10;
    std::array<std::uint32_t, slots> requests{};
    std::array<std::uint32_t, slots> repeats{};
    std::int64_t slot = 0; ///< Number of the newest slot.
};

/// Counts a request that a caller sent for the service.
void record_request(retry_share& share, retry_share_options const& options,
                    time_point at);

/// Takes one repeat; false when this router's share is used up.
bool acquire_retry(retry_share& share, retry_share_options const& options,
                   std::uint32_t routers, time_point at);

struct cold_share_options
{
    double overage = 1.5; ///< Times the server's cold rate.
    double slack = 5;     ///< Requests a second beyond it.
    /// Routers that may send to one cold server. Two views of the members can
    /// name twice as many.
    std::uint32_t senders = 3;
};

/// Whether `self` is one of the few routers that may send to the cold server.
bool may_send_to_cold_server(server_id const& server, router_id const& self,
                             std::vector<router_id> const& others,
                             cold_share_options const& options);

/// Shortest time between two requests of one router to a cold server, such
/// that all senders stay within the limit in any second.
duration cold_send_interval(double cold_rate,
                            cold_share_options const& options);

} // namespace bramleyarch::decisions

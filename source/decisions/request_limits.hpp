/// Limits that backend servers state on the requests that they take from all
/// routers together.
///
/// Each router keeps a share of its own, so that a limit holds without a
/// message per request. A limit applies to one run of a server, from its start
/// to its end.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"
#include "decisions/peer_heartbeat.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bramleyarch::decisions
{

/// What the rules of the deployment allow in any window, and how it is used.
struct request_limit_options
{
    /// Multiple of the stated rate that is allowed.
    double overage = 1.5;
    /// Requests allowed in addition in each window.
    double slack = 5;
    duration window = std::chrono::seconds{4};
    /// Fraction of what is allowed beyond the stated rate that bursts use. The
    /// rest covers routers that do not know all others yet.
    double usable_fraction = 0.6;
    /// Requests per second that are sent to a server with a lower limit, since
    /// only an answer shows that the limit has ended.
    double min_rate = 0.2;
    /// Time after which a limit may have ended if no router has heard it again;
    /// a small part of the time in which the load of a service has to be even
    /// again.
    duration refresh_interval = std::chrono::seconds{1};
    /// Time for which a limit is kept after it was last stated.
    duration retention = std::chrono::minutes{10};
    /// Time for which the end of a limit is sent to the other routers.
    duration end_retention = std::chrono::minutes{1};
};

/// The latest statement of one run of a server.
struct stated_limit
{
    /// Requests per second; std::nullopt: the server states no limit any more.
    std::optional<double> rate;
    time_point stated_at{};
    /// Number of routers that come before this one in the order of the run.
    std::size_t routers_ahead = 0;
    /// Requests that this router may send at `refilled_at`.
    double tokens = 0;
    time_point refilled_at{};
};

struct request_limits
{
    request_limit_options options;
    router_id self;
    std::vector<router_id> others;
    /// By the hash of the server's run.
    std::map<std::uint64_t, stated_limit> by_run;
    /// The next heartbeat carries the runs after this one.
    std::uint64_t last_sent_run = 0;
};

/// What a statement changed.
enum class limit_change
{
    none,
    set,   ///< The server had no limit, or another one.
    ended, ///< The server had a limit.
};

/// Replaces the routers of the fleet without this one.
void set_routers(request_limits& state, std::vector<router_id> others);

/// Records the limit that an answer states. `rate` is in requests per second;
/// std::nullopt: the answer states none. `stated_at` is the time at which the
/// answer arrived or, if it states none, at which its request was sent: answers
/// on different connections overtake each other. A statement that is older
/// than the known one is ignored.
limit_change record_limit(request_limits& state, std::uint64_t run,
                          std::optional<double> rate, time_point stated_at,
                          time_point at);

/// Returns the time until this router may send a request to the run of a
/// server; zero: now; std::nullopt: other routers use the limit.
std::optional<duration> time_to_send(request_limits const& state,
                                     std::uint64_t run, time_point at);

/// Counts a request that is sent now.
void record_send(request_limits& state, std::uint64_t run, time_point at);

/// Returns the limit of the run, or std::nullopt.
std::optional<double> limit_of(request_limits const& state, std::uint64_t run);

/// Returns whether a request should be sent to the run of a server to find out
/// whether its limit still holds.
bool needs_refresh(request_limits const& state, std::uint64_t run,
                   time_point at);

/// Returns the number of runs that have a limit.
std::size_t count_limited(request_limits const& state);

/// Returns the statements for the next heartbeat; all are sent in turn, so that
/// routers which start later know them too.
std::vector<aged_server_limit> limits_to_send(request_limits& state,
                                              time_point at);

/// Records the statements of another router's heartbeat.
void record_limits(request_limits& state,
                   std::vector<aged_server_limit> const& limits, time_point at);

void remove_expired(request_limits& state, time_point at);

} // namespace bramleyarch::decisions

/// Evidence on the two versions of a service during a rollout: the counts of
/// this router and of all others, as far as their heartbeats tell.
///
/// Counts are cumulative from the order on, so that a lost heartbeat loses
/// nothing. A peer in the same domain sends its own counts; a peer in another
/// domain sends the sum of its domain as it knows it.
#pragma once

#include "common/ids.hpp"
#include "common/time.hpp"
#include "decisions/peer_heartbeat.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace bramleyarch::decisions
{

/// One route at one side: hash of the route's name, and whether the counts are
/// those of the new version.
using route_side = std::pair<std::uint64_t, bool>;

/// Counts of all routes at both sides.
using route_counts = std::map<route_side, version_counts>;

/// What happened to a request.
enum class rollout_event : std::uint8_t
{
    sent,
    answered,
    failed,
    slow, ///< Counted in addition to the answer.
};

/// Bounds on what a router keeps of a rollout.
struct rollout_evidence_options
{
    /// Routers of the own domain, counting each of their starts.
    std::size_t max_peers = 4096;
    /// Routes of a service; further ones are counted together as route 0.
    std::size_t max_routes = 64;
    /// Sums are kept for this time, for the comparison of recent periods.
    duration kept = std::chrono::seconds{12};
};

/// Sum of the evidence at an earlier moment.
struct evidence_snapshot
{
    time_point at{};
    route_counts counts;
};

/// All evidence on one order.
struct rollout_evidence_book
{
    rollout_evidence_options options;
    route_counts own;
    /// Counts of each router of the own domain. A router that restarts begins
    /// anew, and the counts of its earlier start remain valid.
    std::map<std::pair<router_id, incarnation>, route_counts> peers;
    /// Summed counts of each other domain.
    std::map<domain_id, route_counts> domains;
    /// Time of the newest heartbeat from any router; zero: none.
    time_point heard_at{};
    std::deque<evidence_snapshot> snapshots; ///< Oldest first.
};

/// Sum of one side over all routes.
version_counts total_of(route_counts const& counts, bool new_version);

/// Returns the failed and the slow answers.
std::uint32_t bad_answers(version_counts const& counts);

/// Counts an event of one of this router's own requests.
void record_event(rollout_evidence_book& book, route_side side,
                  rollout_event event);

/// Counts the time to the first byte of an answer that may be compared.
void record_first_byte(rollout_evidence_book& book, route_side side,
                       duration waited);

/// Adds the evidence of a heartbeat. Counts never decrease, so evidence that
/// arrives late changes nothing.
void apply_evidence(rollout_evidence_book& book, domain_id const& own_domain,
                    peer_heartbeat const& heartbeat,
                    std::vector<version_counts> const& counts, time_point at);

/// Counts of all routers of the own domain, this one included.
route_counts domain_evidence(rollout_evidence_book const& book);

/// Counts of all routers.
route_counts fleet_evidence(rollout_evidence_book const& book);

/// Keeps `counts` for the comparison of recent periods and removes the sums
/// that are too old for it.
void record_snapshot(rollout_evidence_book& book, route_counts counts,
                     time_point at);

/// Returns what was counted since the youngest snapshot that is at least
/// `period` old; everything if there is none.
route_counts counts_since(rollout_evidence_book const& book,
                          route_counts const& sum, duration period,
                          time_point at);

/// Returns the list that a heartbeat carries.
std::vector<version_counts> to_list(route_counts const& counts);

/// Returns the time from which on an answer of the route counts as slow:
/// `factor` times the mean of the old version in `sum`, or `otherwise` while
/// fewer than `min_timed` answers were timed.
duration slow_threshold(route_counts const& sum, std::uint64_t route,
                        double factor, std::uint32_t min_timed,
                        duration otherwise);

} // namespace bramleyarch::decisions

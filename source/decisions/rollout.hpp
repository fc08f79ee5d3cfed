/// One rollout as one router sees it: evidence, steps and the decision.
#pragma once

#include "decisions/rollout_evidence.hpp"
#include "decisions/rollout_plan.hpp"
#include "decisions/rollout_verdict.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bramleyarch::decisions
{

struct rollout_options
{
    rollout_plan_options plan;
    rollout_verdict_options verdict;
    rollout_evidence_options evidence;
    /// Evidence from the store or peers has to be younger for this router to
    /// use the new version.
    duration max_evidence_age = std::chrono::seconds{2};
    /// The next router in order writes a decision after this time, which a
    /// write and the news of it take at most in a store that is not slow.
    duration takeover_delay = std::chrono::milliseconds{400};
    /// A decision is sent to the store service again after this time.
    duration write_interval = std::chrono::seconds{1};
    /// Time for which all requests go to the new version before it is
    /// accepted before the deadline is near: the evidence of the load that it
    /// then has takes this long to arrive.
    duration min_full = std::chrono::milliseconds{600};
    /// Bad answers of the new version after which less evidence is enough.
    std::uint32_t many_bad_answers = 40;
    /// An answer is slow if its first byte takes this many times the mean of
    /// the old version, if at least `min_timed` of these are known, and not
    /// less than `min_slow`, below which the network decides.
    double slow_factor = 2.5;
    std::uint32_t min_timed = 12;
    duration min_slow = std::chrono::milliseconds{20};
};

/// Own counts as the last heartbeat rounds carried them.
struct reported_counts
{
    version_counts counts;
    std::uint32_t unchanged_rounds = 0;
};

/// The servers of the service as this router sees them.
struct rollout_surroundings
{
    std::size_t new_servers = 0;          ///< Of the new version, in use.
    std::vector<std::uint64_t> streams{}; ///< Hashes of streaming routes.
};

struct rollout
{
    rollout_options options;
    revision order = 0;
    duration length{};
    time_point started_at{};   ///< When a router saw the order first.
    std::uint32_t routers = 1; ///< Largest number that was known.
    double position = 0;       ///< See `rounding_position`.
    std::size_t rank = 0;      ///< See `writer_rank`.
    rollout_evidence_book book;
    route_counts sum; ///< Evidence of all routers at the last check.
    std::map<route_side, reported_counts> reported;
    std::uint64_t round = 0; ///< Of heartbeats.
    /// State that the store holds; std::nullopt: none is known.
    std::optional<config::rollout_state> stored;
    rollout_step step = rollout_step::waiting;
    time_point step_since{};
    std::optional<bad_finding> finding; ///< Set once the version is bad.
    time_point many_bad_since{};        ///< Zero: not many bad answers.
    /// What this router would write, and since when.
    std::optional<config::rollout_state> decision;
    time_point decided_at{};
    time_point written_at{}; ///< Last time; zero: never.
};

/// What a check of the rollout led to.
struct rollout_check
{
    bool step_changed = false;
    bool found_bad = false;
    /// To be written to the store now.
    std::optional<config::rollout_state> write;
};

/// Starts a rollout at the time at which this router saw its order.
rollout make_rollout(rollout_options const& options,
                     config::rollout_order const& order, router_id const& self,
                     std::vector<router_id> const& others, time_point at);

/// Updates the numbers that depend on the list of routers.
void update_routers(rollout& state, router_id const& self,
                    std::vector<router_id> const& others,
                    service_id const& service);

/// Records that a heartbeat arrived, whatever it says of this rollout.
void record_contact(rollout& state, time_point at);

/// Adds the evidence of a heartbeat, if it belongs to this order. A final state
/// that the sender knows is adopted.
void apply_evidence(rollout& state, domain_id const& own_domain,
                    peer_heartbeat const& heartbeat,
                    rollout_evidence const& evidence, time_point at);

/// Adopts the state that the store holds for this order.
void apply_stored_state(rollout& state, config::rollout_state stored,
                        time_point at);

/// Judges the evidence, moves to the next step and decides. Called with every
/// round of heartbeats.
rollout_check check(rollout& state, rollout_surroundings const& surroundings,
                    time_point at);

/// Returns whether a request of the route, or a stream, goes to the new
/// version. `draw` is a random number in [0, 1).
bool prefers_new_version(rollout const& state, std::uint64_t route,
                         bool streaming, double draw, time_point at);

/// Returns whether the store holds a final state.
bool is_decided(rollout const& state);

/// Returns the time to the first byte from which on an answer of the route is
/// slow. `target` is the route's objective.
duration slow_after(rollout const& state, std::uint64_t route, duration target);

/// Requests of all routers since the order, with the recent rate.
request_totals totals_of(rollout const& state, time_point at);

/// What this router tells its peers; `of_domain` selects the sum of its domain.
/// The list of its own counts is shortened: they go to three times as many
/// peers, each of which hears from it in one of several rounds.
rollout_evidence make_evidence(rollout const& state, service_id const& service,
                               bool of_domain, time_point at);

} // namespace bramleyarch::decisions

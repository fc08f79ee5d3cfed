/// Comparison of the new version of a service with the old one.
#pragma once

#include "common/enum_names.hpp"
#include "decisions/rollout_evidence.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace bramleyarch::decisions
{

/// Why a version is bad.
enum class badness
{
    failures, ///< More of its answers fail than of the old version's.
    slowness, ///< More of its answers are slow.
    silence,  ///< It answered nothing while the old version did.
};

constexpr auto enum_names(badness)
{
    using b = badness;
    using row = enum_name<badness>;
    return std::array{row{b::failures, "failures"},
                      row{b::slowness, "slowness"}, row{b::silence, "silence"}};
}

struct rollout_verdict_options
{
    /// The version is bad if so many bad answers have a probability below this
    /// for a version that is as good as the old one. The comparison is made
    /// four times per second for some tens of routes and periods; over a
    /// rollout of a minute, these are about 10,000 comparisons, most of them
    /// of nearly the same answers.
    double max_probability = 1e-6;
    /// The same for the last comparison before the deadline. A bad version
    /// that is accepted costs as much as a good one that is not.
    double max_final_probability = 1e-2;
    /// Shares of failures and slow answers that are tolerated in addition to
    /// the old version's.
    double failure_margin = 0.02;
    double slow_margin = 0.08;
    /// Standard errors by which the old version's share may be higher than it
    /// was measured.
    double standard_errors = 1.5;
    /// Bad answers below which nothing is concluded.
    std::uint32_t min_bad = 4;
    /// Answers of the old version in a period that make it comparable. With
    /// fewer, the answers since the order are compared.
    std::uint32_t min_old = 30;
    /// Answers of the old version beside which a version without any answer is
    /// not accepted at the deadline.
    std::uint32_t min_silent = 20;
    /// Recent periods that are compared in addition to the time since the
    /// order, so that a version that turns bad late is not judged by its good
    /// answers before.
    std::array<duration, 3> periods{std::chrono::milliseconds{1000},
                                    std::chrono::milliseconds{3000},
                                    std::chrono::milliseconds{10000}};
};

/// Evidence that a version is bad.
struct bad_finding
{
    badness cause = badness::failures;
    std::uint64_t route = 0; ///< 0: in the sum of all routes.
    duration period{};       ///< Zero: since the order.
    std::uint32_t new_bad = 0;
    std::uint32_t new_answers = 0;
    std::uint32_t old_bad = 0;
    std::uint32_t old_answers = 0;
    double probability = 1;
};

/// Probability that at least `bad` of `n` answers are bad if each one is with
/// probability `p`.
double probability_of_at_least(std::uint32_t bad, std::uint32_t n, double p);

/// How much evidence is asked for.
enum class verdict_urgency
{
    none,
    many_bad, ///< Bad answers add up: less for all answers since the order.
    last,     ///< The last comparison: less for each period.
};

/// Returns why the new version is bad, or std::nullopt if the evidence does not
/// show that it is.
std::optional<bad_finding> find_badness(rollout_evidence_book const& book,
                                        route_counts const& sum, time_point at,
                                        verdict_urgency urgency,
                                        rollout_verdict_options const& options);

} // namespace bramleyarch::decisions

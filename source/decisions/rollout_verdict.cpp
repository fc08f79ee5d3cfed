#include "decisions/rollout_verdict.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bramleyarch::decisions
{

namespace
{

/// Bad ones among some answers.
struct bad_share
{
    std::uint32_t bad = 0;
    std::uint32_t answers = 0;
};

bad_share share_of(version_counts const& counts, badness cause)
{
    if (cause == badness::slowness)
        return {.bad = counts.slow,
                .answers = std::max(counts.timed, counts.slow)};
    return {.bad = counts.failed, .answers = counts.answered + counts.failed};
}

/// Share of bad answers that the old version may have, by its measured share.
/// With few answers it is near 1, so that nothing is concluded.
double highest_share(bad_share old, double standard_errors)
{
    auto const n = static_cast<double>(old.answers) + 2;
    auto const share = (static_cast<double>(old.bad) + 1) / n;
    return share + standard_errors * std::sqrt(share * (1 - share) / n);
}

struct comparison
{
    std::uint64_t route = 0;
    duration period{};
    version_counts old_counts;
    version_counts old_since_order;
    version_counts new_counts;
};

std::optional<bad_finding> compare(comparison const& compared, badness cause,
                                   double max_probability,
                                   rollout_verdict_options const& options)
{
    auto const tested = share_of(compared.new_counts, cause);
    if (tested.bad < options.min_bad)
        return std::nullopt;
    auto old = share_of(compared.old_counts, cause);
    if (old.answers < options.min_old)
        old = share_of(compared.old_since_order, cause);
    auto const margin = cause == badness::slowness ? options.slow_margin
                                                   : options.failure_margin;
    auto const tolerated = highest_share(old, options.standard_errors) + margin;
    auto const probability =
        probability_of_at_least(tested.bad, tested.answers, tolerated);
    if (probability >= max_probability)
        return std::nullopt;
    return bad_finding{.cause = cause,
                       .route = compared.route,
                       .period = compared.period,
                       .new_bad = tested.bad,
                       .new_answers = tested.answers,
                       .old_bad = old.bad,
                       .old_answers = old.answers,
                       .probability = probability};
}

version_counts side_of(route_counts const& counts, route_side side)
{
    auto const found = counts.find(side);
    return found == counts.end() ? version_counts{} : found->second;
}

std::optional<bad_finding>
compare_period(route_counts const& recent, route_counts const& sum,
               duration period, double max_probability,
               rollout_verdict_options const& options)
{
    std::vector<comparison> comparisons{
        {.period = period,
         .old_counts = total_of(recent, false),
         .old_since_order = total_of(sum, false),
         .new_counts = total_of(recent, true)}};
    for (auto const& [side, counts] : recent)
    {
        if (side.second)
            comparisons.push_back(
                {.route = side.first,
                 .period = period,
                 .old_counts = side_of(recent, {side.first, false}),
                 .old_since_order = side_of(sum, {side.first, false}),
                 .new_counts = counts});
    }
    for (auto const& compared : comparisons)
    {
        for (auto const cause : {badness::failures, badness::slowness})
        {
            if (auto found = compare(compared, cause, max_probability, options))
                return found;
        }
    }
    return std::nullopt;
}

} // namespace

double probability_of_at_least(std::uint32_t bad, std::uint32_t n, double p)
{
    if (bad == 0 || p >= 1)
        return 1;
    if (bad > n || p <= 0)
        return 0;
    // Above its mean, the terms of the sum decrease; the first one is computed
    // by logarithms, the others from it.
    double const count = n;
    double const first = bad;
    double term =
        std::exp(std::lgamma(count + 1) - std::lgamma(first + 1) -
                 std::lgamma(count - first + 1) + first * std::log(p) +
                 (count - first) * std::log1p(-p));
    if (first <= count * p)
        return 1; // Not an upper tail; the exact value is not needed.
    double sum = 0;
    for (double k = first; k <= count && term > sum * 1e-9; ++k)
    {
        sum += term;
        term *= (count - k) / (k + 1) * p / (1 - p);
    }
    return std::min(sum, 1.0);
}

std::optional<bad_finding> find_badness(rollout_evidence_book const& book,
                                        route_counts const& sum, time_point at,
                                        verdict_urgency urgency,
                                        rollout_verdict_options const& options)
{
    bool const is_last = urgency == verdict_urgency::last;
    auto const since_order = urgency == verdict_urgency::none
                                 ? options.max_probability
                                 : options.max_final_probability;
    auto const recently =
        is_last ? options.max_final_probability : options.max_probability;
    if (auto found =
            compare_period(sum, sum, duration::zero(), since_order, options))
        return found;
    for (auto const period : options.periods)
    {
        auto const recent = counts_since(book, sum, period, at);
        if (auto found = compare_period(recent, sum, period, recently, options))
            return found;
    }
    auto const tested = total_of(sum, true);
    auto const old = total_of(sum, false);
    if (is_last && tested.answered == 0 && old.answered >= options.min_silent)
        return bad_finding{.cause = badness::silence,
                           .new_answers = tested.sent,
                           .old_bad = old.failed,
                           .old_answers = old.answered,
                           .probability = 0};
    return std::nullopt;
}

} // namespace bramleyarch::decisions

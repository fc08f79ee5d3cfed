/// Latency statistics by Boost.Accumulators and Boost.Histogram.
#pragma once

#include "common/time.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>

#include <array>
#include <tuple>

namespace bramleyarch::services
{

/// Quantiles that are estimated.
constexpr std::array<double, 3> latency_quantiles{0.5, 0.95, 0.99};

/// Upper bounds of the histogram's buckets, in seconds: from a hop within a
/// domain to the longest deadlines of callers, two to three a decade.
constexpr std::array<double, 14> latency_buckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

namespace detail
{

namespace acc = boost::accumulators;

using latency_accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square_quantile>>;

using latency_histogram =
    boost::histogram::histogram<std::tuple<boost::histogram::axis::variable<>>>;

} // namespace detail

/// Running statistics of one kind of latency, in seconds.
struct latency_statistics
{
    detail::latency_accumulator values{
        detail::acc::tag::extended_p_square::probabilities = latency_quantiles};
    detail::latency_histogram buckets{
        boost::histogram::axis::variable<>(latency_buckets)};
};

/// Adds one sample.
inline void observe(latency_statistics& statistics, duration sample)
{
    auto const seconds = std::chrono::duration<double>{sample}.count();
    statistics.values(seconds);
    statistics.buckets(seconds);
}

} // namespace bramleyarch::services

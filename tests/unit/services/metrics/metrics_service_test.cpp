/// Tests of the metrics page.
#include "kernel/kernel.hpp"
#include "services/metrics/metrics_service.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(metrics)

BOOST_AUTO_TEST_CASE(page_shows_counters_histograms_quantiles_and_gauges)
{
    kernel::kernel k{kernel::run_mode::stepped};
    auto const to = k.add(make_metrics_service(
        {.router = {"r1"}, .domain = {"d1"}, .max_gauges = 1}));
    k.start();
    counters_added counted;
    add(counted.increments, counter::retries, 3);
    send(to, counted);
    send(to, counted);
    latencies_observed observed{.kind = latency_kind::first_byte};
    for (int i = 1; i <= 1000; ++i)
        observed.samples.push_back(std::chrono::milliseconds{i});
    send(to, observed);
    send(to, gauge_set{"links_open", 4});
    send(to, gauge_set{"one_too_many", 1});
    std::string page;
    send(to, metrics_query{[&](std::string text) { page = std::move(text); }});
    k.run_until_idle();
    auto const shows = [&](std::string_view part)
    { return page.find(part) != std::string::npos; };
    BOOST_TEST(shows("bramley_retries_total 6\n"));
    BOOST_TEST(shows("bramley_first_byte_seconds_count 1000\n"));
    BOOST_TEST(shows("bramley_first_byte_seconds_sum 500.5"));
    BOOST_TEST(
        shows("bramley_first_byte_quantile_seconds{quantile=\"0.95\"} 0.9"));
    BOOST_TEST(shows("# TYPE bramley_first_byte_seconds histogram\n"));
    BOOST_TEST(shows("bramley_first_byte_seconds_bucket{le=\"0.001\"} 0\n"));
    BOOST_TEST(shows("bramley_first_byte_seconds_bucket{le=\"0.25\"} 249\n"));
    BOOST_TEST(shows("bramley_first_byte_seconds_bucket{le=\"2.5\"} 1000\n"));
    BOOST_TEST(shows("bramley_first_byte_seconds_bucket{le=\"+Inf\"} 1000\n"));
    BOOST_TEST(shows("bramley_links_open 4\n"));
    BOOST_TEST(!shows("one_too_many"));
    BOOST_TEST(shows("router=\"r1\",domain=\"d1\""));
}

BOOST_AUTO_TEST_SUITE_END()

#include "services/metrics/metrics_service.hpp"

#include <fmt/format.h>
#include <iterator>

namespace bramleyarch::services
{

namespace
{

namespace acc = boost::accumulators;

void append_counters(std::string& text, counter_set const& counters)
{
    auto out = std::back_inserter(text);
    for (auto const& row : enum_names(counter{}))
    {
        fmt::format_to(out, "# TYPE bramley_{}_total counter\n", row.name);
        fmt::format_to(out, "bramley_{}_total {}\n", row.name,
                       value_of(counters, row.value));
    }
}

void append_latency(std::string& text, std::string_view name,
                    latency_statistics const& statistics)
{
    auto out = std::back_inserter(text);
    auto const& values = statistics.values;
    fmt::format_to(out, "# TYPE bramley_{}_seconds histogram\n", name);
    double below = statistics.buckets.at(-1);
    for (std::size_t i = 0; i < latency_buckets.size(); ++i)
    {
        fmt::format_to(out, "bramley_{}_seconds_bucket{{le=\"{}\"}} {:.0f}\n",
                       name, latency_buckets.at(i), below);
        below += statistics.buckets.at(static_cast<int>(i));
    }
    fmt::format_to(out, "bramley_{}_seconds_bucket{{le=\"+Inf\"}} {}\n", name,
                   acc::count(values));
    fmt::format_to(out, "bramley_{}_seconds_sum {:.6f}\n", name,
                   acc::sum(values));
    fmt::format_to(out, "bramley_{}_seconds_count {}\n", name,
                   acc::count(values));
    if (acc::count(values) == 0)
        return;
    fmt::format_to(out, "# TYPE bramley_{}_quantile_seconds gauge\n", name);
    for (double const quantile : latency_quantiles)
    {
        fmt::format_to(
            out, "bramley_{}_quantile_seconds{{quantile=\"{}\"}} {:.6f}\n",
            name, quantile,
            acc::quantile(values, acc::quantile_probability = quantile));
    }
}

void append_gauges(std::string& text,
                   std::map<std::string, double> const& gauges)
{
    auto out = std::back_inserter(text);
    for (auto const& [name, value] : gauges)
    {
        fmt::format_to(out, "# TYPE bramley_{} gauge\n", name);
        fmt::format_to(out, "bramley_{} {}\n", name, value);
    }
}

} // namespace

std::string exposition_text(metrics_state const& state)
{
    std::string text =
        fmt::format("# TYPE bramley_instance_info gauge\n"
                    "bramley_instance_info{{router=\"{}\",domain=\"{}\"}} 1\n",
                    state.options.router.value, state.options.domain.value);
    append_counters(text, state.counters);
    for (auto const& row : enum_names(latency_kind{}))
    {
        append_latency(text, row.name,
                       state.latencies.at(static_cast<std::size_t>(row.value)));
    }
    append_gauges(text, state.gauges);
    return text;
}

} // namespace bramleyarch::services

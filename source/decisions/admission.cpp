#include "decisions/admission.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

constexpr duration history_span = std::chrono::seconds{5};
/// The load that a server reports may be older than the stated age by this
/// much.
constexpr duration report_age_error = std::chrono::milliseconds{250};

} // namespace

void record_remote_owner_load(remote_owner_loads& loads,
                              server_id const& server, remote_owner_load load)
{
    loads.servers.insert_or_assign(server, load);
}

load_totals sum_remote_owner_loads(remote_owner_loads const& loads,
                                   admission_options const& options,
                                   time_point at)
{
    load_totals totals;
    for (auto const& [server, load] : loads.servers)
    {
        if (load.reported_at + options.remote_load_ttl < at)
            continue;
        totals.in_flight += load.in_flight;
        totals.limit += load.limit;
    }
    return totals;
}

std::optional<double> mean_utilisation(load_totals const& totals)
{
    if (totals.limit <= 0)
        return std::nullopt;
    return totals.in_flight / totals.limit;
}

std::uint32_t shared_ownership_limit(std::uint32_t limit,
                                     std::uint32_t capacity,
                                     std::uint32_t cold_capacity)
{
    return std::min(limit, std::max(capacity / 2, cold_capacity));
}

admission decide_admission(server_occupancy const& server,
                           std::optional<double> mean,
                           admission_options const& options)
{
    constexpr double percent = 100;
    if (!server.usable)
        return admission::breaker_open;
    std::uint32_t const load = server.in_flight + server.remote_in_flight;
    if (load >= server.limit)
        return admission::at_limit;
    if (!options.bound_enabled || !mean)
        return admission::admit;
    double const bound =
        *mean * server.limit * options.load_bound_percent / percent;
    return load <= bound ? admission::admit : admission::at_load_bound;
}

void record_in_flight(in_flight_history& history, std::uint32_t count,
                      time_point at)
{
    auto& samples = history.samples;
    if (!samples.empty() && samples.back().at == at)
        samples.back().count = std::max(samples.back().count, count);
    else
        samples.push_back({at, count});
    // The last sample from before the span is kept: its count holds until the
    // first sample within the span.
    while (samples.size() > 1 && samples[1].at + history_span < at)
        samples.pop_front();
}

std::uint32_t peak_since(in_flight_history const& history, time_point from)
{
    std::uint32_t peak = 0;
    for (auto sample = history.samples.rbegin();
         sample != history.samples.rend(); ++sample)
    {
        peak = std::max(peak, sample->count);
        if (sample->at <= from)
            break;
    }
    return peak;
}

std::uint32_t estimate_remote_in_flight(in_flight_history const& history,
                                        std::uint32_t reported,
                                        time_point report_time)
{
    auto const local = peak_since(history, report_time - report_age_error);
    return reported > local ? reported - local : 0;
}

} // namespace bramleyarch::decisions

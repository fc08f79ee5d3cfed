#include "services/metrics/metrics_service.hpp"

#include "services/messages/names.hpp"

#include <utility>

namespace bramleyarch::services
{

namespace
{

void handle(metrics_state& state, counters_added const& added)
{
    merge(state.counters, added.increments);
}

void handle(metrics_state& state, latencies_observed const& observed)
{
    auto& statistics =
        state.latencies.at(static_cast<std::size_t>(observed.kind));
    for (auto const sample : observed.samples)
        observe(statistics, sample);
}

void handle(metrics_state& state, gauge_set const& gauge)
{
    bool const known = state.gauges.contains(gauge.name);
    if (known || state.gauges.size() < state.options.max_gauges)
        state.gauges[gauge.name] = gauge.value;
}

void handle(metrics_state& state, metrics_query const& query)
{
    query.reply(exposition_text(state));
}

void handle(metrics_state& state, counters_query const& query)
{
    query.reply(state.counters);
}

void receive(metrics_state& state, kernel::context<metrics_message>&,
             metrics_message message)
{
    std::visit([&](auto const& received) { handle(state, received); }, message);
}

} // namespace

kernel::service<metrics_state, metrics_message>
make_metrics_service(metrics_options options)
{
    return {.name = std::string{to_name(service_name::metrics)},
            .state = {.options = std::move(options)},
            .receive = receive};
}

} // namespace bramleyarch::services

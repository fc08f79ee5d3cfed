#include "services/timeline/timeline_service.hpp"

#include "services/messages/names.hpp"
#include "services/timeline/event_json.hpp"

#include <utility>

namespace bramleyarch::services
{

namespace
{

using timeline_context = kernel::context<timeline_message>;

void drop_oldest(timeline_state& state)
{
    state.ring.pop_front();
    ++state.dropped;
    counters_added dropped;
    add(dropped.increments, counter::events_dropped);
    send(state.metrics, dropped);
}

void handle(timeline_state& state, timeline_context& ctx, record_event record)
{
    record.new_event.at = tick(state.clock, wall_now(ctx));
    state.ring.push_back(std::move(record.new_event));
    if (state.ring.size() > state.options.max_events)
        drop_oldest(state);
}

void handle(timeline_state& state, timeline_context&,
            observe_time const& observed)
{
    observe(state.clock, observed.time);
}

void handle(timeline_state& state, timeline_context&,
            timeline_query const& query)
{
    router_timeline const line{
        .router = state.options.router,
        .domain = state.options.domain,
        .dropped = state.dropped,
        .events = {state.ring.begin(), state.ring.end()},
    };
    query.reply(timeline_to_json(line));
}

void start(timeline_state& state, timeline_context& ctx)
{
    state.metrics =
        ctx.names->find<metrics_message>(to_name(service_name::metrics));
}

void receive(timeline_state& state, timeline_context& ctx,
             timeline_message message)
{
    std::visit(
        [&](auto&& received)
        { handle(state, ctx, std::forward<decltype(received)>(received)); },
        std::move(message));
}

} // namespace

kernel::service<timeline_state, timeline_message>
make_timeline_service(timeline_options options)
{
    return {.name = std::string{to_name(service_name::timeline)},
            .state = {.options = std::move(options)},
            .start = start,
            .receive = receive};
}

} // namespace bramleyarch::services

#include "services/lifecycle/lifecycle_service.hpp"

#include "services/messages/names.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using context = kernel::context<lifecycle_message>;

constexpr duration tick_interval = std::chrono::milliseconds{200};

/// Ticks between looks at the settings' source.
constexpr int ticks_per_look = 5;

void reload(lifecycle_state& state)
{
    auto const parsed = state.options.read_settings();
    for (auto const& fault : parsed.faults)
        log(state.counted, log_severity::error, "reload_refused",
            fmt::format("detail=\"{}\"", config::describe(fault)));
    if (!parsed.faults.empty())
        return;
    state.options.limits = parsed.value.shared;
    send(state.routing, shared_limits_changed{parsed.value.shared});
    log(state.counted, log_severity::info, "reloaded",
        fmt::format("retry_ratio={} retry_slack={} cold_overage={}",
                    parsed.value.shared.retry_ratio,
                    parsed.value.shared.retry_slack,
                    parsed.value.shared.cold_overage));
}

void look_at_settings(lifecycle_state& state)
{
    if (++state.ticks % ticks_per_look != 0)
        return;
    auto stamp = state.options.settings_stamp();
    if (stamp.empty() || stamp == state.stamp)
        return;
    state.stamp = std::move(stamp);
    reload(state);
}

void end(lifecycle_state& state, std::string_view how)
{
    log(state.counted, log_severity::info, "stopped",
        fmt::format("how={}", how));
    *state.options.ended = true;
}

/// Two margins are kept back from the last sixth of the limit, before which a
/// stop has to cut nothing.
duration limit_margin(lifecycle_state const& state, duration margin)
{
    return std::min<duration>(margin, state.options.limits.stop_limit / 12);
}

/// Sets the times of a stop that begins. A reload does not change them.
void set_stop_times(lifecycle_state& state, time_point at)
{
    auto const& options = state.options;
    auto const limit = options.limits.stop_limit;
    state.stopping = at;
    state.leave_end = at + std::min<duration>(options.leave_time, limit / 3);
    state.stop_end = at + limit - limit_margin(state, options.stop_margin);
    state.answers_end =
        state.stop_end - limit_margin(state, options.answer_margin);
}

void refuse_requests(lifecycle_state& state)
{
    if (!std::exchange(state.refusing, true))
        send(state.front, drain_started{});
}

void query_callers(lifecycle_state& state)
{
    state.callers_idle = false;
    send(state.front,
         idle_query{[to = state.self, query = ++state.last_query](bool idle) {
             send(to, idle_reply{query, idle});
         }});
}

void go_on_stopping(lifecycle_state& state, time_point at)
{
    if (at < state.leave_end)
        return;
    if (state.refusing && state.callers_idle)
    {
        end(state, "all_answered");
        return;
    }
    // A request that is taken between the reply and the end would be lost, so
    // the callers have to be idle once more after this.
    if (state.callers_idle)
        refuse_requests(state);
    query_callers(state);
}

void receive_one(lifecycle_state& state, context& ctx, stop_requested)
{
    if (state.stopping)
        return;
    set_stop_times(state, now(ctx));
    log(state.counted, log_severity::info, "stopping",
        fmt::format("limit_ms={}", to_ms(state.options.limits.stop_limit)));
    send(state.admin, drain_started{});
    send(state.front, leaving_started{});
    send(state.routing, drain_started{.end_by = state.answers_end});
    send(state.store, drain_started{});
    schedule(ctx, state.answers_end - now(ctx), answers_end_reached{});
    schedule(ctx, state.stop_end - now(ctx), stop_limit_reached{});
}

void receive_one(lifecycle_state& state, context&, answers_end_reached)
{
    refuse_requests(state);
    query_callers(state);
}

void receive_one(lifecycle_state& state, context&, stop_limit_reached)
{
    if (!*state.options.ended)
        end(state, "limit_reached");
}

void receive_one(lifecycle_state& state, context&, reload_requested)
{
    state.stamp = state.options.settings_stamp();
    reload(state);
}

void receive_one(lifecycle_state& state, context&, idle_reply const& answer)
{
    if (answer.query == state.last_query)
        state.callers_idle = answer.idle;
}

void receive_one(lifecycle_state& state, context& ctx, lifecycle_tick)
{
    schedule(ctx, tick_interval, lifecycle_tick{});
    look_at_settings(state);
    if (state.stopping)
        go_on_stopping(state, now(ctx));
}

void start(lifecycle_state& state, context& ctx)
{
    state.self = ctx.self;
    connect(state.counted, *ctx.names);
    state.front = ctx.names->find<front_message>(to_name(service_name::front));
    state.admin = ctx.names->find<admin_message>(to_name(service_name::admin));
    state.routing =
        ctx.names->find<routing_message>(to_name(service_name::routing));
    state.store = ctx.names->find<store_message>(to_name(service_name::store));
    state.stamp = state.options.settings_stamp();
    schedule(ctx, tick_interval, lifecycle_tick{});
}

void receive(lifecycle_state& state, context& ctx, lifecycle_message message)
{
    std::visit([&](auto const& m) { receive_one(state, ctx, m); }, message);
}

} // namespace

lifecycle_service make_lifecycle_service(lifecycle_options options)
{
    return {.name = std::string{to_name(service_name::lifecycle)},
            .state = {.options = std::move(options)},
            .start = start,
            .receive = receive};
}

} // namespace bramleyarch::services

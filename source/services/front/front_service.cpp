#include "services/front/front_service.hpp"

#include "common/request_id_text.hpp"
#include "services/front/answers.hpp"
#include "services/loops/http_loop.hpp"
#include "services/messages/names.hpp"

#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using context = kernel::context<front_message>;

constexpr duration tick_interval = std::chrono::seconds{1};

/// Answers a request that was not handed to routing, so has not run.
void reject(front_state& state, http::exchange_id exchange, request_id id,
            error cause)
{
    count(state.counted, counter::http_rejected);
    log(state.counted, log_severity::info, "request_rejected",
        fmt::format("request={} reason={} detail=\"{}\" outcome=not_run",
                    to_text(id), to_name(cause.kind), cause.detail));
    refuse(
        state, exchange,
        {.cause = std::move(cause), .known = outcome::not_run, .request = id});
}

request_id next_id(front_state& state)
{
    return {.entry = state.options.started, .sequence = ++state.last_sequence};
}

std::optional<error> cannot_take(front_state const& state)
{
    if (state.draining)
        return error{error_kind::draining, "this instance is stopping"};
    bool const ready = state.options.dialect.route
                           ? state.deployment && state.deployment->rules
                           : state.config != nullptr;
    if (!ready)
        return error{error_kind::not_ready, "no configuration yet"};
    return std::nullopt;
}

void hand_in(front_state& state, http::exchange_id exchange,
             routed_request routed)
{
    auto const id = routed.id;
    state.requests[id] = {.id = id, .exchange = exchange};
    state.ids[exchange] = id;
    auto const sink = [to = state.self](answer_message message)
    { send(to, std::move(message)); };
    if (send(state.routing,
             submit_request{.request = std::move(routed), .reply = sink}))
        return;
    state.requests.erase(id);
    state.ids.erase(exchange);
    reject(state, exchange, id, {error_kind::draining, "routing has stopped"});
}

void on_event(front_state& state, http::request_received request)
{
    auto const id = next_id(state);
    if (auto cause = cannot_take(state))
    {
        reject(state, request.id, id, std::move(*cause));
        return;
    }
    incoming_request incoming{.id = id,
                              .method = std::move(request.method),
                              .target = std::move(request.target),
                              .headers = std::move(request.headers),
                              .body = std::move(request.body),
                              .received = now(*state.clock)};
    auto routed =
        state.options.dialect.route
            ? state.options.dialect.route(*state.deployment,
                                          std::move(incoming))
            : match_request(*state.config, state.teams, std::move(incoming));
    if (!routed)
        reject(state, request.id, id, std::move(routed).error());
    else
        hand_in(state, request.id, std::move(routed).value());
}

void on_event(front_state& state, http::request_refused refused)
{
    reject(state, refused.id, next_id(state), std::move(refused.cause));
}

void on_event(front_state& state, http::bytes_taken const& taken)
{
    note_taken(state, taken);
}

void on_event(front_state&, http::answer_sent const&) {}

void on_event(front_state& state, http::caller_left const& left)
{
    note_left(state, left.id);
}

void on_event(front_state& state, http::connection_accepted)
{
    count(state.counted, counter::connections_accepted);
}

void on_event(front_state& state, http::connection_refused)
{
    count(state.counted, counter::connections_rejected);
}

void receive_one(front_state& state, context&, answer_message message)
{
    pass_answer(state, std::move(message));
}

void receive_one(front_state& state, context&, config_changed message)
{
    state.config = std::move(message.config);
    state.teams = make_team_index(*state.config);
    http::limit_body(*state.server, state.config->limits.max_body_bytes);
}

void receive_one(front_state& state, context&, deployment_changed message)
{
    state.deployment = std::move(message.deployment);
    if (!state.deployment->rules)
        return;
    auto const& callers = state.deployment->rules->callers;
    http::limit_callers(*state.server,
                        {.max_head_bytes = callers.max_head_bytes,
                         .max_body_bytes = callers.max_body_bytes,
                         .head_limit = callers.head_limit,
                         .idle_limit = callers.idle_limit});
}

/// Goes on listening: a caller that is told `not_run` can go elsewhere at
/// once, while one whose connection is refused or reset can't know.
void receive_one(front_state& state, context&, drain_started)
{
    state.draining = true;
    http::end_reuse(*state.server);
    http::close_idle(*state.server);
}

void receive_one(front_state& state, context&, status_query const& message)
{
    message.reply(fmt::format(
        R"({{"open_requests":{},"open_exchanges":{},"draining":{}}})",
        state.requests.size(), http::open_exchanges(*state.server),
        state.draining));
}

void receive_one(front_state& state, context&, leaving_started)
{
    http::end_reuse(*state.server);
}

void receive_one(front_state& state, context&, idle_query const& message)
{
    message.reply(http::open_exchanges(*state.server) == 0);
}

void receive_one(front_state& state, context& ctx, front_tick)
{
    schedule(ctx, tick_interval, front_tick{});
    flush(state.counted);
}

void start(front_state& state, context& ctx)
{
    state.self = ctx.self;
    state.clock = ctx.clock;
    state.routing =
        ctx.names->find<routing_message>(to_name(service_name::routing));
    connect(state.counted, *ctx.names);
    bool const listens =
        open_server(state, to_name(service_name::front),
                    {.loop = state.options.loop,
                     .listen = state.options.listen,
                     .max_connections = state.options.max_connections,
                     .max_head_bytes = state.options.max_head_bytes,
                     .head_limit = state.options.head_limit,
                     .body_limit = state.options.body_limit,
                     .write_limit = state.options.write_limit},
                    [](front_state& to, auto&& event)
                    { on_event(to, std::forward<decltype(event)>(event)); });
    if (listens)
        schedule(ctx, tick_interval, front_tick{});
}

void receive(front_state& state, context& ctx, front_message message)
{
    if (!state.server)
        return;
    std::visit([&](auto&& m)
               { receive_one(state, ctx, std::forward<decltype(m)>(m)); },
               std::move(message));
}

} // namespace

front_service make_front_service(front_options options)
{
    return {.name = std::string{to_name(service_name::front)},
            .state = {.options = std::move(options)},
            .start = start,
            .receive = receive,
            .loop = http_loop<front_state>()};
}

} // namespace bramleyarch::services

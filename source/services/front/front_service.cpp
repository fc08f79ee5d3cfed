#include "services/front/front_service.hpp"

#include "common/request_id_text.hpp"
#include "services/front/answers.hpp"
#include "services/loops/http_loop.hpp"
#include "services/messages/names.hpp"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using context = kernel::context<front_message>;

constexpr duration tick_interval = std::chrono::seconds{1};

/// A tenth of the time that a request is held at startup.
constexpr duration startup_tick_interval = std::chrono::milliseconds{50};

/// Refuses a request that was not passed to the routing service and therefore
/// has not run.
void reject(front_state& state, http::exchange_id exchange, request_id id,
            error cause)
{
    // Callers that stall are closed within this time.
    auto const retry_after = cause.kind == error_kind::queue_full
                                 ? state.options.stalled_after
                                 : duration::zero();
    count(state.telemetry_sink, counter::http_rejected);
    log(state.telemetry_sink, log_severity::info, "request_rejected",
        fmt::format("request={} reason={} detail=\"{}\" outcome=not_run",
                    to_text(id), to_name(cause.kind), cause.detail));
    refuse(state, exchange,
           {.cause = std::move(cause),
            .known_outcome = outcome::not_run,
            .retry_after = retry_after,
            .request = id});
}

request_id make_request_id(front_state& state)
{
    return {.entry = state.options.started, .sequence = ++state.last_sequence};
}

/// Returns why no request can be accepted at the moment, or std::nullopt if
/// requests can be accepted.
std::optional<error> find_admission_error(front_state const& state)
{
    if (state.draining)
        return error{error_kind::draining, "this instance is stopping"};
    bool const ready = state.options.dialect.route
                           ? state.deployment && state.deployment->rules
                           : state.config != nullptr;
    if (!ready)
        return error{error_kind::not_ready,
                     "no configuration has been loaded yet"};
    return std::nullopt;
}

/// Sends a request to the routing service, with a reply function that posts
/// the parts of the answer to the front end.
void submit(front_state& state, http::exchange_id exchange,
            routed_request routed)
{
    auto const id = routed.id;
    state.requests[id] = {.id = id, .exchange = exchange};
    state.request_ids[exchange] = id;
    auto const sink = [front_end = state.self](answer_message message)
    { send(front_end, std::move(message)); };
    if (send(state.routing,
             submit_request{.request = std::move(routed), .reply = sink}))
        return;
    state.requests.erase(id);
    state.request_ids.erase(exchange);
    reject(state, exchange, id,
           {error_kind::draining, "the routing service has stopped"});
}

/// Returns whether a request waits until this router knows the rules and the
/// servers. A refusal at once costs its caller a try though the deployment is
/// known a moment later, which is the case for all callers when all routers
/// start at the same time.
bool is_held_at_startup(front_state const& state)
{
    return state.options.dialect.route && !state.has_started_up &&
           !state.draining &&
           state.startup_requests.size() < state.options.max_startup_requests;
}

void admit(front_state& state, http::exchange_id exchange,
           incoming_request incoming)
{
    auto const id = incoming.id;
    if (auto cause = find_admission_error(state))
    {
        reject(state, exchange, id, std::move(*cause));
        return;
    }
    auto routed =
        state.options.dialect.route
            ? state.options.dialect.route(*state.deployment,
                                          std::move(incoming))
            : match_request(*state.config, state.teams, std::move(incoming));
    if (!routed)
        reject(state, exchange, id, std::move(routed).error());
    else
        submit(state, exchange, std::move(routed).value());
}

/// Admits the requests that were held since before `received_before`.
void release_startup_requests(front_state& state, time_point received_before)
{
    auto const is_released = [received_before](startup_request const& request)
    { return request.incoming.received <= received_before; };
    auto& held = state.startup_requests;
    auto const kept = std::find_if_not(held.begin(), held.end(), is_released);
    std::vector<startup_request> released{std::make_move_iterator(held.begin()),
                                          std::make_move_iterator(kept)};
    held.erase(held.begin(), kept);
    if (released.empty())
        return;
    log(state.telemetry_sink, log_severity::info, "startup_hold_ended",
        fmt::format(
            "requests={} longest_ms={} deployment_known={}", released.size(),
            to_ms(now(*state.clock) - released.front().incoming.received),
            state.has_started_up));
    for (auto& request : released)
        admit(state, request.exchange, std::move(request.incoming));
}

void end_startup(front_state& state)
{
    state.has_started_up = true;
    release_startup_requests(state, time_point::max());
}

void handle_event(front_state& state, http::request_received request)
{
    incoming_request incoming{.id = make_request_id(state),
                              .method = std::move(request.method),
                              .target = std::move(request.target),
                              .headers = std::move(request.headers),
                              .body = std::move(request.body),
                              .received = now(*state.clock)};
    if (is_held_at_startup(state))
        state.startup_requests.push_back({request.id, std::move(incoming)});
    else
        admit(state, request.id, std::move(incoming));
}

void handle_event(front_state& state, http::request_refused refused)
{
    reject(state, refused.id, make_request_id(state), std::move(refused.cause));
}

void handle_event(front_state& state, http::bytes_taken const& consumed)
{
    record_consumed_bytes(state, consumed);
}

void handle_event(front_state&, http::answer_sent const&) {}

void handle_event(front_state& state, http::caller_left const& departure)
{
    std::erase_if(state.startup_requests,
                  [&departure](startup_request const& request)
                  { return request.exchange == departure.id; });
    cancel_abandoned_request(state, departure.id);
}

void handle_event(front_state& state, http::connection_accepted)
{
    count(state.telemetry_sink, counter::connections_accepted);
}

void handle_event(front_state& state, http::connection_refused)
{
    count(state.telemetry_sink, counter::connections_rejected);
}

counter counter_of(http::relief what)
{
    switch (what)
    {
    case http::relief::reading_paused:
        return counter::callers_paused;
    case http::relief::request_refused:
        return counter::rejected_for_memory;
    case http::relief::body_stalled:
        return counter::stalled_bodies_refused;
    case http::relief::answer_stalled:
        return counter::stalled_answers_closed;
    case http::relief::idle_closed:
        break;
    }
    return counter::idle_callers_closed;
}

void handle_event(front_state& state, http::relief_taken const& taken)
{
    count(state.telemetry_sink, counter_of(taken.what));
    auto const kind = static_cast<std::size_t>(taken.what);
    if (state.reliefs.at(kind)++ == 0)
        state.first_reliefs.at(kind) = taken;
}

/// Writes at most one line for each kind and tick.
void log_reliefs(front_state& state)
{
    for (std::size_t kind = 0; kind < state.reliefs.size(); ++kind)
    {
        auto const times = std::exchange(state.reliefs.at(kind), 0);
        if (times == 0)
            continue;
        auto const& first = state.first_reliefs.at(kind);
        log(state.telemetry_sink, log_severity::warning, "callers_limited",
            fmt::format("action={} times={} first_address={} "
                        "first_held_bytes={} first_stalled_ms={} "
                        "address_held_bytes={} held_bytes={} budget_bytes={}",
                        to_name(first.what), times,
                        boost::asio::ip::address_v4{first.address}.to_string(),
                        first.by_caller, to_ms(first.stalled), first.by_address,
                        first.held, state.options.memory.total));
    }
}

void handle(front_state& state, context&, answer_message message)
{
    forward_answer(state, std::move(message));
}

void handle(front_state& state, context&, config_changed message)
{
    state.config = std::move(message.config);
    state.teams = make_team_index(*state.config);
    http::limit_body(*state.server, state.config->limits.max_body_bytes);
}

void handle(front_state& state, context&, deployment_changed message)
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
    if (!state.has_started_up && !state.deployment->servers.empty())
        end_startup(state);
}

void handle(front_state& state, context& ctx, startup_tick)
{
    if (state.has_started_up)
        return;
    auto const at = now(ctx);
    release_startup_requests(state, at - state.options.max_startup_hold);
    if (at - state.started_at >= state.options.max_startup_time)
        end_startup(state);
    else
        schedule(ctx, startup_tick_interval, startup_tick{});
}

/// The server keeps listening while it drains. A caller that receives the
/// outcome `not_run` can safely send its request to another router at once,
/// whereas a refused or reset connection leaves the outcome unknown.
void handle(front_state& state, context&, drain_started)
{
    state.draining = true;
    end_startup(state);
    http::end_reuse(*state.server);
    http::refuse_unfinished(
        *state.server, {error_kind::draining, "this instance is stopping"});
    http::close_idle(*state.server);
}

void handle(front_state& state, context&, status_query const& message)
{
    message.reply(
        fmt::format(R"({{"open_requests":{},"open_exchanges":{},"draining":{},)"
                    R"("held_bytes":{}}})",
                    state.requests.size(), http::open_exchanges(*state.server),
                    state.draining, http::held_bytes(*state.server)));
}

void handle(front_state& state, context&, leaving_started)
{
    http::end_reuse(*state.server);
}

void handle(front_state& state, context&, idle_query const& message)
{
    message.reply(http::open_exchanges(*state.server) == 0 &&
                  http::unfinished_requests(*state.server) == 0);
}

void handle(front_state& state, context& ctx, front_tick)
{
    schedule(ctx, tick_interval, front_tick{});
    log_reliefs(state);
    flush(state.telemetry_sink);
}

void start(front_state& state, context& ctx)
{
    state.self = ctx.self;
    state.clock = ctx.clock;
    state.routing =
        ctx.names->find<routing_message>(to_name(service_name::routing));
    connect(state.telemetry_sink, *ctx.names);
    bool const is_listening = open_server(
        state, to_name(service_name::front),
        {.loop = state.options.loop,
         .listen = state.options.listen,
         .max_connections = state.options.max_connections,
         .max_head_bytes = state.options.max_head_bytes,
         .head_limit = state.options.head_limit,
         .body_limit = state.options.body_limit,
         .write_limit = state.options.write_limit,
         .memory = state.options.memory,
         .stalled_after = state.options.stalled_after,
         .min_progress_bytes = state.options.min_progress_bytes},
        [](front_state& front, auto&& event)
        { handle_event(front, std::forward<decltype(event)>(event)); });
    if (!is_listening)
        return;
    schedule(ctx, tick_interval, front_tick{});
    state.started_at = now(ctx);
    schedule(ctx, startup_tick_interval, startup_tick{});
}

void receive(front_state& state, context& ctx, front_message message)
{
    if (!state.server)
        return;
    std::visit(
        [&](auto&& alternative) {
            handle(state, ctx,
                   std::forward<decltype(alternative)>(alternative));
        },
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

#include "services/admin/admin_service.hpp"

#include "services/admin/pages.hpp"
#include "services/loops/http_loop.hpp"

#include <algorithm>
#include <utility>

namespace bramleyarch::services
{

namespace
{

using context = kernel::context<admin_message>;

constexpr duration tick_interval = std::chrono::milliseconds{250};

void on_event(admin_state& state, http::request_received const& request)
{
    open_page(state, request);
}

void on_event(admin_state& state, http::request_refused const& refused)
{
    show(state, refused.id, traits_of(refused.cause.kind).http_status,
         "text/plain; charset=utf-8", describe(refused.cause) + "\n");
}

void on_event(admin_state& state, http::caller_left const& left)
{
    state.pages.erase(left.id);
}

template <class Event>
void on_event(admin_state&, Event const&)
{
}

void receive_one(admin_state& state, context&, admin_page const& page)
{
    take_page(state, page);
}

void receive_one(admin_state& state, context&, admin_status_section part)
{
    take_part(state, std::move(part));
}

void receive_one(admin_state& state, context&, config_changed const& changed)
{
    state.config = changed.config->version;
}

void receive_one(admin_state& state, context&,
                 deployment_changed const& changed)
{
    state.serves_deployment = changed.deployment->rules != nullptr;
    if (state.serves_deployment)
        state.config = changed.deployment->rules->version;
}

void receive_one(admin_state& state, context&, members_changed const& changed)
{
    auto const& members = changed.view->members;
    auto const self =
        std::ranges::find(members, changed.view->self, &member::id);
    if (self != members.end())
        state.standing = self->state;
}

void receive_one(admin_state& state, context&, drain_started)
{
    state.draining = true;
}

void receive_one(admin_state& state, context& ctx, admin_tick)
{
    schedule(ctx, tick_interval, admin_tick{});
    expire_pages(state, now(ctx));
}

void start(admin_state& state, context& ctx)
{
    state.names = ctx.names;
    state.self = ctx.self;
    state.clock = ctx.clock;
    bool const listens =
        open_server(state, to_name(service_name::admin),
                    {.loop = state.options.loop,
                     .listen = state.options.listen,
                     .max_connections = state.options.max_connections},
                    [](admin_state& to, auto&& event)
                    { on_event(to, std::forward<decltype(event)>(event)); });
    if (listens)
        schedule(ctx, tick_interval, admin_tick{});
}

void receive(admin_state& state, context& ctx, admin_message message)
{
    if (!state.server)
        return;
    std::visit([&](auto&& m)
               { receive_one(state, ctx, std::forward<decltype(m)>(m)); },
               std::move(message));
}

} // namespace

admin_service make_admin_service(admin_options options)
{
    return {.name = std::string{to_name(service_name::admin)},
            .state = {.options = std::move(options)},
            .start = start,
            .receive = receive,
            .loop = http_loop<admin_state>()};
}

} // namespace bramleyarch::services

/// Event loop of services that own an HTTP server in `state.server`.
#pragma once

#include "http/server.hpp"
#include "kernel/service.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <string_view>
#include <thread>
#include <utility>

namespace bramleyarch::services
{

/// Opens the state's server, whose events go to `on_event(state, event)`, and
/// tells its port; false, with a line in the log, when it can't listen.
template <class State, class OnEvent>
bool open_server(State& state, std::string_view service,
                 http::server_options options, OnEvent on_event)
{
    auto const at = options.listen;
    options.on_event = [&state, on_event](http::server_event event)
    {
        std::visit([&](auto&& e)
                   { on_event(state, std::forward<decltype(e)>(e)); },
                   std::move(event));
    };
    auto server = http::make_server(std::move(options));
    if (!server)
    {
        fmt::print(stderr, "{}: {}:{}: {}\n", service, at.address, at.port,
                   describe(server.error()));
        return false;
    }
    state.server = std::move(server).value();
    if (state.options.bound_port)
        *state.options.bound_port = http::port_of(*state.server);
    return true;
}

/// Waits for the server's sockets; only for the time when there is none.
template <class State>
kernel::event_loop<State> http_loop()
{
    return {.wait =
                [](State& state, duration limit)
            {
                if (state.server)
                    http::wait(*state.server, limit);
                else
                    std::this_thread::sleep_for(limit);
            },
            .wake =
                [](State& state)
            {
                if (state.server)
                    http::wake(*state.server);
            }};
}

} // namespace bramleyarch::services

/// Event loop of services whose sockets hang on an Asio context, in
/// `state.core->io`.
#pragma once

#include "kernel/service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace bramleyarch::services
{

/// Waits for one event, then handles what else is due, up to a bound that
/// keeps the mailbox from waiting long.
template <class State>
kernel::event_loop<State> asio_loop()
{
    return {.wait =
                [](State& state, duration limit)
            {
                constexpr int events_per_turn = 64;
                auto& io = state.core->io;
                if (limit > duration::zero() && io.run_one_for(limit) == 0)
                    return;
                for (int i = 0; i < events_per_turn && io.poll_one() > 0; ++i)
                {
                }
            },
            .wake = [](State& state)
            { boost::asio::post(state.core->io, [] {}); }};
}

} // namespace bramleyarch::services

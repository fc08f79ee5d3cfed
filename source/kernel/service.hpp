/// Services: a name, a state and free functions that act on it.
#pragma once

#include "common/time.hpp"
#include "kernel/mailbox.hpp"
#include "kernel/registry.hpp"
#include "kernel/timers.hpp"

#include <string>
#include <utility>

namespace bramleyarch::kernel
{

/// What a service's functions may use of the runtime.
template <class Message>
struct context
{
    address<Message> self;
    registry* names = nullptr;
    runtime_clock const* clock = nullptr;
    timer_queue<Message> timers;
};

/// Monotonic time of the runtime.
template <class Message>
time_point now(context<Message> const& ctx)
{
    return bramleyarch::now(*ctx.clock);
}

/// Calendar time of the runtime.
template <class Message>
wall_time wall_now(context<Message> const& ctx)
{
    return bramleyarch::wall_now(*ctx.clock);
}

/// Delivers `message` to the service itself after `delay`.
template <class Message, class Value>
timer_id schedule(context<Message>& ctx, duration delay, Value&& message)
{
    return ctx.timers.schedule(now(ctx) + delay,
                               Message{std::forward<Value>(message)});
}

/// Cancels a timer of this service.
template <class Message>
void cancel(context<Message>& ctx, timer_id id)
{
    ctx.timers.cancel(id);
}

/// How a service waits when it owns sockets. Both functions or neither.
template <class State>
struct event_loop
{
    /// Handles socket events until `limit` has passed, an event was handled,
    /// or `wake` was called. Runs on the task's thread.
    void (*wait)(State&, duration limit) = nullptr;
    /// Ends the current or next `wait`. Called from any thread.
    void (*wake)(State&) = nullptr;
};

/// A service to be run as one task. All functions run on the task's thread
/// (but `event_loop::wake`), so the state needs no lock.
template <class State, class Message>
struct service
{
    std::string name;
    State state;
    void (*start)(State&, context<Message>&) = nullptr;
    void (*receive)(State&, context<Message>&, Message) = nullptr;
    /// Called once no other message will be received.
    void (*stop)(State&, context<Message>&) = nullptr;
    event_loop<State> loop{};
};

} // namespace bramleyarch::kernel

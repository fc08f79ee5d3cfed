/// Single-threaded event loop for descriptors, timers and deferred calls, based
/// on a libwebsockets context.
///
/// The raw-file role of libwebsockets only polls the descriptors. The code in
/// `net/tcp.hpp` and `net/udp.hpp` reads and writes them itself, so that it can
/// distinguish a reset from an orderly close and write without waiting for the
/// next iteration of the loop.
#pragma once

#include "common/error.hpp"
#include "common/time.hpp"
#include "kernel/timers.hpp"

#include <functional>
#include <memory>

namespace bramleyarch::net
{

struct loop;
using loop_ptr = std::shared_ptr<loop>;

/// Creates a loop. Fails with `io_failure` if libwebsockets can't be set up.
result<loop_ptr> make_loop();

/// Runs one iteration of the loop: blocks until an event was handled, `limit`
/// has passed, or `wake` was called. Deferred calls run before and after that.
void wait(loop& event_loop, duration limit);

/// Ends the current or next `wait`. May be called from any thread.
void wake(loop& event_loop);

/// Returns the steady time that timers and time-outs of sockets use.
time_point clock_now();

/// Queues `call` to run in the next `wait`, which does not block before it.
void defer(loop& event_loop, std::function<void()> call);

/// Schedules `call` to run in `wait` once `delay` has passed.
kernel::timer_id call_after(loop& event_loop, duration delay,
                            std::function<void()> call);

/// Cancels a call that `call_after` scheduled, unless it has run already.
void cancel(loop& event_loop, kernel::timer_id id);

enum class readiness
{
    readable,
    writable,
    closed, ///< The loop has closed the descriptor. This is the last report.
};

/// A descriptor that a loop owns and polls.
struct watched;

/// Takes ownership of `descriptor` and polls it for input. Returns null, with
/// the descriptor closed, if the loop can't accept another descriptor.
watched* watch(loop& event_loop, int descriptor,
               std::function<void(readiness)> on_ready);

int descriptor_of(watched const& target);

/// Requests a single `writable` report.
void await_writable(watched& target);

/// Enables or disables polling for input.
void poll_input(watched& target, bool on);

/// Closes the descriptor without any further report. `target` must not be used
/// afterwards.
void unwatch(watched& target);

} // namespace bramleyarch::net

/// Event loop of one thread: descriptors, timers and deferred calls over one
/// libwebsockets context.
///
/// The library's raw-file role polls the descriptors; reading and writing are
/// left to `net/tcp.hpp` and `net/udp.hpp`, which can so tell a reset from an
/// orderly close and write without waiting for a turn of the loop.
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

/// Fails with `io_failure`.
result<loop_ptr> make_loop();

/// Handles events until `limit` has passed, something was handled, or `wake`
/// was called. Deferred calls run first and last.
void wait(loop& l, duration limit);

/// Ends the current or next `wait`; from any thread.
void wake(loop& l);

/// Steady time of the sockets' limits.
time_point clock_now();

/// Runs `call` from the next `wait`, which then does not block before it.
void defer(loop& l, std::function<void()> call);

/// Runs `call` from `wait` once `delay` has passed.
kernel::timer_id call_after(loop& l, duration delay,
                            std::function<void()> call);

void cancel(loop& l, kernel::timer_id id);

enum class readiness
{
    readable,
    writable,
    closed, ///< The loop gave up the descriptor; no call follows.
};

/// A descriptor that the loop polls.
struct watched;

/// Polls `descriptor` for input and takes ownership of it. Null, with the
/// descriptor closed, when there is no room.
watched* watch(loop& l, int descriptor,
               std::function<void(readiness)> on_ready);

int descriptor_of(watched const& w);

/// Has `writable` reported once.
void await_writable(watched& w);

/// Switches polling for input.
void poll_input(watched& w, bool on);

/// Closes the descriptor; no call follows. `w` is not to be used any more.
void unwatch(watched& w);

} // namespace bramleyarch::net

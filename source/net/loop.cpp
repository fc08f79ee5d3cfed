#include "net/loop.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <libwebsockets.h>
#include <mutex>
#include <utility>

namespace bramleyarch::net
{

namespace
{

/// Long enough that time-outs of libwebsockets never precede those of this
/// package.
constexpr unsigned library_timeout_s = 24U * 3600;

struct context_deleter
{
    void operator()(lws_context* context) const
    {
        lws_context_destroy(context);
    }
};

/// libwebsockets timer that ends a wait. `scheduled` must be the first member,
/// because `end_wait` casts its address to the whole structure.
struct wait_timer
{
    lws_sorted_usec_list_t scheduled{};
    lws_context* context = nullptr;
};

} // namespace

struct watched
{
    lws* wsi = nullptr;
    int descriptor = -1;
    std::function<void(readiness)> on_ready;
    bool in_callback = false;
    bool is_unwatched = false;
};

struct loop
{
    kernel::timer_queue<std::function<void()>> timers;
    std::deque<std::function<void()>> deferred;
    wait_timer timer;
    lws_vhost* vhost = nullptr;
    std::unique_ptr<lws_context, context_deleter> context;

    loop() = default;
    ~loop();
    loop(loop const&) = delete;
    loop& operator=(loop const&) = delete;
};

namespace
{

/// Ends the wait when the timer is due, which libwebsockets does not do by
/// itself.
void end_wait(lws_sorted_usec_list_t* scheduled)
{
    lws_cancel_service(reinterpret_cast<wait_timer*>(scheduled)->context);
}

int report(watched* target, readiness what)
{
    if (!target)
        return 0;
    if (target->is_unwatched)
        return -1;
    target->in_callback = true;
    target->on_ready(what);
    target->in_callback = false;
    return target->is_unwatched ? -1 : 0;
}

void on_closed(lws* wsi, watched* target)
{
    if (!target)
        return;
    lws_set_opaque_user_data(wsi, nullptr);
    target->wsi = nullptr;
    std::unique_ptr<watched> const owned{target};
    if (!owned->is_unwatched)
        owned->on_ready(readiness::closed);
}

int callback(lws* wsi, lws_callback_reasons reason, void*, void*, std::size_t)
{
    auto* const target = static_cast<watched*>(lws_get_opaque_user_data(wsi));
    switch (reason)
    {
    case LWS_CALLBACK_RAW_RX_FILE:
        return report(target, readiness::readable);
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        return report(target, readiness::writable);
    case LWS_CALLBACK_RAW_CLOSE_FILE:
        on_closed(wsi, target);
        return 0;
    default:
        return 0;
    }
}

lws_protocols const protocols[] = {
    {"raw", callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

bool run_deferred(loop& event_loop)
{
    bool const has_run = !event_loop.deferred.empty();
    while (!event_loop.deferred.empty())
    {
        auto const call = std::move(event_loop.deferred.front());
        event_loop.deferred.pop_front();
        call();
    }
    return has_run;
}

bool run_timers(loop& event_loop)
{
    auto const now = clock_now();
    bool has_run = false;
    // Handles one due time per iteration, so that a call can cancel timers that
    // are due later.
    for (auto due = event_loop.timers.next(); due && *due <= now;
         due = event_loop.timers.next())
    {
        for (auto const& call : event_loop.timers.take_due(*due))
            call();
        has_run = true;
    }
    return has_run;
}

void poll(loop& event_loop, duration limit)
{
    if (limit <= duration::zero())
    {
        lws_service(event_loop.context.get(), -1);
        return;
    }
    auto const limit_us =
        std::chrono::ceil<std::chrono::microseconds>(limit).count();
    lws_sul_schedule(event_loop.context.get(), 0, &event_loop.timer.scheduled,
                     end_wait, limit_us);
    lws_service(event_loop.context.get(), 0);
    lws_sul_cancel(&event_loop.timer.scheduled);
}

} // namespace

loop::~loop()
{
    // Closing the sockets defers calls that release their state; these calls
    // have to run before the loop is destroyed.
    context.reset();
    run_deferred(*this);
}

result<loop_ptr> make_loop()
{
    static std::once_flag once;
    std::call_once(once, [] { lws_set_log_level(0, nullptr); });
    auto made = std::make_shared<loop>();
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.gid = static_cast<gid_t>(-1);
    info.uid = static_cast<uid_t>(-1);
    info.timeout_secs = library_timeout_s;
    info.options =
        LWS_SERVER_OPTION_DISABLE_IPV6 | LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.protocols = protocols;
    made->context.reset(lws_create_context(&info));
    if (!made->context)
        return fail(error_kind::io_failure,
                    "can't create a libwebsockets context");
    made->vhost = lws_create_vhost(made->context.get(), &info);
    if (!made->vhost)
        return fail(error_kind::io_failure,
                    "can't create a libwebsockets vhost");
    made->timer.context = made->context.get();
    return made;
}

void wait(loop& event_loop, duration limit)
{
    bool has_run = run_deferred(event_loop);
    if (auto const due = event_loop.timers.next())
        limit = std::min(limit, *due - clock_now());
    poll(event_loop, has_run ? duration::zero() : limit);
    run_timers(event_loop);
    run_deferred(event_loop);
}

void wake(loop& event_loop)
{
    lws_cancel_service(event_loop.context.get());
}

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

void defer(loop& event_loop, std::function<void()> call)
{
    event_loop.deferred.push_back(std::move(call));
}

kernel::timer_id call_after(loop& event_loop, duration delay,
                            std::function<void()> call)
{
    return event_loop.timers.schedule(clock_now() + delay, std::move(call));
}

void cancel(loop& event_loop, kernel::timer_id id)
{
    event_loop.timers.cancel(id);
}

watched* watch(loop& event_loop, int descriptor,
               std::function<void(readiness)> on_ready)
{
    auto target = std::make_unique<watched>();
    target->descriptor = descriptor;
    target->on_ready = std::move(on_ready);
    lws_sock_file_fd_type const adopted{.filefd = descriptor};
    // libwebsockets closes the descriptor if it can't adopt it.
    target->wsi =
        lws_adopt_descriptor_vhost(event_loop.vhost, LWS_ADOPT_RAW_FILE_DESC,
                                   adopted, protocols[0].name, nullptr);
    if (!target->wsi)
        return nullptr;
    lws_set_opaque_user_data(target->wsi, target.get());
    return target.release();
}

int descriptor_of(watched const& target)
{
    return target.descriptor;
}

void await_writable(watched& target)
{
    lws_callback_on_writable(target.wsi);
}

void poll_input(watched& target, bool on)
{
    lws_rx_flow_control(target.wsi, on ? 1 : 0);
}

void unwatch(watched& target)
{
    target.is_unwatched = true;
    // Within a callback for this descriptor, the return value of the callback
    // closes it instead.
    if (!target.in_callback)
        lws_set_timeout(target.wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                        LWS_TO_KILL_ASYNC);
}

} // namespace bramleyarch::net

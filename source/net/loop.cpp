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

/// Library time-outs are set beyond those of this package.
constexpr unsigned library_timeout_s = 24U * 3600;

struct context_deleter
{
    void operator()(lws_context* context) const
    {
        lws_context_destroy(context);
    }
};

/// Timer of the library that ends a wait; the library's part comes first.
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
    bool dropped = false;
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

/// A due timer of the library does not end its wait; this does.
void end_wait(lws_sorted_usec_list_t* scheduled)
{
    lws_cancel_service(reinterpret_cast<wait_timer*>(scheduled)->context);
}

int report(watched* w, readiness what)
{
    if (!w)
        return 0;
    if (w->dropped)
        return -1;
    w->in_callback = true;
    w->on_ready(what);
    w->in_callback = false;
    return w->dropped ? -1 : 0;
}

void on_closed(lws* wsi, watched* w)
{
    if (!w)
        return;
    lws_set_opaque_user_data(wsi, nullptr);
    w->wsi = nullptr;
    std::unique_ptr<watched> const owned{w};
    if (!owned->dropped)
        owned->on_ready(readiness::closed);
}

int callback(lws* wsi, lws_callback_reasons reason, void*, void*, std::size_t)
{
    auto* const w = static_cast<watched*>(lws_get_opaque_user_data(wsi));
    switch (reason)
    {
    case LWS_CALLBACK_RAW_RX_FILE:
        return report(w, readiness::readable);
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        return report(w, readiness::writable);
    case LWS_CALLBACK_RAW_CLOSE_FILE:
        on_closed(wsi, w);
        return 0;
    default:
        return 0;
    }
}

lws_protocols const protocols[] = {
    {"raw", callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

bool run_deferred(loop& l)
{
    bool const any = !l.deferred.empty();
    while (!l.deferred.empty())
    {
        auto const call = std::move(l.deferred.front());
        l.deferred.pop_front();
        call();
    }
    return any;
}

bool run_timers(loop& l)
{
    auto const at = clock_now();
    bool any = false;
    // One due time at a time, so that a call can cancel a later one.
    for (auto due = l.timers.next(); due && *due <= at; due = l.timers.next())
    {
        for (auto const& call : l.timers.take_due(*due))
            call();
        any = true;
    }
    return any;
}

void poll(loop& l, duration limit)
{
    if (limit <= duration::zero())
    {
        lws_service(l.context.get(), -1);
        return;
    }
    auto const us = std::chrono::ceil<std::chrono::microseconds>(limit).count();
    lws_sul_schedule(l.context.get(), 0, &l.timer.scheduled, end_wait, us);
    lws_service(l.context.get(), 0);
    lws_sul_cancel(&l.timer.scheduled);
}

} // namespace

loop::~loop()
{
    // Closing the sockets defers the release of what belongs to them.
    context.reset();
    run_deferred(*this);
}

result<loop_ptr> make_loop()
{
    static std::once_flag once;
    std::call_once(once, [] { lws_set_log_level(0, nullptr); });
    auto l = std::make_shared<loop>();
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.gid = static_cast<gid_t>(-1);
    info.uid = static_cast<uid_t>(-1);
    info.timeout_secs = library_timeout_s;
    info.options =
        LWS_SERVER_OPTION_DISABLE_IPV6 | LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.protocols = protocols;
    l->context.reset(lws_create_context(&info));
    if (!l->context)
        return fail(error_kind::io_failure, "libwebsockets context");
    l->vhost = lws_create_vhost(l->context.get(), &info);
    if (!l->vhost)
        return fail(error_kind::io_failure, "libwebsockets vhost");
    l->timer.context = l->context.get();
    return l;
}

void wait(loop& l, duration limit)
{
    bool handled = run_deferred(l);
    if (auto const due = l.timers.next())
        limit = std::min(limit, *due - clock_now());
    poll(l, handled ? duration::zero() : limit);
    run_timers(l);
    run_deferred(l);
}

void wake(loop& l)
{
    lws_cancel_service(l.context.get());
}

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

void defer(loop& l, std::function<void()> call)
{
    l.deferred.push_back(std::move(call));
}

kernel::timer_id call_after(loop& l, duration delay, std::function<void()> call)
{
    return l.timers.schedule(clock_now() + delay, std::move(call));
}

void cancel(loop& l, kernel::timer_id id)
{
    l.timers.cancel(id);
}

watched* watch(loop& l, int descriptor, std::function<void(readiness)> on_ready)
{
    auto w = std::make_unique<watched>();
    w->descriptor = descriptor;
    w->on_ready = std::move(on_ready);
    lws_sock_file_fd_type const adopted{.filefd = descriptor};
    // A failed adoption closes the descriptor.
    w->wsi = lws_adopt_descriptor_vhost(l.vhost, LWS_ADOPT_RAW_FILE_DESC,
                                        adopted, protocols[0].name, nullptr);
    if (!w->wsi)
        return nullptr;
    lws_set_opaque_user_data(w->wsi, w.get());
    return w.release();
}

int descriptor_of(watched const& w)
{
    return w.descriptor;
}

void await_writable(watched& w)
{
    lws_callback_on_writable(w.wsi);
}

void poll_input(watched& w, bool on)
{
    lws_rx_flow_control(w.wsi, on ? 1 : 0);
}

void unwatch(watched& w)
{
    w.dropped = true;
    // Within its own callback the return value closes it.
    if (!w.in_callback)
        lws_set_timeout(w.wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                        LWS_TO_KILL_ASYNC);
}

} // namespace bramleyarch::net

#include "kernel/kernel.hpp"

#include <pthread.h>

#include <algorithm>
#include <latch>
#include <string>
#include <utility>

namespace bramleyarch::kernel
{

namespace
{

/// Longest wait of a task without timers.
constexpr duration max_wait = std::chrono::seconds{1};

/// Longest name of a thread that the system takes.
constexpr std::size_t max_thread_name = 15;

/// Shows the task's name in the system's list of threads.
void name_this_thread(std::string_view name)
{
    std::string const cut{name.substr(0, max_thread_name)};
    pthread_setname_np(pthread_self(), cut.c_str());
}

} // namespace

kernel::kernel(run_mode mode, shared_loop loop)
    : mode_{mode}, loop_{std::move(loop)}
{
    if (mode_ == run_mode::stepped)
        clock_.kind = clock_kind::manual;
}

kernel::~kernel()
{
    stop();
}

void kernel::start()
{
    started_ = true;
    for (auto& t : tasks_)
    {
        if (mode_ != run_mode::threaded)
        {
            t.start();
            continue;
        }
        std::latch begun{1};
        t.thread = std::thread{[this, &t, &begun]
                               {
                                   name_this_thread(t.name);
                                   t.start();
                                   begun.count_down();
                                   run_thread(t);
                               }};
        begun.wait();
    }
}

void kernel::stop()
{
    if (!started_)
        return;
    started_ = false;
    stopping_ = true;
    for (auto t = tasks_.rbegin(); t != tasks_.rend(); ++t)
    {
        if (mode_ != run_mode::threaded)
        {
            t->stop();
            continue;
        }
        t->wake();
        t->thread.join();
    }
}

void kernel::run_thread(task& t)
{
    while (!stopping_)
    {
        if (t.step())
        {
            t.wait(duration::zero());
            continue;
        }
        duration limit = max_wait;
        if (auto const due = t.next_timer())
            limit = std::clamp(*due - now(clock_), duration::zero(), max_wait);
        t.wait(limit);
    }
    t.stop();
}

void kernel::run(std::function<bool()> const& done)
{
    while (!done())
    {
        bool handled = false;
        for (auto& t : tasks_)
            handled = t.step() || handled;
        duration limit = handled ? duration::zero() : max_wait;
        if (auto const due = handled ? std::nullopt : next_timer())
            limit = std::clamp(*due - now(clock_), duration::zero(), max_wait);
        loop_.wait(limit);
    }
}

void kernel::run_until_idle()
{
    bool handled = true;
    while (handled)
    {
        handled = false;
        for (auto& t : tasks_)
            handled = t.step() || handled;
    }
}

void kernel::advance(duration by)
{
    time_point const target = now(clock_) + by;
    run_until_idle();
    for (auto due = next_timer(); due && *due <= target; due = next_timer())
    {
        bramleyarch::advance(clock_, *due - now(clock_));
        run_until_idle();
    }
    bramleyarch::advance(clock_, target - now(clock_));
    run_until_idle();
}

std::optional<time_point> kernel::next_timer() const
{
    std::optional<time_point> earliest;
    for (auto const& t : tasks_)
    {
        auto const due = t.next_timer();
        if (due && (!earliest || *due < *earliest))
            earliest = due;
    }
    return earliest;
}

registry& kernel::names()
{
    return names_;
}

runtime_clock& kernel::clock()
{
    return clock_;
}

} // namespace bramleyarch::kernel

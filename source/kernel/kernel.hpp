/// The micro-kernel: runs services as tasks, in threads, on one loop or step by
/// step.
#pragma once

#include "common/time.hpp"
#include "kernel/registry.hpp"
#include "kernel/service.hpp"

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace bramleyarch::kernel
{

enum class run_mode
{
    threaded, ///< One thread per task, system clock.
    stepped,  ///< No threads; tests deliver messages and advance the clock.
    one_loop, ///< All tasks on the caller of `run`, over one event loop.
};

/// The event loop that all tasks of `one_loop` share. Their own loops are not
/// used.
struct shared_loop
{
    /// Handles socket events until `limit` has passed or one was handled.
    std::function<void(duration limit)> wait;
};

/// One running service behind type-erased functions.
struct task
{
    std::string name;
    std::function<void()> start;
    /// Fires due timers and handles queued messages; false if none.
    std::function<bool()> step;
    std::function<std::optional<time_point>()> next_timer;
    std::function<void(duration)> wait;
    std::function<void()> wake;
    std::function<void()> stop;
    std::thread thread;
};

/// Owns the tasks of a process. `add` services, then `start`, then `stop`;
/// each once.
class kernel
{
public:
    explicit kernel(run_mode mode, shared_loop loop = {});
    ~kernel();
    kernel(kernel const&) = delete;
    kernel& operator=(kernel const&) = delete;

    /// Adds a service and publishes its name. Services start in the order of
    /// adding and stop in the reverse order.
    template <class State, class Message>
    address<Message> add(service<State, Message> added)
    {
        auto run = std::make_shared<running<State, Message>>();
        run->definition = std::move(added);
        run->ctx.self.box = std::make_shared<mailbox<Message>>();
        run->ctx.names = &names_;
        run->ctx.clock = &clock_;
        names_.publish(run->definition.name, run->ctx.self);
        tasks_.push_back(make_task(run, mode_));
        return run->ctx.self;
    }

    void start();

    /// Stops all tasks; messages still queued are dropped.
    void stop();

    /// One loop: serves until `done` returns true, which is asked once a turn.
    void run(std::function<bool()> const& done);

    /// Stepped mode: handles messages until every mailbox is empty.
    void run_until_idle();

    /// Stepped mode: moves the clock by `by`, stopping at every timer.
    void advance(duration by);

    [[nodiscard]] registry& names();
    [[nodiscard]] runtime_clock& clock();

private:
    template <class State, class Message>
    struct running
    {
        service<State, Message> definition;
        context<Message> ctx;
    };

    template <class State, class Message>
    static task make_task(std::shared_ptr<running<State, Message>> run,
                          run_mode mode);

    void run_thread(task& t);
    [[nodiscard]] std::optional<time_point> next_timer() const;

    run_mode mode_;
    shared_loop loop_;
    runtime_clock clock_;
    registry names_;
    std::list<task> tasks_;
    std::atomic<bool> stopping_{false};
    bool started_ = false;
};

template <class State, class Message>
task kernel::make_task(std::shared_ptr<running<State, Message>> run,
                       run_mode mode)
{
    task made;
    made.name = run->definition.name;
    made.start = [run, mode]
    {
        auto& definition = run->definition;
        if (definition.start)
            definition.start(definition.state, run->ctx);
        // On one loop messages come only from its own thread.
        if (definition.loop.wake && mode != run_mode::one_loop)
        {
            run->ctx.self.box->set_wake(
                [state = &definition.state, wake = definition.loop.wake]
                { wake(*state); });
        }
    };
    made.step = [run]
    {
        auto& definition = run->definition;
        bool handled = false;
        for (auto& due : run->ctx.timers.take_due(now(run->ctx)))
        {
            definition.receive(definition.state, run->ctx, std::move(due));
            handled = true;
        }
        for (auto& message : run->ctx.self.box->drain())
        {
            definition.receive(definition.state, run->ctx, std::move(message));
            handled = true;
        }
        return handled;
    };
    made.next_timer = [run] { return run->ctx.timers.next(); };
    made.wait = [run](duration limit)
    {
        auto& definition = run->definition;
        if (definition.loop.wait)
            definition.loop.wait(definition.state, limit);
        else
            run->ctx.self.box->wait(limit);
    };
    made.wake = [run] { run->ctx.self.box->interrupt(); };
    made.stop = [run]
    {
        run->ctx.self.box->close();
        auto& definition = run->definition;
        if (definition.stop)
            definition.stop(definition.state, run->ctx);
    };
    return made;
}

} // namespace bramleyarch::kernel

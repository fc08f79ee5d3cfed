/// Mailboxes: the only objects that tasks share.
#pragma once

#include "common/time.hpp"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace bramleyarch::kernel
{

/// Queue of messages for one task. Any thread may post; the owner drains.
template <class Message>
class mailbox
{
public:
    /// Queues `message`. Returns false when the owner has stopped.
    bool post(Message message)
    {
        std::function<void()> wake;
        {
            std::lock_guard const lock{mutex_};
            if (closed_)
                return false;
            bool const first = queue_.empty();
            queue_.push_back(std::move(message));
            if (first)
                wake = wake_;
        }
        if (wake)
            wake();
        else
            ready_.notify_one();
        return true;
    }

    /// Takes all queued messages.
    std::deque<Message> drain()
    {
        std::lock_guard const lock{mutex_};
        return std::exchange(queue_, {});
    }

    /// Waits until a message is queued, `interrupt` is called, or `limit`
    /// has passed.
    void wait(duration limit)
    {
        std::unique_lock lock{mutex_};
        ready_.wait_for(lock, limit,
                        [this] { return interrupted_ || !queue_.empty(); });
        interrupted_ = false;
    }

    /// Ends the current or next wait.
    void interrupt()
    {
        std::function<void()> wake;
        {
            std::lock_guard const lock{mutex_};
            interrupted_ = true;
            wake = wake_;
        }
        if (wake)
            wake();
        ready_.notify_one();
    }

    /// Sets the function that ends the wait of the owner's event loop.
    void set_wake(std::function<void()> wake)
    {
        std::lock_guard const lock{mutex_};
        wake_ = std::move(wake);
    }

    /// Refuses further messages and drops the queued ones.
    void close()
    {
        std::deque<Message> dropped;
        std::lock_guard const lock{mutex_};
        closed_ = true;
        wake_ = nullptr;
        dropped.swap(queue_);
    }

    [[nodiscard]] std::size_t depth() const
    {
        std::lock_guard const lock{mutex_};
        return queue_.size();
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable ready_;
    std::deque<Message> queue_;
    std::function<void()> wake_;
    bool interrupted_ = false;
    bool closed_ = false;
};

/// Where to send messages of one type. Copies refer to the same mailbox.
template <class Message>
struct address
{
    std::shared_ptr<mailbox<Message>> box;

    explicit operator bool() const
    {
        return box != nullptr;
    }
};

/// Sends `message`; false when there is no receiver.
template <class Message, class Value>
bool send(address<Message> const& to, Value&& message)
{
    if (!to.box)
        return false;
    return to.box->post(Message{std::forward<Value>(message)});
}

} // namespace bramleyarch::kernel

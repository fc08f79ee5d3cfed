/// Timers of one task: messages that it will send itself.
#pragma once

#include "common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bramleyarch::kernel
{

/// Names a scheduled timer; 0 names none.
using timer_id = std::uint64_t;

/// Timers ordered by due time, then by order of scheduling.
template <class Message>
class timer_queue
{
public:
    timer_id schedule(time_point due, Message message)
    {
        timer_id const id = ++last_id_;
        due_.emplace(std::pair{due, id}, std::move(message));
        due_of_.emplace(id, due);
        return id;
    }

    /// Cancels a timer; nothing happens when it has fired already.
    void cancel(timer_id id)
    {
        auto const found = due_of_.find(id);
        if (found == due_of_.end())
            return;
        due_.erase({found->second, id});
        due_of_.erase(found);
    }

    /// Takes the messages that are due at `at`, in order.
    std::vector<Message> take_due(time_point at)
    {
        std::vector<Message> messages;
        while (!due_.empty() && due_.begin()->first.first <= at)
        {
            auto node = due_.extract(due_.begin());
            due_of_.erase(node.key().second);
            messages.push_back(std::move(node.mapped()));
        }
        return messages;
    }

    [[nodiscard]] std::optional<time_point> next() const
    {
        if (due_.empty())
            return std::nullopt;
        return due_.begin()->first.first;
    }

private:
    std::map<std::pair<time_point, timer_id>, Message> due_;
    std::map<timer_id, time_point> due_of_;
    timer_id last_id_ = 0;
};

} // namespace bramleyarch::kernel

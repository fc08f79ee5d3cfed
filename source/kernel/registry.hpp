/// Names of services: how services find each other.
#pragma once

#include "kernel/mailbox.hpp"

#include <any>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>

namespace bramleyarch::kernel
{

/// Maps service names to typed addresses. Safe to use from any task.
class registry
{
public:
    /// Publishes `to` under `name`; a name can be published once.
    template <class Message>
    void publish(std::string_view name, address<Message> to)
    {
        insert(name, std::any{std::move(to)});
    }

    /// Address published under `name`; an empty address when there is none.
    /// A name published with another message type is a programming error and
    /// throws `std::logic_error`.
    template <class Message>
    [[nodiscard]] address<Message> find(std::string_view name) const
    {
        auto const entry = lookup(name);
        if (!entry.has_value())
            return {};
        if (auto const* found = std::any_cast<address<Message>>(&entry))
            return *found;
        throw std::logic_error{"service has another message type: " +
                               std::string{name}};
    }

private:
    void insert(std::string_view name, std::any entry);
    [[nodiscard]] std::any lookup(std::string_view name) const;

    mutable std::mutex mutex_;
    std::map<std::string, std::any, std::less<>> entries_;
};

} // namespace bramleyarch::kernel

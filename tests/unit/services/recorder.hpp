/// A fake service that keeps what it receives, for tests on one thread.
#pragma once

#include "kernel/kernel.hpp"
#include "services/messages/names.hpp"

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bramleyarch::test
{

template <class Message>
struct recorder
{
    std::shared_ptr<std::vector<Message>> seen =
        std::make_shared<std::vector<Message>>();
};

template <class Message>
void record(recorder<Message>& state, kernel::context<Message>&,
            Message message)
{
    state.seen->push_back(std::move(message));
}

/// Adds the fake under a service's name; returns what it receives.
template <class Message>
std::shared_ptr<std::vector<Message>> add_recorder(kernel::kernel& k,
                                                   services::service_name name)
{
    recorder<Message> state;
    auto seen = state.seen;
    k.add(kernel::service<recorder<Message>, Message>{
        .name = std::string{to_name(name)},
        .state = std::move(state),
        .receive = record});
    return seen;
}

/// The messages of type `Wanted`, in order.
template <class Wanted, class Message>
std::vector<Wanted> received(std::vector<Message> const& messages)
{
    std::vector<Wanted> found;
    for (auto const& message : messages)
    {
        if (auto const* wanted = std::get_if<Wanted>(&message))
            found.push_back(*wanted);
    }
    return found;
}

} // namespace bramleyarch::test

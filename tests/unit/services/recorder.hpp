/// Fake service that stores the messages it receives, for tests on one thread.
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
    std::shared_ptr<std::vector<Message>> messages =
        std::make_shared<std::vector<Message>>();
};

template <class Message>
void record(recorder<Message>& state, kernel::context<Message>&,
            Message message)
{
    state.messages->push_back(std::move(message));
}

/// Adds the fake under a service's name; returns the messages it receives.
template <class Message>
std::shared_ptr<std::vector<Message>>
add_recorder(kernel::kernel& service_kernel, services::service_name name)
{
    recorder<Message> state;
    auto messages = state.messages;
    service_kernel.add(kernel::service<recorder<Message>, Message>{
        .name = std::string{to_name(name)},
        .state = std::move(state),
        .receive = record});
    return messages;
}

/// Returns the messages of type `Wanted`, in the order of arrival.
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

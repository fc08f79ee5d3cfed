/// Fake service that stores the messages it receives, for tests with threads.
#pragma once

#include "kernel/kernel.hpp"
#include "services/messages/names.hpp"

#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bramleyarch::test
{

using namespace std::chrono_literals;

/// Time limit for expected messages; only a failing test reaches it.
constexpr auto message_timeout = 20s;

/// Messages that a fake service has received.
template <class Message>
struct inbox
{
    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<Message> messages;
};

template <class Message>
struct inbox_state
{
    std::shared_ptr<inbox<Message>> box = std::make_shared<inbox<Message>>();
};

template <class Message>
void append_message(inbox_state<Message>& state, kernel::context<Message>&,
                    Message message)
{
    std::lock_guard const lock{state.box->mutex};
    state.box->messages.push_back(std::move(message));
    state.box->arrived.notify_all();
}

/// Adds the fake service under a name; returns its messages.
template <class Message>
std::shared_ptr<inbox<Message>> add_inbox(kernel::kernel& service_kernel,
                                          services::service_name name)
{
    inbox_state<Message> state;
    auto box = state.box;
    service_kernel.add(kernel::service<inbox_state<Message>, Message>{
        .name = std::string{to_name(name)},
        .state = state,
        .receive = append_message});
    return box;
}

/// Waits for at least `count` messages of type `Wanted` and returns them.
template <class Wanted, class Message>
std::vector<Wanted> await(inbox<Message>& box, std::size_t count = 1)
{
    std::vector<Wanted> found;
    std::unique_lock lock{box.mutex};
    bool const has_arrived = box.arrived.wait_for(
        lock, message_timeout,
        [&]
        {
            found.clear();
            for (auto const& message : box.messages)
            {
                if (auto const* wanted = std::get_if<Wanted>(&message))
                    found.push_back(*wanted);
            }
            return found.size() >= count;
        });
    BOOST_REQUIRE(has_arrived);
    return found;
}

/// Waits for at least `count` messages of any type.
template <class Message>
void await_total(inbox<Message>& box, std::size_t count)
{
    std::unique_lock lock{box.mutex};
    BOOST_REQUIRE(box.arrived.wait_for(
        lock, message_timeout, [&] { return box.messages.size() >= count; }));
}

} // namespace bramleyarch::test

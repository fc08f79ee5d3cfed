#include "router/drain.hpp"

#include "services/messages/backend.hpp"
#include "services/messages/claims.hpp"
#include "services/messages/configuration.hpp"
#include "services/messages/front.hpp"
#include "services/messages/link.hpp"
#include "services/messages/members.hpp"
#include "services/messages/names.hpp"
#include "services/messages/platform.hpp"
#include "services/messages/routing.hpp"

#include <chrono>
#include <future>
#include <memory>
#include <thread>

namespace bramleyarch::router
{

namespace
{

using namespace services;

constexpr duration poll_interval = std::chrono::milliseconds{20};
constexpr duration reply_limit = std::chrono::seconds{1};

template <class Message>
void tell(kernel::kernel& k, service_name name)
{
    send(k.names().find<Message>(to_name(name)), drain_started{});
}

/// A service that does not answer in time counts as busy; one that is not
/// there is idle.
template <class Message>
bool is_idle(kernel::kernel& k, service_name name)
{
    auto const answer = std::make_shared<std::promise<bool>>();
    auto future = answer->get_future();
    idle_query const query{[answer](bool idle) { answer->set_value(idle); }};
    if (!send(k.names().find<Message>(to_name(name)), query))
        return true;
    if (future.wait_for(reply_limit) != std::future_status::ready)
        return false;
    return future.get();
}

bool all_idle(kernel::kernel& k)
{
    return is_idle<routing_message>(k, service_name::routing) &&
           is_idle<owner_message>(k, service_name::owner) &&
           is_idle<claims_message>(k, service_name::claims) &&
           is_idle<link_message>(k, service_name::link) &&
           is_idle<front_message>(k, service_name::front);
}

} // namespace

bool drain(kernel::kernel& k, drain_options const& options)
{
    tell<members_message>(k, service_name::members);
    tell<platform_message>(k, service_name::platform);
    tell<admin_message>(k, service_name::admin);
    tell<owner_message>(k, service_name::owner);
    std::this_thread::sleep_for(options.grace);
    tell<front_message>(k, service_name::front);
    tell<routing_message>(k, service_name::routing);
    auto const end = std::chrono::steady_clock::now() + options.limit;
    while (!all_idle(k))
    {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    // The last bytes were handed to the sockets; the peers have yet to read.
    std::this_thread::sleep_for(poll_interval);
    return true;
}

} // namespace bramleyarch::router

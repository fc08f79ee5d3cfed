/// A link service in its own kernel, with fake services that record the
/// messages they receive.
#pragma once

#include "../inbox.hpp"

#include "kernel/kernel.hpp"
#include "services/link/link_service.hpp"
#include "services/messages/configuration.hpp"
#include "services/messages/members.hpp"
#include "services/messages/names.hpp"
#include "services/messages/routing.hpp"
#include "services/messages/timeline.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace bramleyarch::test
{

struct link_node
{
    kernel::kernel router_kernel{kernel::run_mode::threaded};
    router_id id;
    incarnation started = 1;
    std::shared_ptr<std::atomic<std::uint16_t>> port;
    std::shared_ptr<inbox<services::routing_message>> routing;
    std::shared_ptr<inbox<services::owner_message>> owner;
    std::shared_ptr<inbox<services::configuration_message>> configuration;
    kernel::address<services::link_message> link;
};

inline std::unique_ptr<link_node> start_node(services::link_options options)
{
    using namespace services;
    auto node = std::make_unique<link_node>();
    node->id = options.self;
    node->started = options.started;
    node->routing =
        add_inbox<routing_message>(node->router_kernel, service_name::routing);
    node->owner =
        add_inbox<owner_message>(node->router_kernel, service_name::owner);
    node->configuration = add_inbox<configuration_message>(
        node->router_kernel, service_name::configuration);
    options.listen = {.address = "127.0.0.1", .port = 0};
    node->port = options.bound_port;
    node->link = node->router_kernel.add(make_link_service(options));
    node->router_kernel.start();
    BOOST_REQUIRE(*node->port != 0);
    return node;
}

inline services::members_changed make_view(std::vector<member> members)
{
    auto view = std::make_shared<member_view>();
    view->members = std::move(members);
    return {view};
}

inline member make_member(router_id id, std::uint16_t port,
                          incarnation started = 1)
{
    return {.id = std::move(id),
            .started = started,
            .link = {.address = "127.0.0.1", .port = port}};
}

/// Returns an offer whose request has the given sequence number.
inline services::offer make_offer(std::uint64_t sequence,
                                  time_point deadline = {})
{
    attempt_id const attempt{.request = {.entry = 1, .sequence = sequence},
                             .number = 1};
    return {.attempt = attempt,
            .server = {"s1"},
            .request = {.id = attempt.request, .deadline = deadline}};
}

} // namespace bramleyarch::test

/// State of the members service and the functions that its source files share.
#pragma once

#include "common/counters.hpp"
#include "decisions/local_loads.hpp"
#include "services/members/members_service.hpp"
#include "services/members/protocol.hpp"
#include "services/messages/claims.hpp"
#include "services/messages/configuration.hpp"
#include "services/messages/front.hpp"
#include "services/messages/link.hpp"
#include "services/messages/owner.hpp"
#include "services/messages/routing.hpp"
#include "services/messages/timeline.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <unordered_map>

namespace bramleyarch::services
{

/// Names of the active configuration by short hash. A hash that two names share
/// has no entry.
struct names_by_hash
{
    std::unordered_map<std::uint32_t, server_id> servers;
    std::unordered_map<std::uint32_t, team_id> teams;
};

/// Returns the names of the servers and teams of `config`.
names_by_hash make_names_by_hash(config::document const& config);

struct members_core
{
    runtime_clock const* clock = nullptr;
    kernel::address<routing_message> routing;
    kernel::address<owner_message> owner;
    kernel::address<link_message> link;
    kernel::address<claims_message> claims;
    kernel::address<configuration_message> configuration;
    kernel::address<admin_message> admin;
    kernel::address<timeline_message> timeline;
    kernel::address<metrics_message> metrics;

    protocol protocol_state;
    names_by_hash names;
    decisions::local_loads local_loads;
    std::vector<decisions::compact_load> advertised_loads;
    time_point advertised_at{};
    counter_set counters;
    time_point reported_at{};

    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work{io.get_executor()};
    boost::asio::ip::udp::socket socket{io};
    boost::asio::ip::udp::endpoint sender;
    std::array<char, 2048> received{};
};

inline time_point now(members_core const& core)
{
    return bramleyarch::now(*core.clock);
}

/// Sends the datagrams and reports the changes to the other services.
void publish(members_core& core, protocol_output const& out);

/// Queues the loads of the servers of this router as gossip if they changed
/// significantly since they were last advertised, or if a refresh is due.
void advertise_local_loads(members_core& core);

/// Binds the UDP socket to `at` and starts to receive. Returns false and logs
/// the error if the endpoint cannot be used.
bool open_socket(members_core& core, endpoint const& at);

} // namespace bramleyarch::services

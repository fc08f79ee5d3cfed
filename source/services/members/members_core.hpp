/// State of the members service, shared by its parts.
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

/// Names behind the short hashes of the configuration in force. A hash that
/// two names share stands for neither.
struct known_names
{
    std::unordered_map<std::uint32_t, server_id> servers;
    std::unordered_map<std::uint32_t, team_id> teams;
};

known_names names_of(config::document const& config);

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

    protocol p;
    known_names names;
    decisions::local_loads own;
    std::vector<decisions::compact_load> spread_loads; ///< Last spread ones.
    time_point spread_at{};
    counter_set counted;
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

/// Sends the datagrams and tells the other services what changed.
void publish(members_core& core, protocol_output const& out);

/// Spreads the own loads if they differ from the last ones or are due.
void spread_own_loads(members_core& core);

/// Binds the socket and begins to receive; false when it can't.
bool open_socket(members_core& core, endpoint const& at);

} // namespace bramleyarch::services

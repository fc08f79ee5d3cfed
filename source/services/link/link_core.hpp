/// State and functions that the source files of the link service share.
#pragma once

#include "common/counters.hpp"
#include "common/event.hpp"
#include "services/link/connection.hpp"
#include "services/link/link_service.hpp"
#include "services/messages/configuration.hpp"
#include "services/messages/members.hpp"
#include "services/messages/owner.hpp"
#include "services/messages/routing.hpp"
#include "services/messages/timeline.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bramleyarch::services
{

struct peer_address
{
    endpoint link;
    incarnation started = 0;
};

/// Delay before the next attempt to connect to an unreachable router.
struct backoff
{
    time_point retry_at{};
    duration delay{};
};

struct link_core
{
    link_options options;
    runtime_clock const* clock = nullptr;
    kernel::address<routing_message> routing;
    kernel::address<owner_message> owner;
    kernel::address<members_message> members;
    kernel::address<configuration_message> configuration;
    kernel::address<timeline_message> timeline;
    kernel::address<metrics_message> metrics;

    std::vector<char> read_buffer; ///< Shared by all connections.
    counter_set counters;
    std::vector<duration> round_trips;
    time_point last_tick_at{};
    time_point last_report_at{};
    std::unordered_map<router_id, peer_address> peers;
    std::unordered_map<router_id, backoff> backoffs;

    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work{io.get_executor()};
    boost::asio::ip::tcp::acceptor acceptor{io};
    std::unordered_map<router_id, connection_ptr> outgoing;
    std::unordered_map<router_id, connection_ptr> incoming;
    /// Accepted connections whose hello has not arrived.
    std::vector<connection_ptr> unidentified;
};

inline time_point now(link_core const& core)
{
    return bramleyarch::now(*core.clock);
}

enum class close_cause : std::uint8_t
{
    refused, ///< The connection could not be established in time.
    closed_by_peer,
    silent,
    protocol_error,
    queue_full,
    replaced,
    idle, ///< The connection was unused for the idle limit.
    stopped,
};

constexpr auto enum_names(close_cause)
{
    using cause = close_cause;
    using row = enum_name<close_cause>;
    return std::array{
        row{cause::refused, "refused"},
        row{cause::closed_by_peer, "closed_by_peer"},
        row{cause::silent, "silent"},
        row{cause::protocol_error, "protocol_error"},
        row{cause::queue_full, "queue_full"},
        row{cause::replaced, "replaced"},
        row{cause::idle, "idle"},
        row{cause::stopped, "stopped"},
    };
}

/// Handles a received frame. Returns false if it violates the protocol.
bool handle_frame(link_core& core, connection_ptr const& link,
                  wire::frame what);

/// Closes a connection and reports to the services which requests were lost.
/// Reopens an outgoing connection at once if the peer may still be reachable.
void close_connection(link_core& core, connection_ptr const& link,
                      close_cause cause);

/// Reports to routing that an offer was not sent, so that it can be offered
/// elsewhere.
void reject_unsent_offer(link_core& core, router_id const& to,
                         unsent_offer const& offered, error_kind cause);

/// Sends the heartbeats that are due, closes connections that exceed their
/// limits, and reports the metrics. Called about ten times a second.
void maintain_links(link_core& core);

/// Records an event of the link to `peer` on the time line.
void record_link_event(link_core& core, event_kind kind, router_id const& peer,
                       std::string_view cause);

} // namespace bramleyarch::services

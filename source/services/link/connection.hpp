/// A TCP connection between two routers: its state and its input and output.
#pragma once

#include "common/enum_names.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"
#include "services/messages/owner.hpp"
#include "wire/frames.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace bramleyarch::services
{

struct link_core;

enum class link_direction : std::uint8_t
{
    outgoing, ///< Opened by this router; sends requests, receives replies.
    incoming, ///< Opened by the peer; receives requests, sends replies.
};

constexpr auto enum_names(link_direction)
{
    return std::array{
        enum_name<link_direction>{link_direction::outgoing, "outgoing"},
        enum_name<link_direction>{link_direction::incoming, "incoming"},
    };
}

enum class link_phase : std::uint8_t
{
    connecting,
    /// The peer's hello has not arrived; only the own hello may be sent.
    awaiting_hello,
    open,
    closed,
};

/// Identifies an offer that has not been passed to the socket.
struct unsent_offer
{
    attempt_id attempt;
    server_id server;
};

struct connection
{
    link_direction direction;
    link_phase phase;
    boost::asio::ip::tcp::socket socket;
    /// Empty on an accepted connection until the hello arrives.
    router_id peer;
    incarnation peer_started = 0;
    std::string partial_frame; ///< Received bytes of an incomplete frame.
    /// Frames to be sent once the connection is open.
    std::deque<wire::frame> queued_frames;
    std::size_t queued_frames_bytes = 0;
    std::string pending; ///< Encoded frames for the next write.
    std::vector<unsent_offer> unsent_offers; ///< Offers encoded in `pending`.
    std::string writing; ///< Bytes of the write in progress.
    bool flush_posted = false;
    std::unordered_set<attempt_id> in_flight;
    time_point created_at{};
    time_point received_at{};
    time_point sent_at{};
    time_point heartbeat_at{};
    /// Start of the current period with requests in flight.
    time_point busy_since{};
    /// Time of the last message other than a heartbeat.
    time_point last_used_at{};
    std::uint64_t heartbeat_number = 0;
    bool reopened = false; ///< Replaces a lost connection.
    /// Time at which another connection reached its silence limit, which makes
    /// this one suspect until it receives something.
    time_point suspected_at{};
};

using connection_ptr = std::shared_ptr<connection>;

/// Starts to open an outgoing connection to `peer` at the address `to`.
connection_ptr open_connection(link_core& core, router_id const& peer,
                               endpoint const& to);

/// Accepts connections until the acceptor is closed.
void accept_connections(link_core& core);

/// Encodes a frame and schedules the write of all pending frames. Closes the
/// connection if more bytes are queued than the options allow. An offer that
/// cannot be encoded is rejected as too large.
void queue_frame(link_core& core, connection_ptr const& link,
                 wire::frame const& what);

/// Sends a frame, or queues it until the connection is open.
void send_when_open(link_core& core, connection_ptr const& link,
                    wire::frame what);

/// Marks the connection open and sends the frames queued until then.
void mark_open(link_core& core, connection_ptr const& link);

} // namespace bramleyarch::services

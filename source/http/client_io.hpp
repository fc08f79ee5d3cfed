/// Requests and connections of the HTTP client; used by its own files only.
#pragma once

#include "http/client.hpp"
#include "http/message.hpp"
#include "net/tcp.hpp"

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace bramleyarch::http
{

enum class stream_stage
{
    connecting,
    sending, ///< From here on bytes of the request may have left.
    answering,
};

/// One connection to a server and the request that uses it, if any.
struct server_connection
{
    std::uint64_t serial = 0;
    endpoint to;
    net::connection* socket = nullptr; ///< Null once it is closed.
    message_parser parser;
    bool kept = false;       ///< Has served a request before.
    time_point idle_since{}; ///< Between requests.
    duration idle_limit{};   ///< The server's own limit, or ours.
    kernel::timer_id timer = 0;

    bool busy = false;
    bool checking = false; ///< Busy without a request.
    client_request request;
    stream_stage stage = stream_stage::connecting;
    time_point active_at{}; ///< Last byte, or start.
    std::uint64_t credit = 0;
    std::uint64_t body_bytes = 0; ///< Of the current answer.
    std::string held; ///< Received and not handed out for want of credit.
    bool peer_closed = false; ///< While bytes are held.
    bool paused = false;
};

struct client
{
    client_options options;
    net::loop_ptr loop;
    std::unordered_map<std::uint64_t, std::unique_ptr<server_connection>>
        connections;                                          ///< By serial.
    std::unordered_map<std::uint64_t, std::uint64_t> serials; ///< By id.
    std::map<endpoint, std::deque<std::uint64_t>> idle;       ///< Newest last.
    std::deque<client_event> events;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    bool delivery_due = false;
    std::uint64_t last_serial = 0;
};

/// Queues an event; it is delivered at the end of the loop's turn.
void report(client& c, client_event event);

/// Reports what a check found, at the end of the loop's turn.
void report_check(client& c, server_checked found);

/// Takes the newest usable kept connection to the request's server, or opens
/// one; null when none can be had.
result<server_connection*> connection_for(client& c,
                                          client_request const& request);

/// Opens a connection of its own; null when none can be had.
result<server_connection*> open_connection(client& c, endpoint const& to,
                                           duration connect_limit);

/// Writes the request of a connection that stands.
void send_request(client& c, server_connection& s);

/// Hands out what credit allows of the bytes received.
void read_answer(client& c, server_connection& s);

/// Reports a failure of the connection's request and closes the connection.
void end_failed(client& c, server_connection& s, error cause);

/// Closes and forgets the connection.
void drop(client& c, server_connection& s);

} // namespace bramleyarch::http

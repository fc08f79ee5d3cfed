/// Connections of the HTTP server; used by its own files only.
#pragma once

#include "http/message.hpp"
#include "http/server.hpp"
#include "net/tcp.hpp"

#include <deque>
#include <memory>
#include <unordered_map>

namespace bramleyarch::http
{

/// What the account of memory knows of a connection.
struct caller_memory
{
    std::uint32_t address = 0;
    std::size_t held = 0;     ///< Bytes.
    time_point moved{};       ///< The caller made progress last.
    std::size_t moved_by = 0; ///< Bytes that do not count as progress yet.
    std::size_t head = 0;     ///< Whole head of the request.
    std::size_t request = 0;  ///< Body of the request that is being answered.
    bool paused = false;      ///< Not read for want of memory.
    bool preferred = false;   ///< Read to the end of its request.
};

/// Account of the memory that is held for callers.
struct server_memory
{
    std::size_t held = 0;
    std::unordered_map<std::uint32_t, std::size_t> by_address;
    std::deque<std::uint64_t> paused; ///< Serials, in order.
    kernel::timer_id timer = 0;       ///< Set while memory is short.
};

/// One caller's connection. At most one exchange is open at a time.
struct caller_connection
{
    server* owner = nullptr;
    std::uint64_t serial = 0;
    net::connection* socket = nullptr;
    message_parser parser;
    std::string body;    ///< Of the request that is being read.
    std::string pending; ///< Received while an exchange was open.
    caller_memory memory;
    time_point since{}; ///< Last progress of what the connection waits for.
    time_point armed{}; ///< When the timer is due.
    kernel::timer_id timer = 0;
    bool reading_off = false;
    bool answered = false; ///< An earlier request of this connection.

    exchange_id exchange = 0; ///< 0: none.
    bool refused = false;     ///< Not acceptable: close after the answer.
    std::optional<answer_start> start;
    bool chunked = false;
    bool bodyless = false;
    bool ended = false;
    bool broken = false;      ///< Close without an end.
    bool close_after = false; ///< After the answer or at once if idle.
    /// The head of the answer says that the connection closes after it.
    bool close_stated = false;
    std::uint64_t body_total = 0;
    std::size_t body_queued = 0; ///< Body bytes that the socket did not take.
};

struct server
{
    server_options options;
    net::loop_ptr loop;
    net::listener* listener = nullptr;
    std::unordered_map<std::uint64_t, std::unique_ptr<caller_connection>>
        connections;                                          ///< By serial.
    std::unordered_map<exchange_id, std::uint64_t> exchanges; ///< To serial.
    std::deque<server_event> events;
    server_memory memory;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    bool delivery_due = false;
    bool reuse_ended = false;
    std::uint64_t last_serial = 0;
    exchange_id last_exchange = 0;
};

/// Queues an event; it is delivered at the end of the loop's turn.
void report(server& s, server_event event);

/// Connection of an exchange; null when it is over.
caller_connection* connection_of(server& s, exchange_id id);

/// Handlers of a new connection.
net::connection_events accept_caller(server& s, net::connection& socket);

/// Returns whether a part of another request was read behind the one that is
/// being answered. Empty lines before a request are no part of it.
bool has_next_request(caller_connection const& c);

/// Returns whether only a part of a request has arrived.
bool is_unfinished(caller_connection const& c);

/// Reports a request that is not acceptable. Its connection is not read any
/// more, and closes after the answer.
void refuse_request(server& s, caller_connection& c, error cause);

/// Ends a connection whose caller has stalled, telling the exchange's user.
void abandon(server& s, caller_connection& c);

/// Closes the connection and forgets it with its exchange.
void drop(server& s, caller_connection& c);

/// The answer was written to its end: closes the connection or reads the next
/// request.
void finish_exchange(server& s, caller_connection& c);

/// What the connection waits for has begun anew.
void restart_timer(server& s, caller_connection& c);

} // namespace bramleyarch::http

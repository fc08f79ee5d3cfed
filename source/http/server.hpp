/// HTTP/1.1 server on a loop: whole requests in, streamed answers out, bounded
/// in header size, body size, connections and waiting. Connections are kept
/// for further requests, which are handed out one at a time.
#pragma once

#include "common/enum_names.hpp"
#include "common/error.hpp"
#include "common/ids.hpp"
#include "common/request.hpp"
#include "common/time.hpp"
#include "decisions/memory_budget.hpp"
#include "net/loop.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bramleyarch::http
{

/// Names one request and its answer; never used again by a server.
using exchange_id = std::uint64_t;

/// A request that was read to its end.
struct request_received
{
    exchange_id id = 0;
    std::string method;
    std::string target; ///< Path and query as they came.
    /// Lower-case names; those of one connection are left out.
    std::vector<header_field> headers;
    std::shared_ptr<std::string const> body;
};

/// A request that is not acceptable as HTTP. Answer it like any other.
struct request_refused
{
    exchange_id id = 0;
    error cause;
};

/// The caller's connection took `bytes` of the answer's body.
struct bytes_taken
{
    exchange_id id = 0;
    std::size_t bytes = 0;
};

/// The whole answer was handed to the connection.
struct answer_sent
{
    exchange_id id = 0;
};

/// The connection closed before the answer was sent.
struct caller_left
{
    exchange_id id = 0;
};

/// A connection was accepted, or refused since there are too many.
struct connection_accepted
{
};
struct connection_refused
{
};

/// Why the server acted on a connection to save memory or descriptors.
enum class relief : std::uint8_t
{
    reading_paused,  ///< Its unfinished request is not read for a time.
    request_refused, ///< Its new request was refused.
    body_stalled,    ///< It stopped sending an unfinished request: refused.
    answer_stalled,  ///< It stopped reading its answer: closed.
    idle_closed,     ///< It was idle while another caller found no room.
};

constexpr auto enum_names(relief)
{
    using row = enum_name<relief>;
    return std::array{
        row{relief::reading_paused, "reading_paused"},
        row{relief::request_refused, "request_refused"},
        row{relief::body_stalled, "body_stalled"},
        row{relief::answer_stalled, "answer_stalled"},
        row{relief::idle_closed, "idle_closed"},
    };
}

/// Memory or descriptors are short. Sizes in bytes.
struct relief_taken
{
    relief what = relief::reading_paused;
    std::uint32_t address = 0; ///< IPv4 address of the caller.
    std::size_t by_caller = 0; ///< Held for the connection.
    std::size_t by_address = 0;
    std::size_t held = 0; ///< For all connections.
    duration stalled{};   ///< Since the caller made progress.
};

using server_event =
    std::variant<request_received, request_refused, bytes_taken, answer_sent,
                 caller_left, connection_accepted, connection_refused,
                 relief_taken>;

struct server;

struct server_options
{
    /// Called from `wait`, on its thread.
    std::function<void(server_event)> on_event;
    net::loop_ptr loop; ///< Null: a loop of its own.
    endpoint listen;    ///< Port 0: any free port.
    std::size_t max_connections = 4096;
    std::size_t max_head_bytes = 16U << 10;
    std::size_t max_body_bytes = 1U << 20;
    duration head_limit = std::chrono::seconds{10}; ///< To read a head.
    duration body_limit = std::chrono::seconds{30}; ///< To read a body.
    /// For a caller to take the next bytes of its answer.
    duration write_limit = std::chrono::seconds{60};
    /// For the next request of a kept connection to begin.
    duration idle_limit = std::chrono::seconds{60};
    decisions::memory_budget memory; ///< Default: unbounded.
    /// Time without progress after which a connection may be closed, and only
    /// while memory or descriptors are short.
    duration stalled_after = std::chrono::seconds{2};
    /// Bytes sent or read that count as progress within `stalled_after`.
    std::size_t min_progress_bytes = 1024;
};

struct server_deleter
{
    void operator()(server* s) const;
};
using server_ptr = std::unique_ptr<server, server_deleter>;

/// Listens; fails with `io_failure`.
result<server_ptr> make_server(server_options options);

/// The bound port.
std::uint16_t port_of(server const& s);

/// Sets the limit for requests that are read from now on.
void limit_body(server& s, std::size_t max_body_bytes);

/// What a caller may send and how long it may take, from now on.
struct caller_limits
{
    std::size_t max_head_bytes = 16U << 10;
    std::size_t max_body_bytes = 1U << 20;
    duration head_limit = std::chrono::seconds{10};
    duration idle_limit = std::chrono::seconds{60};
};

void limit_callers(server& s, caller_limits const& limits);

/// From now on each answer closes its connection.
void end_reuse(server& s);

/// Closes the kept connections that wait for a request.
void close_idle(server& s);

/// Refuses the requests of which only a part has arrived.
void refuse_unfinished(server& s, error const& cause);

/// Head of an answer. Without a length the body goes out in chunks.
struct answer_start
{
    int status = 200;
    std::vector<header_field> headers;
    std::optional<std::uint64_t> length;
};

/// Starts, continues and ends an answer; unknown exchanges are ignored. An
/// answer whose bytes differ from its stated length is aborted; `caller_left`
/// follows if they exceed it.
void start_answer(server& s, exchange_id id, answer_start start);
void send_bytes(server& s, exchange_id id, std::string_view bytes);
void end_answer(server& s, exchange_id id);

/// Sends what is queued, then closes the connection without an end, so that
/// the answer is seen as incomplete.
void break_answer(server& s, exchange_id id);

/// A whole answer at once.
void send_answer(server& s, exchange_id id, answer_start start,
                 std::string_view body);

/// Answer bytes that wait for the exchange's caller.
std::size_t queued_bytes(server const& s, exchange_id id);

/// Memory that is held for all callers, in bytes.
std::size_t held_bytes(server const& s);

/// Exchanges whose answer is not sent yet.
std::size_t open_exchanges(server const& s);

/// Requests of which only a part has arrived.
std::size_t unfinished_requests(server const& s);

/// Handles socket events until `limit` has passed, an event was handled or
/// `wake` was called.
void wait(server& s, duration limit);

/// Ends the current or next `wait`; from any thread.
void wake(server& s);

} // namespace bramleyarch::http

/// HTTP/1.1 client on a loop: many streamed requests, never resent, with back
/// pressure. Connections are kept per server, one request at a time on each.
#pragma once

#include "common/answer_progress.hpp"
#include "common/error.hpp"
#include "common/ids.hpp"
#include "common/request.hpp"
#include "common/time.hpp"
#include "net/loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bramleyarch::http
{

/// A request to send. Header names are lower case; `content-length`,
/// `connection` and, if it is absent, `host` are set by the client.
struct client_request
{
    std::uint64_t id = 0; ///< Chosen by the user, unique while open.
    endpoint to;
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::shared_ptr<std::string const> body; ///< May be null.
    duration connect_limit = std::chrono::seconds{2};
    duration silence_limit = std::chrono::seconds{30}; ///< Between bytes.
    /// Answer bytes to read before `grant` is called.
    std::uint64_t credit = UINT64_MAX;
    /// May go on a connection that an earlier request left. A server can
    /// close such a connection while the request is on its way.
    bool may_reuse = false;
};

/// The connection stands; bytes of the request are about to be written.
struct request_sent
{
    std::uint64_t id = 0;
};

struct response_head
{
    std::uint64_t id = 0;
    int status = 0;
    std::vector<header_field> headers;   ///< Lower-case names.
    std::optional<std::uint64_t> length; ///< Stated length of the body.
};

struct response_bytes
{
    std::uint64_t id = 0;
    std::string bytes;
};

/// The body is complete by its length, its last chunk, or a close where the
/// protocol allows that.
struct response_end
{
    std::uint64_t id = 0;
    /// Only the close of the connection has ended the body, so a server that
    /// crashed may have cut it.
    bool by_close = false;
};

struct response_failed
{
    std::uint64_t id = 0;
    error cause;
    bool sent = true; ///< False: no byte of the request can have left.
    /// It went on a kept connection and no byte of an answer came.
    bool kept_connection = false;
    answer_progress progress = answer_progress::none;
};

/// What a check of a server found.
struct server_checked
{
    std::uint64_t id = 0;
    bool reachable = false;
    /// False if this process could open no connection, which says nothing of
    /// the server.
    bool attempted = true;
};

using client_event = std::variant<request_sent, response_head, response_bytes,
                                  response_end, response_failed>;

struct client;

struct client_options
{
    /// Called from `wait`, on its thread. May call `open`, `grant` and
    /// `close` of the same client.
    std::function<void(client_event)> on_event;
    /// Gets what `check` found; may be empty where that is not used.
    std::function<void(server_checked)> on_checked;
    net::loop_ptr loop; ///< Null: a loop of its own.
    std::size_t max_connections = 4096;
    std::size_t max_idle_per_server = 32;
    /// For kept connections; a shorter time that the server states goes first.
    duration idle_limit = std::chrono::seconds{10};
};

struct client_deleter
{
    void operator()(client* c) const;
};
using client_ptr = std::unique_ptr<client, client_deleter>;

/// Creates a client; fails with `io_failure`.
result<client_ptr> make_client(client_options options);

/// Starts a request; its events follow from `wait`.
void open(client& c, client_request request);

/// Finds out whether a connection to a server can be opened within `limit`;
/// `on_checked` follows. The connection is kept for a request.
void check(client& c, std::uint64_t id, endpoint const& to, duration limit);

/// Allows `bytes` more of the answer to be read.
void grant(client& c, std::uint64_t id, std::uint64_t bytes);

/// Closes the request's stream; no event follows. Unknown ids are ignored.
void close(client& c, std::uint64_t id);

/// Handles socket events until `limit` has passed, an event was handled or
/// `wake` was called.
void wait(client& c, duration limit);

/// Ends the current or next `wait`; from any thread.
void wake(client& c);

} // namespace bramleyarch::http

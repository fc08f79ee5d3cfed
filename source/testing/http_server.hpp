/// Small HTTP/1.1 server for stand-ins, independent of the product's own
/// HTTP code. One thread runs all servers of a process.
#pragma once

#include <utility> // Missing in awaitable.hpp of Boost 1.74.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace bramleyarch::testing
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// A client's connection with the request that is being answered.
struct http_connection
{
    asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    /// Called once when the client closes while a request is answered.
    std::function<void()> on_gone;
    bool gone = false;
};

using connection_ptr = std::shared_ptr<http_connection>;

/// Answers one request; false closes the connection.
using http_handler = std::function<asio::awaitable<bool>(connection_ptr)>;

/// One listening port on 127.0.0.1.
struct http_listener
{
    explicit http_listener(asio::io_context& context);

    asio::io_context& io;
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t port = 0;
    http_handler handle;
    std::set<connection_ptr> open;
};

using listener_ptr = std::shared_ptr<http_listener>;

/// Listens on `port`, 0 for any free one. Throws when it is taken.
listener_ptr listen(asio::io_context& io, std::uint16_t port,
                    http_handler handle);

/// Refuses new connections and resets the open ones.
void stop_listening(http_listener& listener);

/// Closes the open connections and keeps listening.
void reset_connections(http_listener& listener);

/// Listens on the same port again.
void listen_again(listener_ptr const& listener);

using http_response = http::response<http::string_body>;

/// A response with `status` and a JSON body.
http_response json_response(unsigned status, std::string body);

/// Sends a complete response; false when the client has gone.
asio::awaitable<bool> send_response(connection_ptr c, http_response response);

/// Sends the head of a chunked response.
asio::awaitable<bool> send_stream_head(connection_ptr c,
                                       http_response response);

/// Sends one chunk; an empty one ends the response.
asio::awaitable<bool> send_chunk(connection_ptr c, std::string bytes);

/// Sleeps; returns early when `timer` is cancelled.
asio::awaitable<void> sleep(asio::steady_timer& timer,
                            std::chrono::nanoseconds length);

/// Value of a header, empty when it is absent.
std::string header(http_connection const& c, std::string_view name);

/// Path of the request, without the query.
std::string path_of(http_connection const& c);

} // namespace bramleyarch::testing

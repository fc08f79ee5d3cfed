#include "testing/http_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include <utility>

namespace bramleyarch::testing
{

namespace
{

using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t body_limit_bytes = 16U << 20;

/// Waits for the client to close while its request is answered. Bytes that
/// arrive belong to a next request and end the wait.
void watch_for_close(connection_ptr const& c)
{
    c->socket.async_wait(tcp::socket::wait_read,
                         [c](error_code error)
                         {
                             if (error == asio::error::operation_aborted)
                                 return;
                             error_code ignored;
                             if (!error && c->socket.available(ignored) > 0)
                                 return;
                             c->gone = true;
                             if (c->on_gone)
                                 std::exchange(c->on_gone, nullptr)();
                         });
}

asio::awaitable<bool> read_request(connection_ptr c)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(body_limit_bytes);
    error_code error;
    co_await http::async_read(c->socket, c->buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return false;
    c->request = parser.release();
    co_return true;
}

asio::awaitable<void> serve(listener_ptr listener, connection_ptr c)
{
    listener->open.insert(c);
    while (co_await read_request(c))
    {
        bool const keep_alive = c->request.keep_alive();
        watch_for_close(c);
        bool const answered = co_await listener->handle(c);
        c->on_gone = nullptr;
        if (!answered || !keep_alive || c->gone)
            break;
        error_code ignored;
        c->socket.cancel(ignored);
    }
    error_code ignored;
    c->socket.shutdown(tcp::socket::shutdown_both, ignored);
    c->socket.close(ignored);
    listener->open.erase(c);
}

asio::awaitable<void> accept_all(listener_ptr listener)
{
    while (listener->acceptor.is_open())
    {
        error_code error;
        auto socket = co_await listener->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        socket.set_option(tcp::no_delay{true}, error);
        auto c = std::make_shared<http_connection>(
            http_connection{.socket = std::move(socket)});
        asio::co_spawn(listener->io, serve(listener, c), asio::detached);
    }
}

void open_acceptor(listener_ptr const& listener)
{
    tcp::endpoint const at{asio::ip::address_v4::loopback(), listener->port};
    auto& acceptor = listener->acceptor;
    acceptor.open(at.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address{true});
    acceptor.bind(at);
    acceptor.listen();
    listener->port = acceptor.local_endpoint().port();
    asio::co_spawn(listener->io, accept_all(listener), asio::detached);
}

} // namespace

http_listener::http_listener(asio::io_context& context)
    : io(context), acceptor(context)
{
}

listener_ptr listen(asio::io_context& io, std::uint16_t port,
                    http_handler handle)
{
    auto listener = std::make_shared<http_listener>(io);
    listener->port = port;
    listener->handle = std::move(handle);
    open_acceptor(listener);
    return listener;
}

void reset_connections(http_listener& listener)
{
    for (auto const& c : listener.open)
    {
        error_code ignored;
        c->socket.set_option(asio::socket_base::linger{true, 0}, ignored);
        c->socket.close(ignored);
    }
}

void stop_listening(http_listener& listener)
{
    error_code ignored;
    listener.acceptor.close(ignored);
    reset_connections(listener);
}

void listen_again(listener_ptr const& listener)
{
    open_acceptor(listener);
}

http_response json_response(unsigned status, std::string body)
{
    http_response response;
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

asio::awaitable<bool> send_response(connection_ptr c, http_response response)
{
    response.keep_alive(c->request.keep_alive());
    response.prepare_payload();
    error_code error;
    co_await http::async_write(
        c->socket, response, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<bool> send_stream_head(connection_ptr c, http_response response)
{
    response.chunked(true);
    response.keep_alive(c->request.keep_alive());
    http::response_serializer<http::string_body> serializer{response};
    error_code error;
    co_await http::async_write_header(
        c->socket, serializer,
        asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<bool> send_chunk(connection_ptr c, std::string bytes)
{
    std::string const framed =
        fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
    error_code error;
    co_await asio::async_write(
        c->socket, asio::buffer(framed),
        asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<void> sleep(asio::steady_timer& timer,
                            std::chrono::nanoseconds length)
{
    timer.expires_after(length);
    error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

std::string header(http_connection const& c, std::string_view name)
{
    return std::string{c.request[{name.data(), name.size()}]};
}

std::string path_of(http_connection const& c)
{
    std::string const target{c.request.target()};
    return target.substr(0, target.find('?'));
}

} // namespace bramleyarch::testing

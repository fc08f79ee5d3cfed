#include "raw_server.hpp"

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <mutex>
#include <thread>

namespace bramleyarch::testing
{

namespace asio = boost::asio;
using asio::ip::tcp;

struct raw_server::impl
{
    raw_script script;
    asio::io_context io;
    tcp::acceptor acceptor{io, {asio::ip::address_v4::loopback(), 0}};
    mutable std::mutex mutex;
    std::vector<std::string> requests;
    std::list<tcp::socket> sockets;
    std::vector<std::thread> threads;
    std::size_t closed_by_peer = 0;
    std::atomic<bool> stopping{false};
    std::thread accepting;
};

namespace
{

/// Length of the body that the head announces.
std::size_t body_length(std::string const& head)
{
    std::string const name = "content-length: ";
    auto const at = head.find(name);
    return at == std::string::npos ? 0
                                   : std::stoul(head.substr(at + name.size()));
}

bool is_whole(std::string const& text)
{
    auto const end = text.find("\r\n\r\n");
    return end != std::string::npos &&
           text.size() >= end + 4 + body_length(text.substr(0, end + 2));
}

std::string read_request(tcp::socket& socket)
{
    std::string text;
    boost::system::error_code failed;
    std::array<char, 4096> buffer;
    while (!failed && !is_whole(text))
        text.append(buffer.data(),
                    socket.read_some(asio::buffer(buffer), failed));
    return text;
}

void serve(raw_server::impl& server, tcp::socket& socket);

} // namespace

static void accept_all(raw_server::impl& server);

raw_server::raw_server(raw_script script) : impl_{std::make_unique<impl>()}
{
    impl_->script = std::move(script);
    impl_->accepting = std::thread{[this] { accept_all(*impl_); }};
}

raw_server::~raw_server()
{
    impl_->stopping = true;
    boost::system::error_code ignored;
    tcp::socket wake{impl_->io};
    wake.connect(impl_->acceptor.local_endpoint(), ignored);
    impl_->accepting.join();
    {
        std::lock_guard const lock{impl_->mutex};
        for (auto& socket : impl_->sockets)
            socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
    for (auto& thread : impl_->threads)
        thread.join();
}

std::uint16_t raw_server::port() const
{
    return impl_->acceptor.local_endpoint().port();
}

std::vector<std::string> raw_server::requests() const
{
    std::lock_guard const lock{impl_->mutex};
    return impl_->requests;
}

std::size_t raw_server::closed_by_peer() const
{
    std::lock_guard const lock{impl_->mutex};
    return impl_->closed_by_peer;
}

static void accept_all(raw_server::impl& server)
{
    while (!server.stopping)
    {
        boost::system::error_code failed;
        tcp::socket accepted{server.io};
        server.acceptor.accept(accepted, failed);
        if (failed || server.stopping)
            continue;
        std::lock_guard const lock{server.mutex};
        auto& socket = server.sockets.emplace_back(std::move(accepted));
        server.threads.emplace_back([&server, &socket]
                                    { serve(server, socket); });
    }
}

namespace
{

void hold(raw_server::impl& server, tcp::socket& socket)
{
    boost::system::error_code failed;
    std::array<char, 4096> buffer;
    while (!failed)
        socket.read_some(asio::buffer(buffer), failed);
    std::lock_guard const lock{server.mutex};
    ++server.closed_by_peer;
}

std::string request_id_of(std::string const& request)
{
    std::string const name = "x-bramleyarch-request-id: ";
    auto const at = request.find(name);
    if (at == std::string::npos)
        return {};
    auto const begin = at + name.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

/// Returns false once the peer has closed the connection.
bool write_part(tcp::socket& socket, std::string part, std::string const& id)
{
    std::string const placeholder = "{id}";
    for (auto at = part.find(placeholder); at != std::string::npos;
         at = part.find(placeholder))
        part.replace(at, placeholder.size(), id);
    boost::system::error_code failed;
    asio::write(socket, asio::buffer(part), failed);
    return !failed;
}

/// Reads a request, if the script says so, and answers it.
ending serve_once(raw_server::impl& server, tcp::socket& socket)
{
    std::string request;
    if (server.script.read_request)
    {
        request = read_request(socket);
        if (!is_whole(request))
            return ending::close;
        std::lock_guard const lock{server.mutex};
        server.requests.push_back(request);
    }
    raw_reply reply{.parts = server.script.parts, .then = server.script.then};
    for (auto const& candidate : server.script.replies)
    {
        if (request.find(candidate.when) == std::string::npos)
            continue;
        reply = candidate;
        break;
    }
    auto const id = request_id_of(request);
    for (auto const& part : reply.parts)
        write_part(socket, part, id);
    while (reply.endless && write_part(socket, reply.parts.back(), id))
    {
    }
    return reply.then;
}

void serve(raw_server::impl& server, tcp::socket& socket)
{
    auto then = serve_once(server, socket);
    while (then == ending::keep)
        then = serve_once(server, socket);
    if (then == ending::hold)
        hold(server, socket);
    std::this_thread::sleep_for(server.script.pause);
    boost::system::error_code failed;
    std::lock_guard const lock{server.mutex};
    if (then == ending::reset)
        socket.set_option(asio::socket_base::linger{true, 0}, failed);
    else
        socket.shutdown(tcp::socket::shutdown_both, failed);
    socket.close(failed);
}

} // namespace

std::string plain_answer(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"
           "x-bramley-test: yes\r\ncontent-length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace bramleyarch::testing

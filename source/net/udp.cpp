#include "net/udp.hpp"

#include "net/address.hpp"

#include <array>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace bramleyarch::net
{

struct datagram_socket
{
    loop* event_loop = nullptr;
    watched* polled = nullptr;
    std::uint16_t port = 0;
    std::function<void(endpoint, std::string_view)> received;
};

namespace
{

constexpr std::size_t max_datagram_bytes = 64U << 10;
constexpr int max_datagrams_per_event = 64;

void on_readable(datagram_socket& socket)
{
    std::array<char, max_datagram_bytes> bytes;
    for (int i = 0; i < max_datagrams_per_event; ++i)
    {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        auto const received = ::recvfrom(
            descriptor_of(*socket.polled), bytes.data(), bytes.size(),
            MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &size);
        if (received < 0)
            return;
        std::array<char, INET_ADDRSTRLEN> address{};
        inet_ntop(AF_INET, &from.sin_addr, address.data(), address.size());
        socket.received({address.data(), ntohs(from.sin_port)},
                        {bytes.data(), static_cast<std::size_t>(received)});
    }
}

} // namespace

result<datagram_socket*>
open_datagrams(loop& event_loop, endpoint const& at,
               std::function<void(endpoint, std::string_view)> received)
{
    auto const address = to_sockaddr(at);
    if (!address)
        return fail(error_kind::io_failure,
                    at.address + " is not an IPv4 address");
    int const descriptor =
        ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return fail(error_kind::io_failure, "can't create a socket");
    if (::bind(descriptor, reinterpret_cast<sockaddr const*>(&*address),
               sizeof *address) != 0)
    {
        ::close(descriptor);
        return fail(error_kind::io_failure, "can't bind");
    }
    auto* const made = new datagram_socket{.event_loop = &event_loop,
                                           .port = bound_port(descriptor),
                                           .received = std::move(received)};
    made->polled = watch(event_loop, descriptor,
                         [made](readiness what)
                         {
                             if (what == readiness::readable)
                                 on_readable(*made);
                         });
    if (made->polled)
        return made;
    delete made;
    return fail(error_kind::io_failure, "can't poll the socket");
}

std::uint16_t port_of(datagram_socket const& socket)
{
    return socket.port;
}

bool send(datagram_socket& socket, endpoint const& to, std::string_view bytes)
{
    auto const address = to_sockaddr(to);
    if (!address)
        return false;
    auto const sent =
        ::sendto(descriptor_of(*socket.polled), bytes.data(), bytes.size(),
                 MSG_DONTWAIT | MSG_NOSIGNAL,
                 reinterpret_cast<sockaddr const*>(&*address), sizeof *address);
    return sent == static_cast<ssize_t>(bytes.size());
}

void close(datagram_socket& socket)
{
    unwatch(*socket.polled);
    defer(*socket.event_loop, [&socket] { delete &socket; });
}

} // namespace bramleyarch::net

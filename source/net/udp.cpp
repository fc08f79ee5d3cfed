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
    loop* owner = nullptr;
    watched* socket = nullptr;
    std::uint16_t port = 0;
    std::function<void(endpoint, std::string_view)> received;
};

namespace
{

constexpr std::size_t max_datagram = 64U << 10;
constexpr int datagrams_per_turn = 64;

void on_readable(datagram_socket& s)
{
    std::array<char, max_datagram> bytes;
    for (int i = 0; i < datagrams_per_turn; ++i)
    {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        auto const got =
            ::recvfrom(descriptor_of(*s.socket), bytes.data(), bytes.size(),
                       MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &size);
        if (got < 0)
            return;
        std::array<char, INET_ADDRSTRLEN> text{};
        inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
        s.received({text.data(), ntohs(from.sin_port)},
                   {bytes.data(), static_cast<std::size_t>(got)});
    }
}

} // namespace

result<datagram_socket*>
open_datagrams(loop& l, endpoint const& at,
               std::function<void(endpoint, std::string_view)> received)
{
    auto const address = to_sockaddr(at);
    if (!address)
        return fail(error_kind::io_failure, at.address + ": no IPv4 address");
    int const descriptor =
        ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return fail(error_kind::io_failure, "no socket");
    if (::bind(descriptor, reinterpret_cast<sockaddr const*>(&*address),
               sizeof *address) != 0)
    {
        ::close(descriptor);
        return fail(error_kind::io_failure, "can't bind");
    }
    auto* const made = new datagram_socket{.owner = &l,
                                           .port = bound_port(descriptor),
                                           .received = std::move(received)};
    made->socket = watch(l, descriptor,
                         [made](readiness what)
                         {
                             if (what == readiness::readable)
                                 on_readable(*made);
                         });
    if (made->socket)
        return made;
    delete made;
    return fail(error_kind::io_failure, "can't poll the socket");
}

std::uint16_t port_of(datagram_socket const& s)
{
    return s.port;
}

bool send(datagram_socket& s, endpoint const& to, std::string_view bytes)
{
    auto const address = to_sockaddr(to);
    if (!address)
        return false;
    auto const sent =
        ::sendto(descriptor_of(*s.socket), bytes.data(), bytes.size(),
                 MSG_DONTWAIT | MSG_NOSIGNAL,
                 reinterpret_cast<sockaddr const*>(&*address), sizeof *address);
    return sent == static_cast<ssize_t>(bytes.size());
}

void close(datagram_socket& s)
{
    unwatch(*s.socket);
    defer(*s.owner, [&s] { delete &s; });
}

} // namespace bramleyarch::net

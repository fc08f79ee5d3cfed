/// Conversions between endpoints and IPv4 socket addresses. Internal to this
/// package.
#pragma once

#include "common/ids.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <optional>

namespace bramleyarch::net
{

/// Returns std::nullopt if the address of `at` is not an IPv4 address.
inline std::optional<sockaddr_in> to_sockaddr(endpoint const& at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    if (inet_pton(AF_INET, at.address.c_str(), &address.sin_addr) != 1)
        return std::nullopt;
    return address;
}

/// Returns the local port of a socket, or 0 if it can't be determined.
inline std::uint16_t bound_port(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) !=
        0)
        return 0;
    return ntohs(address.sin_port);
}

} // namespace bramleyarch::net

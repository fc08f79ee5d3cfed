#include "caller_crowd.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace bramleyarch::process_test
{

namespace
{

/// Bytes that a caller sends in one step, so that all callers advance together.
constexpr std::size_t max_step_bytes = 64U << 10;

/// Receive buffer of a caller that does not read, so that the bytes stay with
/// the router.
constexpr int small_buffer_bytes = 4096;

int open_connection(crowd_options const& options)
{
    int const descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0)
        return -1;
    if (!options.reads)
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes,
                     sizeof small_buffer_bytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor, reinterpret_cast<sockaddr const*>(&address),
                  sizeof address) == 0 ||
        errno == EINPROGRESS)
        return descriptor;
    ::close(descriptor);
    return -1;
}

void close_connection(crowd_caller& caller)
{
    ::close(caller.descriptor);
    caller.descriptor = -1;
}

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN;
}

/// Returns the bytes that a caller sends next; empty after the last one.
std::string_view next_bytes(crowd_options const& options, std::size_t sent)
{
    std::string_view const head = options.head;
    if (sent < head.size())
        return head.substr(sent);
    if (options.block.empty())
        return {};
    auto const in_blocks = sent - head.size();
    if (in_blocks / options.block.size() >= options.blocks)
        return {};
    return std::string_view{options.block}.substr(in_blocks %
                                                  options.block.size());
}

void write_some(crowd_options const& options, crowd_caller& caller)
{
    std::size_t const most =
        options.bytes_per_write > 0 ? options.bytes_per_write : max_step_bytes;
    for (std::size_t written = 0; written < most;)
    {
        auto const bytes =
            next_bytes(options, caller.sent).substr(0, most - written);
        if (bytes.empty())
            return;
        auto const sent =
            ::send(caller.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0)
        {
            if (!would_block())
                close_connection(caller);
            return;
        }
        caller.sent += static_cast<std::size_t>(sent);
        written += static_cast<std::size_t>(sent);
    }
}

void read_some(crowd_caller& caller)
{
    std::array<char, 16384> bytes;
    auto const size =
        ::recv(caller.descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size == 0 || (size < 0 && !would_block()))
        close_connection(caller);
}

} // namespace

caller_crowd::caller_crowd(crowd_options of)
    : options{std::move(of)}, callers(options.callers)
{
    for (auto& caller : callers)
        caller.descriptor = open_connection(options);
}

caller_crowd::~caller_crowd()
{
    for (auto& caller : callers)
    {
        if (caller.descriptor >= 0)
            ::close(caller.descriptor);
    }
}

void step(caller_crowd& crowd)
{
    for (auto& caller : crowd.callers)
    {
        if (caller.descriptor >= 0)
            write_some(crowd.options, caller);
        if (caller.descriptor >= 0 && crowd.options.reads)
            read_some(caller);
    }
}

std::size_t open_callers(caller_crowd const& crowd)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(crowd.callers, [](crowd_caller const& caller)
                              { return caller.descriptor >= 0; }));
}

} // namespace bramleyarch::process_test

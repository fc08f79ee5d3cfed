/// Many callers of one router on raw sockets, each of which sends the same
/// bytes and never blocks the test.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bramleyarch::process_test
{

/// What each caller of a crowd does.
struct crowd_options
{
    std::uint16_t port = 0; ///< On 127.0.0.1.
    std::size_t callers = 0;
    std::string head;                ///< Sent first.
    std::string block;               ///< Sent `blocks` times after the head.
    std::size_t blocks = 0;          ///< SIZE_MAX: without end.
    std::size_t bytes_per_write = 0; ///< 0: as many as the socket takes.
    bool reads = true;               ///< Reads answers and drops their bytes.
};

struct crowd_caller
{
    int descriptor = -1; ///< -1: closed by the router, or not accepted.
    std::size_t sent = 0;
};

/// Closes its connections when it goes away.
struct caller_crowd
{
    explicit caller_crowd(crowd_options of);
    ~caller_crowd();
    caller_crowd(caller_crowd const&) = delete;
    caller_crowd& operator=(caller_crowd const&) = delete;

    crowd_options options;
    std::vector<crowd_caller> callers;
};

/// Lets each caller write and read once as far as its socket allows.
void step(caller_crowd& crowd);

/// Returns the number of connections that the router has not closed.
std::size_t open_callers(caller_crowd const& crowd);

} // namespace bramleyarch::process_test

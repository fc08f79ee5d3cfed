/// How much of the traffic asks for one prompt.
///
/// Callers reach routers at random, so that a router's own requests are a
/// sample of all. From it each router finds by itself over how many servers a
/// hot prompt has to be spread. Loads of the servers alone would not do: they
/// are told late, so that many routers would move to the same server at once.
#pragma once

#include "common/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace bramleyarch::decisions
{

struct hot_prompt_options
{
    /// Requests older than this are left out: a prompt cools down in seconds.
    duration window = std::chrono::seconds{5};
    /// A prompt with fewer requests is not hot: of some fifty requests, evenly
    /// spread over hundreds of prompts, few ask for the same more often.
    std::size_t least_requests = 4;
    /// Part of a server's room that a hot prompt is given. Requests come
    /// unevenly: of twice as many, a fifth would find more than the room.
    double room_part = 0.5;
};

/// The latest requests for prompts of one service.
struct recent_prompts
{
    static constexpr std::size_t samples = 64;
    struct sample
    {
        std::uint64_t prompt = 0;
        time_point at{};
    };
    std::array<sample, samples> latest{};
    std::size_t count = 0; ///< Of all; the next one takes `count % samples`.
};

void record_prompt(recent_prompts& heat, std::uint64_t prompt, time_point at);

/// Part of the requests that ask for the prompt, 0 to 1; 0 if it is not hot.
double request_share(recent_prompts const& heat, std::uint64_t prompt,
                     time_point at, hot_prompt_options const& options);

/// Servers over which a prompt with this part of the requests is spread, at
/// least 1. `running` is the number of requests at all servers of the service,
/// `room` the number that one server can hold beside its other requests.
std::size_t replica_count(double share, double running, double room,
                          hot_prompt_options const& options);

} // namespace bramleyarch::decisions

/// Detection of hot prompts: prompts that a large fraction of the requests ask
/// for.
///
/// Callers choose routers at random, so the requests of one router are a sample
/// of all requests. From it each router determines on its own over how many
/// servers a hot prompt has to be distributed. The loads of the servers alone
/// are not enough: they are reported late, so many routers would move to the
/// same server at once.
#pragma once

#include "common/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace bramleyarch::decisions
{

struct hot_prompt_options
{
    /// Requests that are older are ignored, since a prompt stops being hot
    /// within seconds.
    duration window = std::chrono::seconds{5};
    /// A prompt with fewer requests in the sample is not hot. Of some fifty
    /// requests that are evenly distributed over hundreds of prompts, hardly
    /// any prompt gets this many by chance.
    std::size_t min_requests = 4;
    /// Fraction of a server's headroom that a hot prompt may use. Requests
    /// arrive unevenly: with twice as many, a fifth of them would exceed the
    /// headroom.
    double headroom_fraction = 0.5;
};

/// The latest requests for prompts of one service, as a ring buffer.
struct recent_prompts
{
    static constexpr std::size_t samples = 64;
    struct sample
    {
        std::uint64_t prompt = 0;
        time_point at{};
    };
    std::array<sample, samples> latest{};
    /// Number of requests ever recorded. The next one is stored at
    /// `count % samples`.
    std::size_t count = 0;
};

/// Records a request for the prompt.
void record_prompt(recent_prompts& recent, std::uint64_t prompt, time_point at);

/// Returns the fraction of the requests that ask for the prompt, from 0 to 1,
/// or 0 if the prompt is not hot.
double request_share(recent_prompts const& recent, std::uint64_t prompt,
                     time_point at, hot_prompt_options const& options);

/// Returns the number of servers, at least 1, over which a prompt with this
/// share of the requests is distributed. `running` is the number of requests at
/// all servers of the service, and `headroom` the number that one server can
/// run in addition to the requests of other prompts.
std::size_t replica_count(double share, double running, double headroom,
                          hot_prompt_options const& options);

} // namespace bramleyarch::decisions

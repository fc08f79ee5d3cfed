#include "decisions/hot_prompt.hpp"

#include <algorithm>
#include <cmath>

namespace bramleyarch::decisions
{

void record_prompt(recent_prompts& heat, std::uint64_t prompt, time_point at)
{
    heat.latest.at(heat.count++ % recent_prompts::samples) = {prompt, at};
}

double request_share(recent_prompts const& heat, std::uint64_t prompt,
                     time_point at, hot_prompt_options const& options)
{
    std::size_t seen = 0;
    std::size_t asked = 0;
    auto const known = std::min(heat.count, recent_prompts::samples);
    for (std::size_t i = 0; i < known; ++i)
    {
        auto const& sample = heat.latest.at(i);
        if (at - sample.at > options.window)
            continue;
        ++seen;
        asked += sample.prompt == prompt ? 1 : 0;
    }
    return asked < options.least_requests
               ? 0
               : static_cast<double>(asked) / static_cast<double>(seen);
}

std::size_t replica_count(double share, double running, double room,
                          hot_prompt_options const& options)
{
    auto const servers =
        share * running / std::max(room * options.room_part, 1.0);
    return std::max<std::size_t>(static_cast<std::size_t>(std::ceil(servers)),
                                 1);
}

} // namespace bramleyarch::decisions

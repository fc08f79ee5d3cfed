#include "decisions/hot_prompt.hpp"

#include <algorithm>
#include <cmath>

namespace bramleyarch::decisions
{

void record_prompt(recent_prompts& recent, std::uint64_t prompt, time_point at)
{
    recent.latest.at(recent.count++ % recent_prompts::samples) = {prompt, at};
}

double request_share(recent_prompts const& recent, std::uint64_t prompt,
                     time_point at, hot_prompt_options const& options)
{
    std::size_t in_window = 0;
    std::size_t matching = 0;
    auto const recorded = std::min(recent.count, recent_prompts::samples);
    for (std::size_t i = 0; i < recorded; ++i)
    {
        auto const& sample = recent.latest.at(i);
        if (at - sample.at > options.window)
            continue;
        ++in_window;
        matching += sample.prompt == prompt ? 1 : 0;
    }
    return matching < options.min_requests
               ? 0
               : static_cast<double>(matching) / static_cast<double>(in_window);
}

std::size_t replica_count(double share, double running, double headroom,
                          hot_prompt_options const& options)
{
    auto const servers =
        share * running / std::max(headroom * options.headroom_fraction, 1.0);
    return std::max<std::size_t>(static_cast<std::size_t>(std::ceil(servers)),
                                 1);
}

} // namespace bramleyarch::decisions

#include "decisions/prompt_copy.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

std::optional<std::size_t>
find_copy_source(std::vector<copy_source> const& servers, std::uint64_t chosen,
                 std::optional<shared_prefix> prefix,
                 prompt_copy_options const& options)
{
    if (!prefix || prefix->tokens < options.min_tokens)
        return std::nullopt;
    auto const target = std::find_if(servers.begin(), servers.end(),
                                     [chosen](copy_source const& server)
                                     { return server.hash == chosen; });
    if (target == servers.end())
        return std::nullopt;
    auto const target_weight = prefix_weight(*prefix, chosen);
    std::optional<std::size_t> best;
    std::uint64_t best_weight = 0;
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        auto const& server = servers[i];
        if (server.hash == chosen || !server.reachable)
            continue;
        auto const weight = prefix_weight(*prefix, server.hash);
        bool const had_requests =
            weight > target_weight || server.started_ms < target->started_ms;
        if (!had_requests || (best && weight <= best_weight))
            continue;
        best = i;
        best_weight = weight;
    }
    return best;
}

} // namespace bramleyarch::decisions

#include "decisions/prompt_copy.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

std::optional<std::size_t>
find_copy_source(std::vector<copy_source> const& servers, std::uint64_t chosen,
                 std::optional<shared_prefix> prompt,
                 prompt_copy_options const& options)
{
    if (!prompt || prompt->tokens < options.least_tokens)
        return std::nullopt;
    auto const at = std::find_if(servers.begin(), servers.end(),
                                 [chosen](copy_source const& s)
                                 { return s.hash == chosen; });
    if (at == servers.end())
        return std::nullopt;
    auto const chosen_weight = prompt_weight(*prompt, chosen);
    std::optional<std::size_t> best;
    std::uint64_t best_weight = 0;
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        auto const& server = servers[i];
        if (server.hash == chosen || !server.reachable)
            continue;
        auto const weight = prompt_weight(*prompt, server.hash);
        bool const met_before =
            weight > chosen_weight || server.started_ms < at->started_ms;
        if (!met_before || (best && weight <= best_weight))
            continue;
        best = i;
        best_weight = weight;
    }
    return best;
}

} // namespace bramleyarch::decisions

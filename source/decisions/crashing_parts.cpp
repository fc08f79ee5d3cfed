#include "decisions/crashing_parts.hpp"

#include <algorithm>
#include <map>

namespace bramleyarch::decisions
{

namespace
{

using crash_list = std::vector<part_crash>;

bool contains(crash_list const& crashes, std::uint64_t server)
{
    return std::ranges::find(crashes, server, &part_crash::server) !=
           crashes.end();
}

/// Returns the first crashes that count, as many as lead to a refusal, without
/// those that follow the one before too closely.
crash_list counted_crashes(crashing_parts const& state,
                           crash_list const& crashes)
{
    crash_list counted;
    for (auto const& crash : crashes)
    {
        if (counted.size() == state.options.max_crashes)
            break;
        if (counted.empty() ||
            crash.at - counted.back().at >= state.options.min_crash_interval)
            counted.push_back(crash);
    }
    return counted;
}

bool has_enough_crashes(crashing_parts const& state, crash_list const& crashes)
{
    return counted_crashes(state, crashes).size() == state.options.max_crashes;
}

/// Returns whether another part explains all crashes of a part as well.
bool explains(crash_list const& other, crash_list const& crashes)
{
    return std::ranges::all_of(crashes, [&other](part_crash const& crash)
                               { return contains(other, crash.server); });
}

bool is_proven(crashing_parts const& state, std::uint64_t part, time_point at)
{
    auto const found = state.answered_at.find(part);
    return found != state.answered_at.end() &&
           at - found->second < state.options.proven_time;
}

bool has_part(std::vector<prompt_part> const& prompt, std::uint64_t part)
{
    return std::ranges::find(prompt, part, &prompt_part::id) != prompt.end();
}

/// Adds a crash to those of a part. Returns false if it is among them or no
/// more are kept.
bool add_crash(crashing_parts& state, std::uint64_t part,
               part_crash const& crash)
{
    auto const found = state.suspects.find(part);
    if (found == state.suspects.end() &&
        state.suspects.size() >= state.options.max_suspects)
        return false;
    auto& crashes =
        found == state.suspects.end() ? state.suspects[part] : found->second;
    if (contains(crashes, crash.server) ||
        crashes.size() >= state.options.max_crashes_kept)
        return false;
    crashes.insert(
        std::ranges::upper_bound(crashes, crash.at, {}, &part_crash::at),
        crash);
    return true;
}

} // namespace

std::vector<std::uint64_t>
unproven_parts(crashing_parts const& state,
               std::vector<prompt_part> const& prompt, time_point at)
{
    std::vector<std::uint64_t> parts;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    {
        if (!is_proven(state, prompt[i].id, at))
            parts.push_back(prompt[i].id);
    }
    return parts;
}

bool record_prompt_crash(crashing_parts& state, prompt_crash const& crash,
                         time_point at)
{
    bool is_new = false;
    for (auto const part : crash.parts)
    {
        if (!is_proven(state, part, at) &&
            add_crash(state, part, {crash.server, crash.at}))
            is_new = true;
    }
    return is_new;
}

void record_prompt_answer(crashing_parts& state,
                          std::vector<prompt_part> const& prompt, time_point at)
{
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    {
        auto const part = prompt[i].id;
        state.suspects.erase(part);
        if (state.answered_at.contains(part) ||
            state.answered_at.size() < state.options.max_proven)
            state.answered_at[part] = at;
    }
}

bool should_refuse(crashing_parts const& state,
                   std::vector<prompt_part> const& prompt)
{
    if (state.suspects.empty() || prompt.empty())
        return false;
    auto const is_culprit = [&](prompt_part const& part)
    {
        auto const found = state.suspects.find(part.id);
        if (found == state.suspects.end() ||
            !has_enough_crashes(state, found->second))
            return false;
        return std::ranges::none_of(state.suspects,
                                    [&](auto const& other)
                                    {
                                        return !has_part(prompt, other.first) &&
                                               explains(other.second,
                                                        found->second);
                                    });
    };
    return std::any_of(prompt.begin(), prompt.end() - 1, is_culprit);
}

std::vector<prompt_crash> crashes_to_repeat(crashing_parts const& state)
{
    std::map<std::uint64_t, prompt_crash> by_server;
    for (auto const& [part, crashes] : state.suspects)
    {
        if (!has_enough_crashes(state, crashes))
            continue;
        for (auto const& crash : counted_crashes(state, crashes))
            by_server[crash.server] = {.server = crash.server, .at = crash.at};
    }
    // Each crash names all of these parts, so that what explains what is the
    // same for the receiver.
    for (auto const& [part, crashes] : state.suspects)
    {
        if (!has_enough_crashes(state, crashes))
            continue;
        for (auto& [server, repeated] : by_server)
        {
            if (contains(crashes, server))
                repeated.parts.push_back(part);
        }
    }
    std::vector<prompt_crash> repeated;
    repeated.reserve(by_server.size());
    for (auto& [server, crash] : by_server)
        repeated.push_back(std::move(crash));
    return repeated;
}

void remove_expired(crashing_parts& state, time_point at)
{
    for (auto& [part, crashes] : state.suspects)
        std::erase_if(crashes, [&](part_crash const& crash)
                      { return at - crash.at >= state.options.retention; });
    std::erase_if(state.suspects,
                  [](auto const& suspect) { return suspect.second.empty(); });
    std::erase_if(state.answered_at,
                  [&](auto const& answered) {
                      return at - answered.second >= state.options.proven_time;
                  });
}

} // namespace bramleyarch::decisions

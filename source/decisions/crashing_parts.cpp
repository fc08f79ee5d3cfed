#include "decisions/crashing_parts.hpp"

#include "common/digest.hpp"

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

/// Returns the number of crashes that followed a trial: those which came after
/// the refusals had begun, and after a time without any.
std::size_t failed_trials(crashing_parts const& state,
                          crash_list const& crashes)
{
    auto const refused_at = counted_crashes(state, crashes).back().at;
    std::size_t failed = 0;
    for (std::size_t i = 1; i < crashes.size(); ++i)
    {
        if (crashes[i].at > refused_at &&
            crashes[i].at - crashes[i - 1].at >= state.options.trial_interval)
            ++failed;
    }
    return failed;
}

/// Returns whether another part explains all crashes of a part as well.
bool explains(crash_list const& other, crash_list const& crashes)
{
    return std::ranges::all_of(crashes, [&other](part_crash const& crash)
                               { return contains(other, crash.server); });
}

bool is_answered_since(crashing_parts const& state, std::uint64_t part,
                       time_point at)
{
    auto const found = state.answered_at.find(part);
    return found != state.answered_at.end() && found->second >= at;
}

/// Notes the answer and removes the crashes before it. Returns whether there
/// were any.
bool clear_part(crashing_parts& state, part_answer const& answer)
{
    auto const known = state.answered_at.find(answer.part);
    if (known != state.answered_at.end())
        known->second = std::max(known->second, answer.at);
    else if (state.answered_at.size() < state.options.max_answered)
        state.answered_at[answer.part] = answer.at;
    auto const suspect = state.suspects.find(answer.part);
    if (suspect == state.suspects.end())
        return false;
    auto const removed =
        std::erase_if(suspect->second, [&](part_crash const& crash)
                      { return crash.at <= answer.at; });
    if (suspect->second.empty())
        state.suspects.erase(suspect);
    return removed > 0;
}

bool has_part(std::vector<prompt_part> const& prompt, std::uint64_t part)
{
    return std::ranges::find(prompt, part, &prompt_part::id) != prompt.end();
}

/// Removes a crash that does not lead to a refusal from a full list, and is not
/// the last one.
void remove_uncounted(crashing_parts const& state, crash_list& crashes)
{
    auto const counted = counted_crashes(state, crashes);
    auto const found = std::find_if(crashes.begin(), crashes.end() - 1,
                                    [&counted](part_crash const& crash) {
                                        return !contains(counted, crash.server);
                                    });
    crashes.erase(found);
}

/// Adds a crash to those of a part. Returns false if it is among them, or if no
/// more are kept and it is not the last one.
bool add_crash(crashing_parts& state, std::uint64_t part,
               part_crash const& crash)
{
    auto const found = state.suspects.find(part);
    if (found == state.suspects.end() &&
        state.suspects.size() >= state.options.max_suspects)
        return false;
    auto& crashes =
        found == state.suspects.end() ? state.suspects[part] : found->second;
    if (contains(crashes, crash.server))
        return false;
    if (crashes.size() >= state.options.max_crashes_kept)
    {
        if (crash.at <= crashes.back().at)
            return false;
        remove_uncounted(state, crashes);
    }
    crashes.insert(
        std::ranges::upper_bound(crashes, crash.at, {}, &part_crash::at),
        crash);
    return true;
}

/// Returns the part of a prompt because of which a request is refused, if any:
/// the last one, which the fewest requests share.
std::optional<std::uint64_t>
find_culprit(crashing_parts const& state,
             std::vector<prompt_part> const& prompt)
{
    if (state.suspects.empty() || prompt.empty())
        return std::nullopt;
    for (auto i = prompt.size() - 1; i > 0; --i)
    {
        auto const part = prompt[i - 1].id;
        auto const found = state.suspects.find(part);
        if (found == state.suspects.end() ||
            !has_enough_crashes(state, found->second))
            continue;
        auto const is_explained = [&](auto const& other)
        {
            return !has_part(prompt, other.first) &&
                   explains(other.second, found->second);
        };
        if (std::ranges::none_of(state.suspects, is_explained))
            return part;
    }
    return std::nullopt;
}

} // namespace

std::vector<std::uint64_t>
suspected_parts(crashing_parts const& state,
                std::vector<prompt_part> const& prompt, time_point at)
{
    std::vector<std::uint64_t> parts;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    {
        if (!is_answered_since(state, prompt[i].id, at))
            parts.push_back(prompt[i].id);
    }
    return parts;
}

bool record_prompt_crash(crashing_parts& state, prompt_crash const& crash)
{
    bool is_new = false;
    for (auto const part : crash.parts)
    {
        if (!is_answered_since(state, part, crash.at) &&
            add_crash(state, part, {crash.server, crash.at}))
            is_new = true;
    }
    return is_new;
}

bool record_answer_bytes(answer_in_progress& answer,
                         crashing_parts_options const& options, time_point at)
{
    if (!answer.first_byte_at)
        answer.first_byte_at = at;
    if (answer.is_past_start ||
        at - *answer.first_byte_at < options.answer_start)
        return false;
    answer.is_past_start = true;
    return true;
}

std::vector<part_answer>
record_prompt_answer(crashing_parts& state,
                     std::vector<prompt_part> const& prompt, time_point at)
{
    std::vector<part_answer> cleared;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    {
        part_answer const answer{prompt[i].id, at};
        if (clear_part(state, answer))
            cleared.push_back(answer);
    }
    return cleared;
}

bool record_part_answer(crashing_parts& state, part_answer const& answer)
{
    return clear_part(state, answer);
}

std::vector<part_answer> answers_since(crashing_parts const& state,
                                       prompt_crash const& crash)
{
    std::vector<part_answer> answers;
    for (auto const part : crash.parts)
    {
        if (is_answered_since(state, part, crash.at))
            answers.push_back({part, state.answered_at.at(part)});
    }
    return answers;
}

bool should_refuse(crashing_parts const& state,
                   std::vector<prompt_part> const& prompt)
{
    return find_culprit(state, prompt).has_value();
}

bool start_trial(crashing_parts& state, std::vector<prompt_part> const& prompt,
                 router_id const& self, std::vector<router_id> const& others,
                 time_point at)
{
    auto const part = find_culprit(state, prompt);
    if (!part)
        return false;
    auto const& options = state.options;
    auto const& crashes = state.suspects.at(*part);
    auto const quiet = at - crashes.back().at;
    if (failed_trials(state, crashes) >= options.max_failed_trials ||
        quiet < options.trial_interval)
        return false;
    auto const interval =
        static_cast<std::uint64_t>(quiet / options.trial_interval);
    auto const rank = [&](router_id const& router)
    { return mix(name_hash(router.value), mix(*part, interval)); };
    auto const own = rank(self);
    if (std::ranges::any_of(others, [&](router_id const& other)
                            { return rank(other) > own; }))
        return false;
    auto const tried = state.tried_at.find(*part);
    if (tried != state.tried_at.end() &&
        at - tried->second < options.trial_interval)
        return false;
    state.tried_at[*part] = at;
    return true;
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
    auto const has_expired = [&](auto const& entry)
    { return at - entry.second >= state.options.retention; };
    std::erase_if(state.answered_at, has_expired);
    std::erase_if(state.tried_at, has_expired);
}

} // namespace bramleyarch::decisions

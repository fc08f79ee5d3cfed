#include "decisions/crash_history.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

void make_room(crash_history& history)
{
    if (history.requests.size() < history.options.max_requests)
        return;
    auto const oldest =
        std::min_element(history.requests.begin(), history.requests.end(),
                         [](auto const& a, auto const& b)
                         { return a.second.expires_at < b.second.expires_at; });
    history.requests.erase(oldest);
}

bool is_refused(crash_history const& history, crash_record const& record,
                time_point at)
{
    return record.expires_at > at &&
           record.crashes.size() >= history.options.max_crashes;
}

} // namespace

bool record_crash(crash_history& history, request_crash const& crash)
{
    if (is_answered_since(history, crash))
        return false;
    if (!history.requests.contains(crash.request))
        make_room(history);
    auto& record = history.requests[crash.request];
    bool const is_known =
        std::ranges::find(record.crashes, crash.server,
                          &request_crash::server) != record.crashes.end();
    if (is_known)
        return false;
    record.expires_at =
        std::max(record.expires_at, crash.at + history.options.retention);
    if (record.crashes.size() >= history.options.max_crashes)
        return false;
    record.crashes.push_back(crash);
    return true;
}

bool record_answer(crash_history& history, request_answer const& answer)
{
    auto const record = history.requests.find(answer.request);
    if (record == history.requests.end())
        return false;
    auto const removed =
        std::erase_if(record->second.crashes, [&](request_crash const& crash)
                      { return crash.at <= answer.at; });
    if (record->second.crashes.empty())
        history.requests.erase(record);
    if (history.answered_at.size() < history.options.max_requests ||
        history.answered_at.contains(answer.request))
    {
        auto& answered_at = history.answered_at[answer.request];
        answered_at = std::max(answered_at, answer.at);
    }
    return removed > 0;
}

bool is_answered_since(crash_history const& history, request_crash const& crash)
{
    auto const found = history.answered_at.find(crash.request);
    return found != history.answered_at.end() && found->second >= crash.at;
}

bool should_refuse(crash_history const& history, std::uint64_t request,
                   time_point at)
{
    auto const found = history.requests.find(request);
    return found != history.requests.end() &&
           is_refused(history, found->second, at);
}

std::vector<request_crash> crashes_to_repeat(crash_history& history,
                                             time_point at)
{
    std::vector<request_crash> repeated;
    auto next = history.requests.upper_bound(history.last_repeated);
    std::size_t requests = 0;
    for (std::size_t i = 0;
         i < history.requests.size() && requests < history.options.max_repeated;
         ++i, ++next)
    {
        if (next == history.requests.end())
            next = history.requests.begin();
        auto const& [request, record] = *next;
        if (!is_refused(history, record, at))
            continue;
        ++requests;
        history.last_repeated = request;
        repeated.insert(repeated.end(), record.crashes.begin(),
                        record.crashes.end());
    }
    return repeated;
}

void remove_expired_crashes(crash_history& history, time_point at)
{
    std::erase_if(history.requests, [at](auto const& entry)
                  { return entry.second.expires_at <= at; });
    std::erase_if(history.answered_at, [&](auto const& entry)
                  { return at - entry.second >= history.options.retention; });
}

} // namespace bramleyarch::decisions

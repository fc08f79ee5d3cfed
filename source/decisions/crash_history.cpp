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

} // namespace

bool record_crash(crash_history& history, std::uint64_t request,
                  std::uint64_t server, time_point at)
{
    if (!history.requests.contains(request))
        make_room(history);
    auto& record = history.requests[request];
    record.expires_at = at + history.options.retention;
    auto& servers = record.servers;
    if (servers.size() >= history.options.max_crashes ||
        std::find(servers.begin(), servers.end(), server) != servers.end())
        return false;
    servers.push_back(server);
    return true;
}

void clear_crashes(crash_history& history, std::uint64_t request)
{
    history.requests.erase(request);
}

bool should_refuse(crash_history const& history, std::uint64_t request,
                   time_point at)
{
    auto const found = history.requests.find(request);
    return found != history.requests.end() && found->second.expires_at > at &&
           found->second.servers.size() >= history.options.max_crashes;
}

void remove_expired_crashes(crash_history& history, time_point at)
{
    std::erase_if(history.requests, [at](auto const& entry)
                  { return entry.second.expires_at <= at; });
}

} // namespace bramleyarch::decisions

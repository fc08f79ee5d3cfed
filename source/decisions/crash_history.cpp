#include "decisions/crash_history.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

void make_room(crash_history& ledger)
{
    if (ledger.requests.size() < ledger.options.max_requests)
        return;
    auto const oldest =
        std::min_element(ledger.requests.begin(), ledger.requests.end(),
                         [](auto const& a, auto const& b)
                         { return a.second.expires < b.second.expires; });
    ledger.requests.erase(oldest);
}

} // namespace

bool record_crash(crash_history& ledger, std::uint64_t request,
                  std::uint64_t server, time_point at)
{
    if (!ledger.requests.contains(request))
        make_room(ledger);
    auto& record = ledger.requests[request];
    record.expires = at + ledger.options.memory;
    auto& servers = record.servers;
    if (servers.size() >= ledger.options.most_crashes ||
        std::find(servers.begin(), servers.end(), server) != servers.end())
        return false;
    servers.push_back(server);
    return true;
}

void clear_crashes(crash_history& ledger, std::uint64_t request)
{
    ledger.requests.erase(request);
}

bool should_refuse(crash_history const& ledger, std::uint64_t request,
                   time_point at)
{
    auto const found = ledger.requests.find(request);
    return found != ledger.requests.end() && found->second.expires > at &&
           found->second.servers.size() >= ledger.options.most_crashes;
}

void remove_expired_crashes(crash_history& ledger, time_point at)
{
    std::erase_if(ledger.requests, [at](auto const& entry)
                  { return entry.second.expires <= at; });
}

} // namespace bramleyarch::decisions

#include "decisions/crash_ledger.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

void make_room(crash_ledger& ledger)
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

bool note_crash(crash_ledger& ledger, std::uint64_t request,
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

void clear_request(crash_ledger& ledger, std::uint64_t request)
{
    ledger.requests.erase(request);
}

bool is_refused(crash_ledger const& ledger, std::uint64_t request,
                time_point at)
{
    auto const found = ledger.requests.find(request);
    return found != ledger.requests.end() && found->second.expires > at &&
           found->second.servers.size() >= ledger.options.most_crashes;
}

void expire_crashes(crash_ledger& ledger, time_point at)
{
    std::erase_if(ledger.requests, [at](auto const& entry)
                  { return entry.second.expires <= at; });
}

} // namespace bramleyarch::decisions

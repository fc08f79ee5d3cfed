#include "decisions/capacity_share.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace bramleyarch::decisions
{

namespace
{

/// Unit of `service_demand::arrivals_per_10_s`.
constexpr double arrivals_window_s = 10;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

template <class Sources>
void remove_expired(Sources& sources, duration max_age, time_point at)
{
    std::erase_if(sources, [&](auto const& entry)
                  { return at - entry.second.received_at > max_age; });
}

template <class Sources>
void add_needs(others_need& sum, Sources const& sources, std::uint64_t service,
               duration hold, time_point at)
{
    for (auto const& [from, received] : sources)
    {
        for (auto const& demand : received.demands)
            if (demand.service == service)
                sum.need += need_of(demand, hold);
        sum.oldest = std::max(sum.oldest, at - received.received_at);
    }
}

/// Returns the demand that the other routers know of: the least that was sent
/// within `settle`.
double settled_need(capacity_shares const& shares, std::uint64_t service)
{
    auto const found = shares.sent.find(service);
    if (found == shares.sent.end() || found->second.empty())
        return 0;
    return std::min_element(found->second.begin(), found->second.end(),
                            [](auto const& a, auto const& b)
                            { return a.need < b.need; })
        ->need;
}

/// Returns the time after which the demands of peers expire.
duration peer_max_age(capacity_shares const& shares)
{
    auto const& options = shares.options;
    auto const peers = static_cast<double>(
        std::count_if(shares.routers.begin(), shares.routers.end(),
                      [&](auto const& entry)
                      { return entry.second.domain == shares.own_domain; }));
    auto const rounds = options.max_age_rounds * peers /
                        static_cast<double>(options.peers_per_round);
    return std::max(options.max_age, std::chrono::duration_cast<duration>(
                                         options.heartbeat_interval * rounds));
}

bool is_heard(capacity_shares const& shares, router_id const& id,
              known_router const& router)
{
    return *router.domain == shares.own_domain
               ? shares.peers.contains(id)
               : shares.domains.contains(*router.domain);
}

/// Returns the part of the routers whose domain is not known yet that is not
/// heard of: the domains are taken to be of equal size, and the known routers
/// are subtracted. Without the subtraction, the estimate falls while the
/// routers that can be heard become known.
double unheard_of_unknown(capacity_shares const& shares)
{
    std::set<domain_id> domains;
    double foreign = 0;
    double unknown = 0;
    double known_unheard = 0;
    for (auto const& [id, router] : shares.routers)
    {
        if (router.domain == shares.own_domain)
            continue;
        foreign += 1;
        unknown += router.domain ? 0 : 1;
        if (!router.domain)
            continue;
        domains.insert(*router.domain);
        known_unheard += is_heard(shares, id, router) ? 0 : 1;
    }
    if (domains.empty() || unknown == 0)
        return 1;
    auto const unheard = std::count_if(
        domains.begin(), domains.end(),
        [&](auto const& id) { return !shares.domains.contains(id); });
    auto const share =
        static_cast<double>(unheard) / static_cast<double>(domains.size());
    return std::clamp((share * foreign - known_unheard) / unknown, 0.0, 1.0);
}

} // namespace

double need_of(service_demand const& demand, duration hold)
{
    auto const present = static_cast<double>(demand.in_flight) + demand.waiting;
    return std::max(present, demand.arrivals_per_10_s / arrivals_window_s *
                                 seconds(hold));
}

double compute_part(double room, double own, double others, double unheard,
                    double routers)
{
    auto const all = std::max(routers, 1.0);
    auto const heard = std::max(all - unheard, 1.0);
    auto const available = room * heard / all;
    auto const total = own + others;
    if (total <= available)
        return own + (available - total) / heard;
    return available * own / total;
}

std::uint32_t whole_requests(double part, double position)
{
    return static_cast<std::uint32_t>(
        std::max(std::floor(part + position), 1.0));
}

void apply_demands(capacity_shares& shares, peer_heartbeat const& heartbeat,
                   time_point at)
{
    auto& received = heartbeat.domain == shares.own_domain
                         ? shares.peers[heartbeat.from]
                         : shares.domains[heartbeat.domain];
    received = {.received_at = at, .demands = heartbeat.service_demands};
    auto const listed = shares.routers.find(heartbeat.from);
    if (listed != shares.routers.end())
        listed->second = {.listed_at = at, .domain = heartbeat.domain};
}

void set_routers(capacity_shares& shares, std::vector<router_id> const& others,
                 time_point at)
{
    std::map<router_id, known_router> routers;
    for (auto const& id : others)
    {
        auto const known = shares.routers.find(id);
        routers.emplace(id, known == shares.routers.end()
                                ? known_router{.listed_at = at}
                                : known->second);
    }
    shares.routers = std::move(routers);
    std::erase_if(shares.peers, [&](auto const& entry)
                  { return !shares.routers.contains(entry.first); });
    refresh(shares, at);
}

void refresh(capacity_shares& shares, time_point at)
{
    auto const& options = shares.options;
    remove_expired(shares.peers, peer_max_age(shares), at);
    remove_expired(shares.domains, options.max_age, at);
    auto const unheard_unknown = unheard_of_unknown(shares);
    shares.unheard = 0;
    shares.gone = 0;
    for (auto& [id, router] : shares.routers)
    {
        auto const unheard = !router.domain                 ? unheard_unknown
                             : is_heard(shares, id, router) ? 0
                                                            : 1;
        if (unheard == 0)
            router.listed_at = at;
        (at - router.listed_at <= options.reserve_time ? shares.unheard
                                                       : shares.gone) +=
            unheard;
    }
}

void record_sent_demand(capacity_shares& shares, service_demand const& demand,
                        duration hold, time_point at)
{
    auto& sent = shares.sent[demand.service];
    sent.push_back({.at = at, .need = need_of(demand, hold)});
    // The newest one that is older than `settle` may be the last that some
    // router received.
    while (sent.size() > 1 && at - sent[1].at >= shares.options.settle)
        sent.pop_front();
}

capacity_part part_of(capacity_shares const& shares, std::uint64_t service,
                      std::uint32_t slots, duration hold, double position,
                      time_point at)
{
    others_need others;
    add_needs(others, shares.peers, service, hold, at);
    add_needs(others, shares.domains, service, hold, at);
    capacity_part result{.own_need = settled_need(shares, service),
                         .others_need = others.need,
                         .room = slots * shares.options.room_factor,
                         .unheard = shares.unheard,
                         .routers = static_cast<double>(shares.routers.size()) +
                                    1 - shares.gone,
                         .oldest = others.oldest};
    result.part = compute_part(result.room, result.own_need, result.others_need,
                               result.unheard, result.routers);
    result.allowed = whole_requests(result.part, position);
    return result;
}

std::vector<service_demand>
domain_demands(capacity_shares const& shares,
               std::vector<service_demand> const& own)
{
    std::map<std::uint64_t, service_demand> sums;
    auto const add = [&sums](std::vector<service_demand> const& demands)
    {
        for (auto const& demand : demands)
        {
            auto& sum = sums[demand.service];
            sum.service = demand.service;
            sum.in_flight += demand.in_flight;
            sum.waiting += demand.waiting;
            sum.arrivals_per_10_s += demand.arrivals_per_10_s;
        }
    };
    add(own);
    for (auto const& [id, received] : shares.peers)
        add(received.demands);
    std::vector<service_demand> result;
    for (auto const& [service, sum] : sums)
        result.push_back(sum);
    return result;
}

} // namespace bramleyarch::decisions

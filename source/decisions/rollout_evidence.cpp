#include "decisions/rollout_evidence.hpp"

#include <algorithm>
#include <array>

namespace bramleyarch::decisions
{

namespace
{

using count_member = std::uint32_t version_counts::*;

constexpr std::array<count_member, 6> count_members{
    &version_counts::sent,   &version_counts::answered,
    &version_counts::failed, &version_counts::slow,
    &version_counts::timed,  &version_counts::waited_ms};

version_counts& at_side(rollout_evidence_book& book, route_side side)
{
    bool const is_full = book.own.size() >= 2 * book.options.max_routes;
    if (is_full && !book.own.contains(side))
        side.first = 0;
    auto& counts = book.own[side];
    counts.route = side.first;
    counts.new_version = side.second;
    return counts;
}

void add(version_counts& sum, version_counts const& counts)
{
    sum.route = counts.route;
    sum.new_version = counts.new_version;
    for (auto const member : count_members)
        sum.*member += counts.*member;
}

void add(route_counts& sum, route_counts const& counts)
{
    for (auto const& [side, entry] : counts)
        add(sum[side], entry);
}

void raise(version_counts& known, version_counts const& counts)
{
    known.route = counts.route;
    known.new_version = counts.new_version;
    for (auto const member : count_members)
        known.*member = std::max(known.*member, counts.*member);
}

} // namespace

version_counts total_of(route_counts const& counts, bool new_version)
{
    version_counts total;
    for (auto const& [side, entry] : counts)
    {
        if (side.second == new_version)
            add(total, entry);
    }
    total.route = 0;
    total.new_version = new_version;
    return total;
}

std::uint32_t bad_answers(version_counts const& counts)
{
    return counts.failed + counts.slow;
}

void record_event(rollout_evidence_book& book, route_side side,
                  rollout_event event)
{
    auto& counts = at_side(book, side);
    switch (event)
    {
    case rollout_event::sent:
        ++counts.sent;
        break;
    case rollout_event::answered:
        ++counts.answered;
        break;
    case rollout_event::failed:
        ++counts.failed;
        break;
    case rollout_event::slow:
        ++counts.slow;
        break;
    }
}

void record_first_byte(rollout_evidence_book& book, route_side side,
                       duration waited)
{
    auto& counts = at_side(book, side);
    ++counts.timed;
    counts.waited_ms +=
        static_cast<std::uint32_t>(std::max<std::int64_t>(to_ms(waited), 0));
}

void apply_evidence(rollout_evidence_book& book, domain_id const& own_domain,
                    peer_heartbeat const& heartbeat,
                    std::vector<version_counts> const& counts, time_point at)
{
    book.heard_at = at;
    bool const same_domain = heartbeat.domain == own_domain;
    std::pair const sender{heartbeat.from, heartbeat.started};
    if (same_domain && book.peers.size() >= book.options.max_peers &&
        !book.peers.contains(sender))
        return;
    auto& known =
        same_domain ? book.peers[sender] : book.domains[heartbeat.domain];
    for (auto const& entry : counts)
    {
        route_side const side{entry.route, entry.new_version};
        if (known.size() < 2 * book.options.max_routes + 2 ||
            known.contains(side))
            raise(known[side], entry);
    }
}

route_counts domain_evidence(rollout_evidence_book const& book)
{
    auto sum = book.own;
    for (auto const& [peer, counts] : book.peers)
        add(sum, counts);
    return sum;
}

route_counts fleet_evidence(rollout_evidence_book const& book)
{
    auto sum = domain_evidence(book);
    for (auto const& [domain, counts] : book.domains)
        add(sum, counts);
    return sum;
}

void record_snapshot(rollout_evidence_book& book, route_counts counts,
                     time_point at)
{
    auto& kept = book.snapshots;
    kept.push_back({.at = at, .counts = std::move(counts)});
    while (kept.size() > 1 && at - kept.front().at > book.options.kept)
        kept.pop_front();
}

route_counts counts_since(rollout_evidence_book const& book,
                          route_counts const& sum, duration period,
                          time_point at)
{
    auto const& kept = book.snapshots;
    auto const begin = std::find_if(kept.rbegin(), kept.rend(),
                                    [&](evidence_snapshot const& snapshot)
                                    { return at - snapshot.at >= period; });
    if (begin == kept.rend())
        return sum;
    auto recent = sum;
    for (auto& [side, counts] : recent)
    {
        auto const earlier = begin->counts.find(side);
        if (earlier == begin->counts.end())
            continue;
        for (auto const member : count_members)
            counts.*member -= std::min(counts.*member, earlier->second.*member);
    }
    return recent;
}

std::vector<version_counts> to_list(route_counts const& counts)
{
    std::vector<version_counts> list;
    list.reserve(counts.size());
    for (auto const& [side, entry] : counts)
        list.push_back(entry);
    return list;
}

duration slow_threshold(route_counts const& sum, std::uint64_t route,
                        double factor, std::uint32_t min_timed,
                        duration otherwise)
{
    auto const found = sum.find({route, false});
    if (found == sum.end() || found->second.timed < min_timed)
        return otherwise;
    std::chrono::duration<double, std::milli> const mean{
        static_cast<double>(found->second.waited_ms) / found->second.timed};
    return std::chrono::duration_cast<duration>(mean * factor);
}

} // namespace bramleyarch::decisions

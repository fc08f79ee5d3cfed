#include "decisions/discovery.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace bramleyarch::decisions
{

namespace
{

using rules_record = std::shared_ptr<config::routing_rules const>;

/// Whether entries that go now may belong to servers that live.
bool in_doubt(discovery const& d, time_point at)
{
    return d.away || (d.lapsed && d.returned &&
                      at < *d.returned + d.options.return_grace);
}

void drop_server(discovery& d, server_id const& id)
{
    d.known.servers.erase(id);
    d.sequences.erase(id);
    d.doubtful.erase(id);
}

discovery_effect apply_content(discovery& d, record_change const& change,
                               rules_record const& rules, time_point)
{
    if (change.removed)
        return {.note = "the rules were removed; the last ones stay"};
    if (d.known.rules && rules->version <= d.known.rules->version)
        return {.note = fmt::format("rules of version {} ignored: {} is known",
                                    rules->version, d.known.rules->version)};
    d.known.rules = rules;
    return {.deployment = true,
            .note = fmt::format("rules of version {} adopted", rules->version)};
}

discovery_effect remove_server(discovery& d, server_id const& id, time_point at,
                               std::string_view why)
{
    if (!d.known.servers.contains(id))
        return {};
    if (in_doubt(d, at))
    {
        auto const from = d.returned && !d.away ? *d.returned : at;
        d.doubtful.emplace(id, from + d.options.return_grace);
        return {.note = fmt::format("server={} unlisted while the store was "
                                    "away; kept for now",
                                    id.value)};
    }
    drop_server(d, id);
    return {.deployment = true,
            .note = fmt::format("server={} gone: {}", id.value, why)};
}

/// An entry written before what is known: it came late.
bool is_stale(discovery const& d, server_entry const& entry)
{
    auto const known = d.known.servers.find(entry.server.id);
    if (known == d.known.servers.end())
        return false;
    if (entry.server.born != known->second.born)
        return entry.server.born < known->second.born;
    auto const sequence = d.sequences.find(entry.server.id);
    return sequence != d.sequences.end() && entry.sequence < sequence->second;
}

discovery_effect apply_content(discovery& d, record_change const& change,
                               server_entry const& entry, time_point at)
{
    auto const& id = entry.server.id;
    if (change.removed)
        return remove_server(d, id, at, "entry removed");
    d.doubtful.erase(id);
    if (is_stale(d, entry))
        return {.note = fmt::format("server={} late entry ignored", id.value)};
    auto const known = d.known.servers.find(id);
    bool const same_start = known != d.known.servers.end() &&
                            known->second.born == entry.server.born;
    auto next = entry.server;
    next.changed = change.changed;
    // Leaving is final within one start.
    next.leaving = next.leaving || (same_start && known->second.leaving);
    d.sequences[id] = entry.sequence;
    auto note = fmt::format("server={} service={} domain={} address={}:{} "
                            "leaving={} cold_ms={} born={}",
                            id.value, next.service.value, next.domain.value,
                            next.address.address, next.address.port,
                            next.leaving, to_ms(next.cold_left), next.born);
    d.known.servers[id] = std::move(next);
    return {.deployment = true, .note = std::move(note)};
}

discovery_effect apply_content(discovery& d, record_change const&,
                               unusable_entry const& entry, time_point at)
{
    return remove_server(d, entry.id, at, entry.reason);
}

discovery_effect apply_content(discovery& d, record_change const& change,
                               domain_taken_out const& out, time_point)
{
    if (change.removed)
        d.known.taken_out.erase(out.domain);
    else
        d.known.taken_out.insert(out.domain);
    return {.deployment = true,
            .note = fmt::format("domain={} {}", out.domain.value,
                                change.removed ? "returned" : "taken out")};
}

discovery_effect apply_content(discovery& d, record_change const& change,
                               listed_router const& router, time_point)
{
    if (change.removed)
        d.routers.erase(change.key);
    else
        d.routers[change.key] = router;
    return {.routers = true};
}

discovery_effect apply_content(discovery&, record_change const& change,
                               ignored_record const& ignored, time_point)
{
    if (ignored.reason.empty())
        return {};
    return {.note =
                fmt::format("key={} ignored: {}", change.key, ignored.reason)};
}

} // namespace

void note_away(discovery& d)
{
    d.away = true;
}

void note_back(discovery& d, time_point at)
{
    if (!std::exchange(d.away, false))
        return;
    d.returned = at;
    d.lapsed = false;
    for (auto& [id, due] : d.doubtful)
        due = at + d.options.return_grace;
}

void note_removals(discovery& d, std::vector<record_change> const& changes)
{
    std::map<service_id, std::size_t> going;
    for (auto const& change : changes)
    {
        auto const* const entry = std::get_if<server_entry>(&change.content);
        if (!change.removed || !entry)
            continue;
        auto const known = d.known.servers.find(entry->server.id);
        if (known != d.known.servers.end())
            ++going[known->second.service];
    }
    for (auto const& [service, count] : going)
    {
        auto const all =
            std::count_if(d.known.servers.begin(), d.known.servers.end(),
                          [&id = service](auto const& entry)
                          { return entry.second.service == id; });
        if (static_cast<double>(count) >
            d.options.lapse_part * static_cast<double>(all))
            d.lapsed = true;
    }
}

discovery_effect apply(discovery& d, record_change const& change, time_point at)
{
    auto& applied = d.applied[change.key];
    if (change.changed != 0 && change.changed <= applied)
        return {};
    applied = std::max(applied, change.changed);
    return std::visit([&](auto const& content)
                      { return apply_content(d, change, content, at); },
                      change.content);
}

std::vector<std::string> missing_keys(discovery const& d,
                                      std::set<std::string> const& listed)
{
    std::vector<std::string> missing;
    for (auto const& [key, changed] : d.applied)
    {
        if (!listed.contains(key))
            missing.push_back(key);
    }
    return missing;
}

discovery_effect expire(discovery& d, time_point at)
{
    discovery_effect effect;
    if (d.away)
        return effect;
    auto const doubtful = d.doubtful;
    for (auto const& [id, due] : doubtful)
    {
        if (due > at)
            continue;
        drop_server(d, id);
        effect.deployment = true;
        effect.note += fmt::format("{}server={} gone: not listed again",
                                   effect.note.empty() ? "" : " ", id.value);
    }
    return effect;
}

} // namespace bramleyarch::decisions

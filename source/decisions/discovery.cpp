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
    return d.store_unavailable ||
           (d.mass_expiry && d.available_since &&
            at < *d.available_since + d.options.recovery_grace);
}

void drop_server(discovery& d, server_id const& id)
{
    d.deployment.servers.erase(id);
    d.sequences.erase(id);
    d.deferred_removals.erase(id);
}

discovery_effect apply_content(discovery& d, record_change const& change,
                               rules_record const& rules, time_point)
{
    if (change.removed)
        return {.log_text = "the rules were removed; the last ones stay"};
    if (d.deployment.rules && rules->version <= d.deployment.rules->version)
        return {.log_text =
                    fmt::format("rules of version {} ignored: {} is known",
                                rules->version, d.deployment.rules->version)};
    d.deployment.rules = rules;
    return {.deployment_changed = true,
            .log_text =
                fmt::format("rules of version {} adopted", rules->version)};
}

discovery_effect remove_server(discovery& d, server_id const& id, time_point at,
                               std::string_view why)
{
    if (!d.deployment.servers.contains(id))
        return {};
    if (in_doubt(d, at))
    {
        auto const from =
            d.available_since && !d.store_unavailable ? *d.available_since : at;
        d.deferred_removals.emplace(id, from + d.options.recovery_grace);
        return {.log_text =
                    fmt::format("server={} unlisted while the store was "
                                "away; kept for now",
                                id.value)};
    }
    drop_server(d, id);
    return {.deployment_changed = true,
            .log_text = fmt::format("server={} gone: {}", id.value, why)};
}

/// An entry written before what is known: it came late.
bool is_stale(discovery const& d, server_entry const& entry)
{
    auto const known = d.deployment.servers.find(entry.server.id);
    if (known == d.deployment.servers.end())
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
    d.deferred_removals.erase(id);
    if (is_stale(d, entry))
        return {.log_text =
                    fmt::format("server={} late entry ignored", id.value)};
    auto const known = d.deployment.servers.find(id);
    bool const same_start = known != d.deployment.servers.end() &&
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
    d.deployment.servers[id] = std::move(next);
    return {.deployment_changed = true, .log_text = std::move(note)};
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
        d.deployment.taken_out.erase(out.domain);
    else
        d.deployment.taken_out.insert(out.domain);
    return {.deployment_changed = true,
            .log_text = fmt::format("domain={} {}", out.domain.value,
                                    change.removed ? "returned" : "taken out")};
}

discovery_effect apply_content(discovery& d, record_change const& change,
                               listed_router const& router, time_point)
{
    if (change.removed)
        d.routers.erase(change.key);
    else
        d.routers[change.key] = router;
    return {.routers_changed = true};
}

discovery_effect apply_content(discovery&, record_change const& change,
                               ignored_record const& ignored, time_point)
{
    if (ignored.reason.empty())
        return {};
    return {.log_text =
                fmt::format("key={} ignored: {}", change.key, ignored.reason)};
}

} // namespace

void record_store_unavailable(discovery& d)
{
    d.store_unavailable = true;
}

void record_store_available(discovery& d, time_point at)
{
    if (!std::exchange(d.store_unavailable, false))
        return;
    d.available_since = at;
    d.mass_expiry = false;
    for (auto& [id, due] : d.deferred_removals)
        due = at + d.options.recovery_grace;
}

void detect_mass_expiry(discovery& d, std::vector<record_change> const& changes)
{
    std::map<service_id, std::size_t> going;
    for (auto const& change : changes)
    {
        auto const* const entry = std::get_if<server_entry>(&change.content);
        if (!change.removed || !entry)
            continue;
        auto const known = d.deployment.servers.find(entry->server.id);
        if (known != d.deployment.servers.end())
            ++going[known->second.service];
    }
    for (auto const& [service, count] : going)
    {
        auto const all = std::count_if(d.deployment.servers.begin(),
                                       d.deployment.servers.end(),
                                       [&id = service](auto const& entry)
                                       { return entry.second.service == id; });
        if (static_cast<double>(count) >
            d.options.mass_expiry_share * static_cast<double>(all))
            d.mass_expiry = true;
    }
}

discovery_effect apply_change(discovery& d, record_change const& change,
                              time_point at)
{
    auto& applied = d.applied_revisions[change.key];
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
    for (auto const& [key, changed] : d.applied_revisions)
    {
        if (!listed.contains(key))
            missing.push_back(key);
    }
    return missing;
}

discovery_effect remove_expired_servers(discovery& d, time_point at)
{
    discovery_effect effect;
    if (d.store_unavailable)
        return effect;
    auto const doubtful = d.deferred_removals;
    for (auto const& [id, due] : doubtful)
    {
        if (due > at)
            continue;
        drop_server(d, id);
        effect.deployment_changed = true;
        effect.log_text +=
            fmt::format("{}server={} gone: not listed again",
                        effect.log_text.empty() ? "" : " ", id.value);
    }
    return effect;
}

} // namespace bramleyarch::decisions

#include "decisions/discovery.hpp"

#include "decisions/status_record.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace bramleyarch::decisions
{

namespace
{

using rules_record = std::shared_ptr<config::routing_rules const>;

/// True if the store came back from an older copy so lately that records which
/// it lacks may yet be written again.
bool is_recovering(discovery const& state, time_point at)
{
    return state.restored_at &&
           at < *state.restored_at + state.options.recovery_grace;
}

/// True if an entry removed at `at` may belong to a server that still runs.
bool should_defer_removal(discovery const& state, time_point at)
{
    return state.store_unavailable || is_recovering(state, at) ||
           (state.mass_expiry && state.available_since &&
            at < *state.available_since + state.options.recovery_grace);
}

void erase_server(discovery& state, server_id const& id, time_point at)
{
    auto const server = state.deployment.servers.find(id);
    auto const sequence = state.sequences.find(id);
    if (server != state.deployment.servers.end() &&
        sequence != state.sequences.end())
        state.ended_runs[id] = {.born = server->second.born,
                                .sequence = sequence->second,
                                .leaving = server->second.leaving,
                                .at = at};
    state.deployment.servers.erase(id);
    state.sequences.erase(id);
    state.deferred_removals.erase(id);
}

/// True if the rules name the service of an order.
bool is_in_force(discovery const& state, service_id const& service)
{
    auto const& rules = state.deployment.rules;
    return rules && rules->services.contains(service);
}

/// Puts the orders of the services that the rules name in force, and drops the
/// statuses of other orders. Returns what changed, for the log.
std::string refresh_rollouts(discovery& state)
{
    auto& deployment = state.deployment;
    std::map<service_id, config::rollout_order> in_force;
    std::string text;
    for (auto const& [service, order] : state.orders)
    {
        if (!is_in_force(state, service))
            continue;
        in_force.emplace(service, order);
        auto const known = deployment.rollouts.find(service);
        if (known == deployment.rollouts.end() || known->second != order)
            text += fmt::format(
                " rollout service={} order={} to={} length_ms={} in force",
                service.value, order.changed, order.to_version,
                to_ms(order.length));
    }
    for (auto const& [service, order] : deployment.rollouts)
    {
        if (!in_force.contains(service))
            text += fmt::format(" rollout service={} order={} out of force",
                                service.value, order.changed);
    }
    deployment.rollouts = std::move(in_force);
    std::erase_if(deployment.rollout_statuses,
                  [&](auto const& entry)
                  {
                      auto const order = deployment.rollouts.find(entry.first);
                      return order == deployment.rollouts.end() ||
                             !belongs_to(entry.second, order->second);
                  });
    return text;
}

discovery_effect apply_content(discovery& state, record_change const& change,
                               config::rollout_order const& order, time_point)
{
    auto const& service = order.service;
    if (change.removed)
    {
        if (state.orders.erase(service) == 0)
            return {};
        return {.deployment_changed = true,
                .log_text =
                    fmt::format("order withdrawn:{}", refresh_rollouts(state))};
    }
    auto next = order;
    next.changed = change.changed;
    state.orders[service] = std::move(next);
    auto const text = refresh_rollouts(state);
    if (is_in_force(state, service))
        return {.deployment_changed = true,
                .log_text = fmt::format("order adopted:{}", text)};
    return {.deployment_changed = !text.empty(),
            .order_ignored = true,
            .log_text = fmt::format("rollout service={} not in force: the "
                                    "rules do not name the service",
                                    service.value)};
}

discovery_effect apply_content(discovery& state, record_change const& change,
                               rules_record const& rules, time_point)
{
    if (change.removed)
        return {.log_text = "rules removed from the store; the rules in use "
                            "are kept"};
    if (state.deployment.rules &&
        rules->version <= state.deployment.rules->version)
        return {.log_text = fmt::format(
                    "rules version {} ignored: version {} is in use",
                    rules->version, state.deployment.rules->version)};
    state.deployment.rules = rules;
    return {.deployment_changed = true,
            .log_text = fmt::format("rules version {} adopted{}",
                                    rules->version, refresh_rollouts(state))};
}

/// True if an entry may not be used yet: its version differs from those in use,
/// and an order that was written before the entry may not be known. The first
/// server of a service is used at once, and one in use stays so.
bool should_hold(discovery const& state, config::listed_server const& server,
                 revision changed)
{
    auto const& read = state.orders_read;
    auto const order = read.find(server.service);
    auto const known =
        std::max(state.operators_read, order == read.end() ? 0 : order->second);
    bool has_others = false;
    for (auto const& [id, other] : state.deployment.servers)
    {
        if (other.service != server.service)
            continue;
        if (other.version == server.version)
            return false;
        has_others = has_others || id != server.id;
    }
    return has_others && changed > known;
}

/// Removes a server now, or defers its removal if it may still run.
discovery_effect remove_server(discovery& state, server_id const& id,
                               time_point at, std::string_view reason)
{
    state.held_servers.erase(id);
    if (!state.deployment.servers.contains(id))
        return {};
    if (should_defer_removal(state, at))
    {
        auto const returned =
            std::max(state.available_since.value_or(time_point::min()),
                     state.restored_at.value_or(time_point::min()));
        auto const from = state.store_unavailable ? at : returned;
        state.deferred_removals.emplace(id,
                                        from + state.options.recovery_grace);
        return {.log_text = fmt::format("server={} has no valid entry after an "
                                        "outage of the store; removal deferred",
                                        id.value)};
    }
    erase_server(state, id, at);
    return {.deployment_changed = true,
            .log_text = fmt::format("server={} removed: {}", id.value, reason)};
}

/// True if the entry was written before the one in use.
bool is_outdated(discovery const& state, server_entry const& entry)
{
    auto const known = state.deployment.servers.find(entry.server.id);
    if (known == state.deployment.servers.end())
        return false;
    if (entry.server.born != known->second.born)
        return entry.server.born < known->second.born;
    auto const sequence = state.sequences.find(entry.server.id);
    return sequence != state.sequences.end() &&
           entry.sequence < sequence->second;
}

/// Returns the run of the entry if that had ended when it was last known.
ended_run const* find_ended_run(discovery const& state,
                                server_entry const& entry)
{
    auto const found = state.ended_runs.find(entry.server.id);
    return found != state.ended_runs.end() &&
                   found->second.born == entry.server.born
               ? &found->second
               : nullptr;
}

/// True if the entry was written before its run ended, and is there again since
/// the store came back from an older copy.
bool is_resurrected(discovery const& state, server_entry const& entry)
{
    auto const* const ended = find_ended_run(state, entry);
    return ended && state.restored_at && ended->at <= *state.restored_at &&
           entry.sequence <= ended->sequence;
}

discovery_effect apply_content(discovery& state, record_change const& change,
                               server_entry const& entry, time_point at)
{
    auto const& id = entry.server.id;
    if (change.removed)
        return remove_server(state, id, at, "entry deleted");
    state.deferred_removals.erase(id);
    if (is_outdated(state, entry))
        return {.log_text =
                    fmt::format("server={} outdated entry ignored", id.value)};
    if (is_resurrected(state, entry))
        return {.log_text = fmt::format("server={} entry of an ended run "
                                        "ignored",
                                        id.value)};
    auto const known = state.deployment.servers.find(id);
    state.held_servers.erase(id);
    if (should_hold(state, entry.server, change.changed))
    {
        bool const was_used = state.deployment.servers.erase(id) != 0;
        state.held_servers[id] = {.change = change,
                                  .service = entry.server.service};
        return {.deployment_changed = was_used,
                .log_text = fmt::format(
                    "server={} service={} version={} held until the order of "
                    "its service is known",
                    id.value, entry.server.service.value,
                    entry.server.version)};
    }
    bool const same_start = known != state.deployment.servers.end() &&
                            known->second.born == entry.server.born;
    auto next = entry.server;
    next.changed = change.changed;
    // A server that leaves does not return before its next start.
    auto const* const ended = find_ended_run(state, entry);
    next.leaving = next.leaving || (same_start && known->second.leaving) ||
                   (ended && ended->leaving);
    state.sequences[id] = entry.sequence;
    auto text =
        fmt::format("server={} service={} domain={} address={}:{} "
                    "version={} leaving={} cold_ms={} born={}",
                    id.value, next.service.value, next.domain.value,
                    next.address.address, next.address.port, next.version,
                    next.leaving, to_ms(next.cold_left), next.born);
    state.deployment.servers[id] = std::move(next);
    return {.deployment_changed = true, .log_text = std::move(text)};
}

discovery_effect apply_content(discovery& state, record_change const&,
                               unusable_entry const& entry, time_point at)
{
    return remove_server(state, entry.id, at, entry.reason);
}

discovery_effect apply_content(discovery& state, record_change const& change,
                               domain_taken_out const& out, time_point at)
{
    if (change.removed && is_recovering(state, at))
    {
        state.deferred_returns[out.domain] =
            *state.restored_at + state.options.recovery_grace;
        return {.log_text = fmt::format("domain={} has no record after the "
                                        "store was restored; return deferred",
                                        out.domain.value)};
    }
    state.deferred_returns.erase(out.domain);
    if (change.removed)
        state.deployment.taken_out.erase(out.domain);
    else
        state.deployment.taken_out.insert(out.domain);
    return {.deployment_changed = true,
            .log_text = fmt::format("domain={} {}", out.domain.value,
                                    change.removed ? "returned" : "taken out")};
}

discovery_effect apply_content(discovery& state, record_change const& change,
                               listed_router const& router, time_point)
{
    if (change.removed)
        state.routers.erase(change.key);
    else
        state.routers[change.key] = router;
    return {.routers_changed = true};
}

discovery_effect apply_content(discovery&, record_change const& change,
                               ignored_record const& ignored, time_point)
{
    if (ignored.reason.empty())
        return {};
    return {.order_ignored = ignored.is_order,
            .log_text =
                fmt::format("key={} ignored: {}", change.key, ignored.reason)};
}

/// Applies the entries of the held servers that no longer have to wait.
discovery_effect release_held_servers(discovery& state, time_point at)
{
    discovery_effect combined;
    auto const held = state.held_servers;
    for (auto const& [id, server] : held)
    {
        auto const& entry = std::get<server_entry>(server.change.content);
        if (should_hold(state, entry.server, server.change.changed))
            continue;
        auto const effect = apply_content(state, server.change, entry, at);
        combined.deployment_changed =
            combined.deployment_changed || effect.deployment_changed;
        combined.log_text +=
            (combined.log_text.empty() ? "" : " ") + effect.log_text;
    }
    return combined;
}

} // namespace

void record_store_unavailable(discovery& state)
{
    state.store_unavailable = true;
}

void record_store_available(discovery& state, time_point at)
{
    if (!std::exchange(state.store_unavailable, false))
        return;
    state.available_since = at;
    state.mass_expiry = false;
    for (auto& [id, due] : state.deferred_removals)
        due = at + state.options.recovery_grace;
}

void record_store_restored(discovery& state, time_point at)
{
    state.restored_at = at;
    // The keys stay, since those that a list lacks are removed.
    for (auto& [key, applied] : state.applied_revisions)
        applied = 0;
    state.operators_read = 0;
    state.orders_read.clear();
    state.held_servers.clear();
    for (auto& [id, due] : state.deferred_removals)
        due = at + state.options.recovery_grace;
}

void detect_mass_expiry(discovery& state,
                        std::vector<record_change> const& changes)
{
    std::map<service_id, std::size_t> removed;
    for (auto const& change : changes)
    {
        auto const* const entry = std::get_if<server_entry>(&change.content);
        if (!change.removed || !entry)
            continue;
        auto const known = state.deployment.servers.find(entry->server.id);
        if (known != state.deployment.servers.end())
            ++removed[known->second.service];
    }
    for (auto const& [service, count] : removed)
    {
        auto const all = std::count_if(state.deployment.servers.begin(),
                                       state.deployment.servers.end(),
                                       [&id = service](auto const& entry)
                                       { return entry.second.service == id; });
        if (static_cast<double>(count) >
            state.options.mass_expiry_share * static_cast<double>(all))
            state.mass_expiry = true;
    }
}

discovery_effect apply_change(discovery& state, record_change const& change,
                              time_point at)
{
    auto& applied = state.applied_revisions[change.key];
    if (change.changed != 0 && change.changed < applied)
        return {.log_text = fmt::format("key={} older change ignored: "
                                        "revision {} is applied",
                                        change.key, applied)};
    if (change.changed != 0 && change.changed == applied)
        return {};
    applied = std::max(applied, change.changed);
    return std::visit([&](auto const& content)
                      { return apply_content(state, change, content, at); },
                      change.content);
}

discovery_effect record_operators_read(discovery& state, revision read_to,
                                       time_point at)
{
    state.operators_read = std::max(state.operators_read, read_to);
    return release_held_servers(state, at);
}

discovery_effect record_order_read(discovery& state, service_id const& service,
                                   revision read_to, time_point at)
{
    auto& read = state.orders_read[service];
    read = std::max(read, read_to);
    return release_held_servers(state, at);
}

std::map<service_id, revision>
services_with_held_servers(discovery const& state)
{
    std::map<service_id, revision> services;
    for (auto const& [id, held] : state.held_servers)
    {
        auto& newest = services[held.service];
        newest = std::max(newest, held.change.changed);
    }
    return services;
}

discovery_effect record_rollout_status(discovery& state,
                                       config::rollout_status const& status)
{
    auto& deployment = state.deployment;
    auto const order = deployment.rollouts.find(status.service);
    if (order == deployment.rollouts.end() ||
        !belongs_to(status, order->second))
        return {};
    auto const known = deployment.rollout_statuses.find(status.service);
    if (known != deployment.rollout_statuses.end() && known->second == status)
        return {};
    deployment.rollout_statuses[status.service] = status;
    return {.deployment_changed = true,
            .log_text =
                fmt::format("rollout service={} order={} to={} state={}",
                            status.service.value, order->second.changed,
                            status.to_version, to_name(status.state))};
}

std::map<std::string, std::size_t>
server_versions(config::deployment const& deployment, service_id const& service)
{
    std::map<std::string, std::size_t> versions;
    for (auto const& [id, server] : deployment.servers)
    {
        if (server.service == service)
            ++versions[server.version];
    }
    return versions;
}

std::vector<std::string> missing_keys(discovery const& state,
                                      std::set<std::string> const& listed)
{
    std::vector<std::string> missing;
    for (auto const& [key, applied] : state.applied_revisions)
    {
        if (!listed.contains(key))
            missing.push_back(key);
    }
    return missing;
}

discovery_effect apply_due_removals(discovery& state, time_point at)
{
    discovery_effect effect;
    std::erase_if(
        state.ended_runs, [&](auto const& entry)
        { return at - entry.second.at >= state.options.ended_run_retention; });
    if (state.store_unavailable)
        return effect;
    auto const returns = state.deferred_returns;
    for (auto const& [domain, due] : returns)
    {
        if (due > at)
            continue;
        state.deferred_returns.erase(domain);
        state.deployment.taken_out.erase(domain);
        effect.deployment_changed = true;
        effect.log_text +=
            fmt::format("{}domain={} returned: not taken out again",
                        effect.log_text.empty() ? "" : " ", domain.value);
    }
    auto const deferred = state.deferred_removals;
    for (auto const& [id, due] : deferred)
    {
        if (due > at)
            continue;
        erase_server(state, id, at);
        effect.deployment_changed = true;
        effect.log_text +=
            fmt::format("{}server={} removed: not registered again",
                        effect.log_text.empty() ? "" : " ", id.value);
    }
    return effect;
}

} // namespace bramleyarch::decisions

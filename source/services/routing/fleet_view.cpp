#include "services/routing/routing_parts.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace bramleyarch::services::routing
{

namespace
{

constexpr double milli_per_unit = 1000;

bool is_domain_in_service(config::document const& config, domain_id const& id)
{
    auto const found =
        std::find_if(config.domains.begin(), config.domains.end(),
                     [&id](auto const& domain) { return domain.id == id; });
    return found != config.domains.end() &&
           found->state == config::domain_state::in_service;
}

void set_team_rates(routing_state& state, time_point at)
{
    std::unordered_set<team_id> known;
    for (auto const& team : state.config->teams)
    {
        known.insert(team.id);
        decisions::set_team_rate(state.limits, team.id, team.rate_limit,
                                 team.burst, at);
    }
    std::erase_if(state.limits.teams, [&known](auto const& entry)
                  { return !known.contains(entry.first); });
}

/// Returns the number of routers that accept requests, including this one.
std::size_t router_count(routing_state const& state)
{
    if (!state.view)
        return 1;
    auto const serving =
        std::count_if(state.view->members.begin(), state.view->members.end(),
                      [](auto const& member)
                      {
                          return member.state == member_state::live ||
                                 member.state == member_state::suspect;
                      });
    return std::max<std::size_t>(1, static_cast<std::size_t>(serving));
}

service_view make_service_view(routing_state const& state,
                               config::service_config const& service,
                               decisions::ownership const& assigned)
{
    service_view view{.kind = service.kind, .servers = {}};
    for (auto const& server : service.servers)
    {
        if (server.state != config::server_state::in_service ||
            !is_domain_in_service(*state.config, server.domain))
        {
            continue;
        }
        auto owner = decisions::owner_of(assigned, server.id);
        view.servers.push_back({.id = server.id,
                                .hash = name_hash(server.id.value),
                                .capacity = std::max(server.capacity, 1U),
                                .models = server.models,
                                .owner = owner.value_or(router_id{})});
    }
    return view;
}

} // namespace

void adopt_config(routing_state& state, routing_context& ctx,
                  config_snapshot config)
{
    if (!config || (state.config && config->version < state.config->version))
        return;
    state.config = std::move(config);
    state.budget.options.percent = state.config->limits.retry_budget_percent;
    state.quarantine.options.quarantine_ttl = state.config->limits.quarantine;
    set_team_rates(state, now(ctx));
    update_services(state);
    update_team_shares(state, ctx);
}

void update_services(routing_state& state)
{
    if (!state.config)
        return;
    decisions::ownership assigned;
    if (state.view)
        assigned = decisions::assign_owners(*state.config, *state.view);
    state.services.clear();
    for (auto const& service : state.config->services)
        state.services[service.id] =
            make_service_view(state, service, assigned);
}

void apply_reported_loads(routing_state& state, routing_context& ctx,
                          loads_changed const& changed)
{
    bool const is_local = changed.owner == state.options.self;
    loads_changed applied{.owner = changed.owner, .loads = {}};
    for (auto const& load : changed.loads)
    {
        auto& estimate = state.loads[load.server];
        if (!is_local && now(ctx) < estimate.exact_until)
            continue;
        estimate.reported = load;
        estimate.reported_at = now(ctx);
        estimate.local_at_report = estimate.local;
        applied.loads.push_back(load);
    }
    if (!is_local && !applied.loads.empty())
        kernel::send(state.owner, std::move(applied));
}

void record_reported_demand(routing_state& state, routing_context& ctx,
                            demand_changed const& changed)
{
    if (changed.router == state.options.self)
        return;
    for (auto const& demand : changed.demand)
        decisions::record_remote_demand(
            state.limits, demand.team, changed.router,
            demand.rate_milli / milli_per_unit, now(ctx));
}

void update_team_shares(routing_state& state, routing_context& ctx)
{
    decisions::update_shares(state.limits, router_count(state),
                             duration::zero(), now(ctx));
}

void report_local_demand(routing_state& state, routing_context& ctx,
                         duration elapsed)
{
    decisions::update_shares(state.limits, router_count(state), elapsed,
                             now(ctx));
    local_demand_report report;
    for (auto const& [team, bucket] : state.limits.teams)
    {
        auto const rate =
            static_cast<std::uint32_t>(bucket.local_demand * milli_per_unit);
        if (rate > 0)
            report.demand.push_back({team, rate});
    }
    kernel::send(state.members, std::move(report));
}

} // namespace bramleyarch::services::routing

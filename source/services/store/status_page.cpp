/// The store service's part of the operators' status page.
#include "services/store/store_parts.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace bramleyarch::services
{

namespace
{

using nlohmann::json;

json to_json(group_sync const& sync)
{
    return {{"stage", to_name(sync.stage)}, {"as_of", sync.synced_to}};
}

/// Describes a rollout: its order, what is stored of it, what this router wants
/// to store, and the servers by version. `status_revision` is 0 if no status of
/// the order is known to be stored.
json to_json(store_state const& state, rollout_sync const& sync)
{
    auto const& record = sync.record;
    auto const status = decisions::status_of(record);
    return {{"service", record.order.service.value},
            {"order", record.order.changed},
            {"to", record.order.to_version},
            {"length_ms", to_ms(record.order.length)},
            {"state", to_name(status.state)},
            {"status_revision", status.changed},
            {"read", record.is_read},
            {"decided", record.wanted ? to_name(*record.wanted) : ""},
            {"failures", record.failures},
            {"servers", decisions::server_versions(state.discovery.deployment,
                                                   record.order.service)}};
}

/// Lists the orders of services that the rules do not name.
json orders_out_of_force(store_state const& state)
{
    auto listed = json::array();
    for (auto const& [service, order] : state.discovery.orders)
    {
        if (!state.discovery.deployment.rollouts.contains(service))
            listed.push_back({{"service", service.value},
                              {"order", order.changed},
                              {"to", order.to_version}});
    }
    return listed;
}

} // namespace

std::string status_json(store_state& state)
{
    auto servers = to_json(sync_of(state, record_group::servers));
    servers["listed"] = state.discovery.deployment.servers.size();
    auto rollouts = json::array();
    for (auto const& [service, sync] : state.rollouts)
        rollouts.push_back(to_json(state, sync));
    json const status{{"rules", to_json(sync_of(state, record_group::rules))},
                      {"servers", std::move(servers)},
                      {"away", state.discovery.store_unavailable},
                      {"era", state.era},
                      {"listing", to_name(state.registration)},
                      {"routers", state.discovery.routers.size()},
                      {"rollouts", std::move(rollouts)},
                      {"orders_out_of_force", orders_out_of_force(state)}};
    return status.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace bramleyarch::services

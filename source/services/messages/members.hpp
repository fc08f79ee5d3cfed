/// Messages of the members service.
#pragma once

#include "services/messages/shared.hpp"

#include <variant>
#include <vector>

namespace bramleyarch::services
{

/// One instance in the platform's list, which may be out of date.
struct listed_instance
{
    router_id id;
    domain_id domain;
    endpoint heartbeat;
    bool leaving = false;
};

/// The platform's list of instances was read.
struct instances_listed
{
    std::vector<listed_instance> instances;
};

/// Demand per team as the local routing service measured it.
struct local_demand_report
{
    std::vector<team_demand> demand;
};

/// Delivered by the members service's own timers.
struct members_tick
{
};

/// The members service gossips the `loads_changed` and `quarantine_update`
/// messages that it receives from the local owner service.
using members_message =
    std::variant<instances_listed, loads_changed, local_demand_report,
                 quarantine_update, config_changed, drain_started, link_lost,
                 status_query, members_tick>;

} // namespace bramleyarch::services

/// Messages of the two HTTP servers: the front end for callers, and the admin
/// server for operators.
#pragma once

#include "common/request.hpp"
#include "services/messages/names.hpp"
#include "services/messages/shared.hpp"

#include <variant>

namespace bramleyarch::services
{

/// Delivered by the front end's own timers.
struct front_tick
{
};

/// The instance is leaving the fleet. The front end still accepts requests,
/// but closes each connection after its answer.
struct leaving_started
{
};

/// Delivered by the front end's own timers while it starts up.
struct startup_tick
{
};

/// The front end answers `idle_query` with true once it has written all bytes
/// of all answers.
using front_message =
    std::variant<answer_message, config_changed, drain_started, status_query,
                 idle_query, front_tick, deployment_changed, leaving_started,
                 startup_tick>;

/// Answer to an operator's HTTP request.
struct admin_page
{
    std::uint64_t connection = 0;
    int status = 200;
    std::string content_type;
    std::string body;
};

/// Status (JSON text) of one service, for a status page that an operator
/// requested.
struct admin_status_section
{
    std::uint64_t connection = 0;
    service_name service = service_name::front;
    std::string json;
};

/// Delivered by the admin server's own timers.
struct admin_tick
{
};

using admin_message =
    std::variant<admin_page, config_changed, members_changed, drain_started,
                 admin_tick, admin_status_section, deployment_changed>;

} // namespace bramleyarch::services

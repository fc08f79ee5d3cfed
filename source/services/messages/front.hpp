/// Messages of the HTTP front end.
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

/// The instance is leaving: requests are still taken, on connections that
/// close with their answer.
struct leaving_started
{
};

/// Idle is a front end that has handed over all bytes of all answers.
using front_message =
    std::variant<answer_message, config_changed, drain_started, status_query,
                 idle_query, front_tick, deployment_changed, leaving_started>;

/// Text that answers an operator's HTTP request.
struct admin_page
{
    std::uint64_t connection = 0;
    int status = 200;
    std::string content_type;
    std::string body;
};

/// Status text (JSON) of one service for an operator's HTTP request.
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

/// The lifecycle service: planned stop and reload of a router that admits its
/// own requests.
///
/// A stop first makes the instance not ready, so that the balancer turns
/// callers away from it, while requests are still served. Once no caller waits
/// for an answer, it takes no more and ends. The routing service is told when
/// the stop ends, and refuses what would not be answered before.
#pragma once

#include "config/settings.hpp"
#include "kernel/service.hpp"
#include "services/messages/front.hpp"
#include "services/messages/lifecycle.hpp"
#include "services/messages/peers.hpp"
#include "services/messages/routing.hpp"
#include "services/messages/store.hpp"
#include "services/telemetry/telemetry.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bramleyarch::services
{

struct lifecycle_options
{
    /// Reads the settings anew.
    std::function<config::parsed_settings()> read_settings;
    /// Changes when the settings' source does; empty: it can't be read.
    std::function<std::string()> settings_stamp;
    config::shared_limit_settings limits;
    /// Until callers no longer come: the balancer asks once a second and
    /// takes an instance out after two misses. At most a third of the limit.
    duration leave_time = std::chrono::milliseconds{2500};
    /// Kept back from the stop limit for the end itself; at most a twelfth of
    /// the limit.
    duration stop_margin = std::chrono::milliseconds{400};
    /// Kept back before that for the last answers to reach their callers; at
    /// most a twelfth of the limit.
    duration answer_margin = std::chrono::milliseconds{200};
    /// Set when the process is to end.
    std::shared_ptr<bool> ended = std::make_shared<bool>(false);
};

struct lifecycle_state
{
    lifecycle_options options;
    std::optional<time_point> stopping;
    time_point leave_end{};   ///< The process may end from then on.
    time_point answers_end{}; ///< The last answers have to be given.
    time_point stop_end{};    ///< The process ends at the latest.
    std::string stamp;
    bool refusing = false; ///< The front end was told to take no more.
    /// No caller waited for an answer when the last query was answered.
    bool callers_idle = false;
    std::uint32_t last_query = 0;
    int ticks = 0;
    telemetry counted;
    kernel::address<lifecycle_message> self;
    kernel::address<front_message> front;
    kernel::address<admin_message> admin;
    kernel::address<routing_message> routing;
    kernel::address<store_message> store;
};

using lifecycle_service = kernel::service<lifecycle_state, lifecycle_message>;

lifecycle_service make_lifecycle_service(lifecycle_options options);

} // namespace bramleyarch::services

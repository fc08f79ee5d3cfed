/// Instance list of the platform: registers this router under a lease and
/// reads the records of all routers.
#pragma once

#include "etcd/instance_record.hpp"
#include "kernel/mailbox.hpp"
#include "services/messages/members.hpp"
#include "services/platform/calls.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace bramleyarch::services
{

struct instance_options
{
    std::string prefix;
    duration ttl = std::chrono::seconds{15};
    duration call_timeout = std::chrono::seconds{1};
    duration list_interval = std::chrono::seconds{5};
    /// Limit of the average bandwidth for reading the list.
    std::uint32_t list_bytes_per_second = 400;
    /// Returns the record of this router. The router isn't registered while
    /// the record's heartbeat port is 0.
    std::function<etcd::instance_record()> self;
};

struct instance_state
{
    instance_options options;
    /// Id of the lease, or 0 if there is none.
    std::int64_t lease = 0;
    bool registering = false;
    bool listing = false;
    bool leaving = false;
    bool leaving_written = false;
    time_point register_at{};
    time_point list_at{};
    kernel::address<members_message> members;
};

/// Grants or renews the lease and reads the list when they are due.
void tick_instances(instance_state& state, call_table& calls, time_point at,
                    std::function<time_point()> const& clock);

/// Schedules writing this router's record with the state "leaving".
void announce_leaving(instance_state& state, time_point at);

} // namespace bramleyarch::services

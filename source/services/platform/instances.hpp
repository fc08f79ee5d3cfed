/// The platform's list of routers: registers this router with a lease and
/// reads the others.
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
    /// Reading the list takes no more than this on average.
    std::uint32_t list_bytes_per_second = 400;
    /// Record of this router; one whose heartbeat port is 0 is not written
    /// yet.
    std::function<etcd::instance_record()> self;
};

struct instance_state
{
    instance_options options;
    std::int64_t lease = 0; ///< 0: none.
    bool registering = false;
    bool listing = false;
    bool leaving = false;
    bool leaving_written = false;
    time_point register_at{};
    time_point list_at{};
    kernel::address<members_message> members;
};

/// Keeps the lease and reads the list when they are due.
void tick_instances(instance_state& state, call_table& calls, time_point at,
                    std::function<time_point()> const& clock);

/// Writes that this router is leaving.
void leave_instances(instance_state& state, time_point at);

} // namespace bramleyarch::services

/// Messages of the platform service, the client of the platform's key-value
/// service. They are independent of the encoding, the etcd v3 JSON protocol.
#pragma once

#include "common/error.hpp"
#include "etcd/key_value.hpp"
#include "services/messages/shared.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace bramleyarch::services
{

using etcd::kv_action;
using etcd::kv_compare;
using etcd::kv_compare_target;
using etcd::kv_entry;
using etcd::kv_operation;
using etcd::kv_transaction;
using etcd::kv_transaction_reply;

/// Runs a transaction. `reply` is called once, on the platform service's task,
/// and must only post to the mailbox of the requesting task. The error
/// `platform_unavailable` means that nothing was written; `platform_timeout`
/// means that it is unknown whether the transaction ran.
struct run_kv_transaction
{
    kv_transaction transaction;
    duration timeout{};
    std::function<void(result<kv_transaction_reply>)> reply;
};

/// Creates a lease. `reply` receives the id of the lease.
struct create_kv_lease
{
    duration ttl{};
    duration timeout{};
    std::function<void(result<std::int64_t>)> reply;
};

/// Watches one key, or the range from `key` to `range_end`. `changed` is
/// called with every changed entry; a deleted entry has a `create_revision`
/// of 0. A watch that is lost is opened again.
struct watch_kv_range
{
    std::string key;
    std::string range_end; ///< Empty for the single key.
    std::function<void(kv_entry)> changed;
};

/// Ends the watch that starts at `key`.
struct unwatch_kv_range
{
    std::string key;
};

/// Delivered by the platform service's own timers.
struct platform_tick
{
};

using platform_message =
    std::variant<run_kv_transaction, create_kv_lease, watch_kv_range,
                 unwatch_kv_range, drain_started, status_query, platform_tick>;

} // namespace bramleyarch::services

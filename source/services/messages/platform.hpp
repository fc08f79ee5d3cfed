/// Messages of the platform service: calls to the key-value service through
/// the etcd v3 JSON protocol, without its encoding.
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

/// Runs a transaction. `reply` is called once, on the platform task; it must
/// only post to the asking task's mailbox. An error `platform_unavailable`
/// means that nothing was written; `platform_timeout` that it is unknown.
struct run_kv_transaction
{
    kv_transaction transaction;
    duration timeout{};
    std::function<void(result<kv_transaction_reply>)> reply;
};

/// Creates a lease; `reply` gets its id.
struct create_kv_lease
{
    duration ttl{};
    duration timeout{};
    std::function<void(result<std::int64_t>)> reply;
};

/// Watches a key or range. `changed` is called with every changed entry
/// (an empty `create_revision` means erased); lost watches are re-opened.
struct watch_kv_range
{
    std::string key;
    std::string range_end;
    std::function<void(kv_entry)> changed;
};

/// Ends the watch of `key`.
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

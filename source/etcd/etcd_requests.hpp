/// Requests of the etcd v3 JSON protocol, each a POST with a JSON body.
#pragma once

#include "common/time.hpp"
#include "etcd/key_value.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace bramleyarch::etcd
{

/// Path and body of a POST.
struct etcd_request
{
    std::string target;
    std::string body;
};

/// First key after all that begin with `prefix`: the end of its range.
std::string end_of_prefix(std::string_view prefix);

etcd_request encode_transaction(kv_transaction const& transaction);

/// Lease of `ttl`, rounded up to whole seconds.
etcd_request encode_lease_grant(duration ttl);

etcd_request encode_lease_keep_alive(std::int64_t lease);

/// Watch of `key` (to `range_end` unless empty) from `start_revision` on;
/// 0: from now on.
etcd_request encode_watch(std::string const& key, std::string const& range_end,
                          std::int64_t start_revision);

} // namespace bramleyarch::etcd

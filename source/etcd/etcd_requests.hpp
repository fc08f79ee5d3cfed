/// Encoding of etcd v3 requests. Each is a POST with a JSON body.
#pragma once

#include "common/time.hpp"
#include "etcd/key_value.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace bramleyarch::etcd
{

/// Path and body of a POST request.
struct etcd_request
{
    std::string target;
    std::string body;
};

/// Returns the exclusive end of the range of keys that begin with `prefix`: a
/// single null byte, which etcd reads as no upper bound, if no key follows.
std::string end_of_prefix(std::string_view prefix);

etcd_request encode_transaction(kv_transaction const& transaction);

/// Requests a lease with a time to live of `ttl`, rounded up to whole seconds.
etcd_request encode_lease_grant(duration ttl);

etcd_request encode_lease_keep_alive(std::int64_t lease);

/// Watches `key`, or the range from `key` up to `range_end` if that is not
/// empty. Events start at `start_revision`, or with the next change if it is 0.
etcd_request encode_watch(std::string const& key, std::string const& range_end,
                          std::int64_t start_revision);

} // namespace bramleyarch::etcd

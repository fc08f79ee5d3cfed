/// Decoding of etcd v3 JSON responses.
#pragma once

#include "common/error.hpp"
#include "etcd/key_value.hpp"

#include <cstdint>
#include <string_view>

namespace bramleyarch::etcd
{

/// Decodes the reply to a transaction. Fails with `platform_unavailable` if
/// etcd rejected the transaction before it wrote anything, and with
/// `platform_timeout` for any other failed or malformed reply, since the
/// transaction may have taken effect.
result<kv_transaction_reply> decode_transaction(int status,
                                                std::string_view body);

/// Decodes the reply to a lease grant and returns the id of the lease.
result<std::int64_t> decode_lease_grant(int status, std::string_view body);

/// Decodes the reply to a lease keep-alive and returns the remaining time to
/// live in seconds, or 0 if the lease has expired.
result<std::int64_t> decode_lease_keep_alive(int status, std::string_view body);

} // namespace bramleyarch::etcd

/// Replies of the etcd v3 JSON protocol.
#pragma once

#include "common/error.hpp"
#include "etcd/key_value.hpp"

#include <cstdint>
#include <string_view>

namespace bramleyarch::etcd
{

/// Reads the reply to a transaction. `platform_unavailable` for a refusal
/// that states that nothing was written, `platform_timeout` for any other
/// reply that can't be read: the transaction may have taken effect.
result<kv_transaction_reply> decode_transaction(int status,
                                                std::string_view body);

/// Id of a granted lease.
result<std::int64_t> decode_lease_grant(int status, std::string_view body);

/// Seconds that a kept lease has left; 0: it has lapsed.
result<std::int64_t> decode_lease_keep_alive(int status, std::string_view body);

} // namespace bramleyarch::etcd

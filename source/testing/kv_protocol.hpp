/// The subset of the etcd v3 JSON protocol that the key-value stand-in
/// speaks: int64 as strings, keys and values in base64, and default values
/// left out of replies, as the published gateway does.
#pragma once

#include "testing/kv_store.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bramleyarch::testing
{

/// A reply: HTTP status and JSON body.
struct kv_reply
{
    unsigned status = 200;
    std::string body;
};

struct kv_watch_request
{
    key_range range;
    std::int64_t start_revision = 0; ///< 0: from now on.
};

/// True for a call that can write: a put, a delete, or a transaction that
/// holds one.
bool is_write(std::string_view path, nlohmann::json const& request);

/// True for a transaction that may put a key with this prefix.
bool writes_below(nlohmann::json const& transaction, std::string_view prefix);

/// Runs one call. `path` is one of /v3/kv/{range,put,deleterange,txn} and
/// /v3/lease/{grant,keepalive,revoke}.
kv_reply run_call(kv_store& store, std::string_view path,
                  nlohmann::json const& request, time_point at);

kv_watch_request read_watch(nlohmann::json const& request);

/// First line of a watch.
std::string watch_created(kv_store const& store);

/// Line with the matching events from history index `next` on, which is moved
/// forward; empty when there are none.
std::string watch_events(kv_store const& store, kv_watch_request const& watch,
                         std::size_t& next);

/// An error reply in the gateway's form.
kv_reply kv_error(unsigned status, int code, std::string_view message);

} // namespace bramleyarch::testing

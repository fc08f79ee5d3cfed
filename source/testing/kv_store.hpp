/// State of the key-value stand-in: keys with revisions, leases, history.
/// Time is passed in; no sockets and no encoding.
#pragma once

#include "common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bramleyarch::testing
{

struct kv_item
{
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

struct kv_event
{
    std::int64_t revision = 0;
    bool deleted = false;
    std::string key;
    kv_item item;
};

struct kv_lease
{
    std::int64_t ttl_seconds = 0;
    time_point expires{};
};

struct kv_store
{
    std::map<std::string, kv_item> items;
    std::map<std::int64_t, kv_lease> leases;
    std::vector<kv_event> history;
    std::int64_t revision = 1;
    std::int64_t last_lease = 0x1000;
};

/// One key (empty `end`), all keys from `key` on (`end` is one zero byte), or
/// the keys in [`key`, `end`).
struct key_range
{
    std::string key;
    std::string end;
};

bool contains(key_range const& range, std::string const& key);

std::vector<std::pair<std::string, kv_item>> find(kv_store const& store,
                                                  key_range const& range);

/// Writes at revision `at`, which the caller has made the store's own.
void put(kv_store& store, std::int64_t at, std::string const& key,
         std::string value, std::int64_t lease);

/// Erases at revision `at`; returns the number of keys erased.
std::int64_t erase(kv_store& store, std::int64_t at, key_range const& range);

/// Creates a lease; returns its id.
std::int64_t grant_lease(kv_store& store, std::int64_t ttl_seconds,
                         time_point at);

/// Extends a lease; returns its time to live in seconds, or nothing when it
/// has expired.
std::optional<std::int64_t> keep_alive(kv_store& store, std::int64_t id,
                                       time_point at);

/// Ends a lease and erases its keys; false when there is none.
bool revoke_lease(kv_store& store, std::int64_t id);

/// Ends the leases that have expired; true when one had.
bool expire_leases(kv_store& store, time_point at);

} // namespace bramleyarch::testing

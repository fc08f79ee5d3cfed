#include "testing/kv_store.hpp"

namespace bramleyarch::testing
{

bool contains(key_range const& range, std::string const& key)
{
    if (range.end.empty())
        return key == range.key;
    if (range.end == std::string(1, '\0'))
        return key >= range.key;
    return key >= range.key && key < range.end;
}

std::vector<std::pair<std::string, kv_item>> find(kv_store const& store,
                                                  key_range const& range)
{
    std::vector<std::pair<std::string, kv_item>> found;
    auto at = store.items.lower_bound(range.key);
    for (; at != store.items.end() && contains(range, at->first); ++at)
        found.emplace_back(*at);
    return found;
}

void put(kv_store& store, std::int64_t at, std::string const& key,
         std::string value, std::int64_t lease)
{
    auto& item = store.items[key];
    if (item.version == 0)
        item.create_revision = at;
    item.value = std::move(value);
    item.mod_revision = at;
    item.version += 1;
    item.lease = lease;
    store.history.push_back({.revision = at, .key = key, .item = item});
}

std::int64_t erase(kv_store& store, std::int64_t at, key_range const& range)
{
    auto const found = find(store, range);
    for (auto const& [key, item] : found)
    {
        store.items.erase(key);
        store.history.push_back({.revision = at,
                                 .deleted = true,
                                 .key = key,
                                 .item = {.mod_revision = at}});
    }
    return static_cast<std::int64_t>(found.size());
}

std::int64_t grant_lease(kv_store& store, std::int64_t ttl_seconds,
                         time_point at)
{
    std::int64_t const id = ++store.last_lease;
    store.leases[id] = {.ttl_seconds = ttl_seconds,
                        .expires = at + std::chrono::seconds{ttl_seconds}};
    return id;
}

std::optional<std::int64_t> keep_alive(kv_store& store, std::int64_t id,
                                       time_point at)
{
    auto const found = store.leases.find(id);
    if (found == store.leases.end())
        return std::nullopt;
    auto& lease = found->second;
    lease.expires = at + std::chrono::seconds{lease.ttl_seconds};
    return lease.ttl_seconds;
}

bool revoke_lease(kv_store& store, std::int64_t id)
{
    if (store.leases.erase(id) == 0)
        return false;
    std::vector<std::string> keys;
    for (auto const& [key, item] : store.items)
    {
        if (item.lease == id)
            keys.push_back(key);
    }
    if (keys.empty())
        return true;
    std::int64_t const at = ++store.revision;
    for (auto const& key : keys)
        erase(store, at, {.key = key, .end = {}});
    return true;
}

bool expire_leases(kv_store& store, time_point at)
{
    std::vector<std::int64_t> expired;
    for (auto const& [id, lease] : store.leases)
    {
        if (lease.expires <= at)
            expired.push_back(id);
    }
    for (auto const id : expired)
        revoke_lease(store, id);
    return !expired.empty();
}

} // namespace bramleyarch::testing

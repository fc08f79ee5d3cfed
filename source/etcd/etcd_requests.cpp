#include "etcd/etcd_requests.hpp"

#include "common/base64.hpp"

#include <nlohmann/json.hpp>

#include <chrono>

namespace bramleyarch::etcd
{

namespace
{

using nlohmann::json;

json encode(kv_compare const& condition)
{
    json encoded{{"key", to_base64(condition.key)}, {"result", "EQUAL"}};
    switch (condition.target)
    {
    case kv_compare_target::create_revision:
        encoded["target"] = "CREATE";
        encoded["create_revision"] = std::to_string(condition.number);
        break;
    case kv_compare_target::mod_revision:
        encoded["target"] = "MOD";
        encoded["mod_revision"] = std::to_string(condition.number);
        break;
    case kv_compare_target::value:
        encoded["target"] = "VALUE";
        encoded["value"] = to_base64(condition.value);
        break;
    }
    return encoded;
}

json encode_range(std::string const& key, std::string const& range_end)
{
    json encoded{{"key", to_base64(key)}};
    if (!range_end.empty())
        encoded["range_end"] = to_base64(range_end);
    return encoded;
}

json encode(kv_operation const& operation)
{
    auto encoded = encode_range(operation.key, operation.range_end);
    switch (operation.action)
    {
    case kv_action::put:
        encoded.erase("range_end");
        encoded["value"] = to_base64(operation.value);
        if (operation.lease != 0)
            encoded["lease"] = std::to_string(operation.lease);
        return {{"request_put", std::move(encoded)}};
    case kv_action::erase:
        return {{"request_delete_range", std::move(encoded)}};
    case kv_action::range:
        break;
    }
    return {{"request_range", std::move(encoded)}};
}

template <class Item>
json encode_list(std::vector<Item> const& items)
{
    auto list = json::array();
    for (auto const& item : items)
        list.push_back(encode(item));
    return list;
}

} // namespace

std::string end_of_prefix(std::string_view prefix)
{
    std::string end{prefix};
    while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff)
        end.pop_back();
    if (end.empty())
        return std::string(1, '\0'); // No upper bound.
    ++end.back();
    return end;
}

etcd_request encode_transaction(kv_transaction const& transaction)
{
    json const body{{"compare", encode_list(transaction.conditions)},
                    {"success", encode_list(transaction.on_success)},
                    {"failure", encode_list(transaction.on_failure)}};
    return {.target = "/v3/kv/txn", .body = body.dump()};
}

etcd_request encode_lease_grant(duration ttl)
{
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(ttl).count();
    json const body{{"TTL", std::to_string(seconds)}};
    return {.target = "/v3/lease/grant", .body = body.dump()};
}

etcd_request encode_lease_keep_alive(std::int64_t lease)
{
    json const body{{"ID", std::to_string(lease)}};
    return {.target = "/v3/lease/keepalive", .body = body.dump()};
}

etcd_request encode_watch(std::string const& key, std::string const& range_end,
                          std::int64_t start_revision)
{
    auto create = encode_range(key, range_end);
    create["progress_notify"] = true;
    if (start_revision != 0)
        create["start_revision"] = std::to_string(start_revision);
    json const body{{"create_request", std::move(create)}};
    return {.target = "/v3/watch", .body = body.dump()};
}

} // namespace bramleyarch::etcd

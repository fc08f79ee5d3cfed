#include "testing/kv_protocol.hpp"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <charconv>
#include <vector>

namespace bramleyarch::testing
{

namespace
{

using nlohmann::json;

constexpr int code_invalid_argument = 3;
constexpr int code_not_found = 5;
constexpr int code_unimplemented = 12;

std::string to_base64(std::string_view plain)
{
    std::string text(4 * ((plain.size() + 2) / 3) + 1, '\0');
    int const size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<unsigned char const*>(plain.data()),
                        static_cast<int>(plain.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string from_base64(std::string const& text)
{
    std::string plain(text.size() + 1, '\0');
    int const size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(plain.data()),
                        reinterpret_cast<unsigned char const*>(text.data()),
                        static_cast<int>(text.size()));
    std::size_t padding = 0;
    while (padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    if (size < static_cast<int>(padding))
        return {};
    plain.resize(static_cast<std::size_t>(size) - padding);
    return plain;
}

std::int64_t number(json const& from, char const* name)
{
    auto const found = from.find(name);
    if (found == from.end())
        return 0;
    if (found->is_number())
        return found->get<std::int64_t>();
    std::int64_t value = 0;
    auto const& text = found->get_ref<std::string const&>();
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string bytes(json const& from, char const* name)
{
    return from_base64(from.value(name, std::string{}));
}

key_range read_range(json const& from)
{
    return {.key = bytes(from, "key"), .end = bytes(from, "range_end")};
}

json header_of(kv_store const& store)
{
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(store.revision)},
            {"raft_term", "1"}};
}

json to_json(std::string const& key, kv_item const& item)
{
    json made{{"key", to_base64(key)},
              {"mod_revision", std::to_string(item.mod_revision)}};
    if (item.create_revision != 0)
        made["create_revision"] = std::to_string(item.create_revision);
    if (item.version != 0)
        made["version"] = std::to_string(item.version);
    if (!item.value.empty())
        made["value"] = to_base64(item.value);
    if (item.lease != 0)
        made["lease"] = std::to_string(item.lease);
    return made;
}

json run_range(kv_store const& store, json const& request)
{
    auto const found = find(store, read_range(request));
    auto const limit = static_cast<std::size_t>(number(request, "limit"));
    json reply{{"header", header_of(store)}};
    if (found.empty())
        return reply;
    reply["count"] = std::to_string(found.size());
    for (auto const& [key, item] : found)
    {
        if (limit != 0 && reply["kvs"].size() == limit)
        {
            reply["more"] = true;
            break;
        }
        reply["kvs"].push_back(to_json(key, item));
    }
    return reply;
}

json run_put(kv_store& store, std::int64_t at, json const& request)
{
    put(store, at, bytes(request, "key"), bytes(request, "value"),
        number(request, "lease"));
    return {{"header", header_of(store)}};
}

json run_delete(kv_store& store, std::int64_t at, json const& request)
{
    std::int64_t const erased = erase(store, at, read_range(request));
    json reply{{"header", header_of(store)}};
    if (erased != 0)
        reply["deleted"] = std::to_string(erased);
    return reply;
}

bool compare_numbers(std::string const& how, std::int64_t a, std::int64_t b)
{
    if (how == "GREATER")
        return a > b;
    if (how == "LESS")
        return a < b;
    return how == "NOT_EQUAL" ? a != b : a == b;
}

bool holds(kv_store const& store, json const& condition)
{
    auto const found = store.items.find(bytes(condition, "key"));
    bool const exists = found != store.items.end();
    kv_item const item = exists ? found->second : kv_item{};
    std::string const how = condition.value("result", "EQUAL");
    std::string const target = condition.value("target", "VERSION");
    if (target == "VALUE")
    {
        int const order = item.value.compare(bytes(condition, "value"));
        return exists && compare_numbers(how, order, 0);
    }
    if (target == "CREATE")
        return compare_numbers(how, item.create_revision,
                               number(condition, "create_revision"));
    if (target == "MOD")
        return compare_numbers(how, item.mod_revision,
                               number(condition, "mod_revision"));
    if (target == "LEASE")
        return compare_numbers(how, item.lease, number(condition, "lease"));
    return compare_numbers(how, item.version, number(condition, "version"));
}

bool writes(json const& operations)
{
    for (auto const& operation : operations)
    {
        if (operation.contains("request_put") ||
            operation.contains("request_delete_range"))
            return true;
    }
    return false;
}

json run_transaction(kv_store& store, json const& request)
{
    bool succeeded = true;
    for (auto const& condition : request.value("compare", json::array()))
        succeeded = succeeded && holds(store, condition);
    auto const operations =
        request.value(succeeded ? "success" : "failure", json::array());
    if (writes(operations))
        ++store.revision;
    json responses = json::array();
    for (auto const& operation : operations)
    {
        std::int64_t const at = store.revision;
        if (operation.contains("request_put"))
            responses.push_back(
                {{"response_put",
                  run_put(store, at, operation["request_put"])}});
        else if (operation.contains("request_delete_range"))
            responses.push_back(
                {{"response_delete_range",
                  run_delete(store, at, operation["request_delete_range"])}});
        else
            responses.push_back(
                {{"response_range",
                  run_range(store, operation.value("request_range",
                                                   json::object()))}});
    }
    json reply{{"header", header_of(store)}};
    if (succeeded)
        reply["succeeded"] = true;
    if (!responses.empty())
        reply["responses"] = std::move(responses);
    return reply;
}

/// Leases named by the puts of a call that do not exist.
bool names_lost_lease(kv_store const& store, json const& request)
{
    std::vector<json> puts{request};
    for (char const* branch : {"success", "failure"})
    {
        for (auto const& operation : request.value(branch, json::array()))
            puts.push_back(operation.value("request_put", json::object()));
    }
    for (auto const& one : puts)
    {
        std::int64_t const lease = number(one, "lease");
        if (lease != 0 && !store.leases.contains(lease))
            return true;
    }
    return false;
}

kv_reply lease_not_found()
{
    return kv_error(404, code_not_found,
                    "etcdserver: requested lease not found");
}

kv_reply run_lease_call(kv_store& store, std::string_view path,
                        json const& request, time_point at)
{
    json reply{{"header", header_of(store)}};
    std::int64_t const id = number(request, "ID");
    if (path == "/v3/lease/grant")
    {
        std::int64_t const ttl = number(request, "TTL");
        reply["ID"] = std::to_string(grant_lease(store, ttl, at));
        reply["TTL"] = std::to_string(ttl);
        return {.body = reply.dump()};
    }
    if (path == "/v3/lease/revoke")
    {
        if (!revoke_lease(store, id))
            return lease_not_found();
        return {.body = reply.dump()};
    }
    reply["ID"] = std::to_string(id);
    if (auto const ttl = keep_alive(store, id, at))
        reply["TTL"] = std::to_string(*ttl);
    return {.body = json{{"result", reply}}.dump() + "\n"};
}

} // namespace

kv_reply kv_error(unsigned status, int code, std::string_view message)
{
    json const body{{"error", message}, {"code", code}, {"message", message}};
    return {.status = status, .body = body.dump()};
}

bool is_write(std::string_view path, nlohmann::json const& request)
{
    if (path == "/v3/kv/txn")
        return writes(request.value("success", json::array())) ||
               writes(request.value("failure", json::array()));
    return path != "/v3/kv/range" && path != "/v3/watch";
}

bool writes_below(nlohmann::json const& transaction, std::string_view prefix)
{
    for (auto const& operation : transaction.value("success", json::array()))
    {
        auto const put = operation.value("request_put", json::object());
        if (bytes(put, "key").starts_with(prefix))
            return true;
    }
    return false;
}

kv_reply run_call(kv_store& store, std::string_view path,
                  nlohmann::json const& request, time_point at)
{
    if (!request.is_object())
        return kv_error(400, code_invalid_argument, "not a JSON object");
    if (path.starts_with("/v3/lease/"))
        return run_lease_call(store, path, request, at);
    if (names_lost_lease(store, request))
        return lease_not_found();
    if (path == "/v3/kv/range")
        return {.body = run_range(store, request).dump()};
    if (path == "/v3/kv/txn")
        return {.body = run_transaction(store, request).dump()};
    if (path == "/v3/kv/put")
        return {.body = run_put(store, ++store.revision, request).dump()};
    if (path == "/v3/kv/deleterange")
    {
        bool const any = !find(store, read_range(request)).empty();
        store.revision += any ? 1 : 0;
        return {.body = run_delete(store, store.revision, request).dump()};
    }
    return kv_error(404, code_unimplemented, "not a call of this service");
}

kv_watch_request read_watch(nlohmann::json const& request)
{
    auto const create = request.value("create_request", json::object());
    return {.range = read_range(create),
            .start_revision = number(create, "start_revision")};
}

std::string watch_created(kv_store const& store)
{
    json const line{
        {"result", {{"header", header_of(store)}, {"created", true}}}};
    return line.dump() + "\n";
}

std::string watch_events(kv_store const& store, kv_watch_request const& watch,
                         std::size_t& next)
{
    json events = json::array();
    for (; next < store.history.size(); ++next)
    {
        auto const& event = store.history[next];
        if (event.revision < watch.start_revision ||
            !contains(watch.range, event.key))
            continue;
        json made{{"kv", to_json(event.key, event.item)}};
        if (event.deleted)
            made["type"] = "DELETE";
        events.push_back(std::move(made));
    }
    if (events.empty())
        return {};
    json const line{
        {"result", {{"header", header_of(store)}, {"events", events}}}};
    return line.dump() + "\n";
}

} // namespace bramleyarch::testing

#include "etcd/etcd_replies.hpp"

#include "etcd/etcd_json.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace bramleyarch::etcd
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;

/// gRPC status codes with which etcd rejects a call before it has any effect.
constexpr std::array<std::int64_t, 6> rejection_codes{
    3,  // Invalid argument.
    5,  // Not found: the lease does not exist.
    7,  // Permission denied.
    8,  // Resource exhausted: too many requests, or no space.
    11, // Out of range: the revision was compacted.
    16, // Unauthenticated.
};

error error_of(int status, json const& body)
{
    auto const code = integer_of(body, "code");
    auto const& message = field(body, "message");
    auto const text = message.is_string() ? message.get<std::string>() : "";
    bool const rejected =
        status >= 400 && std::ranges::count(rejection_codes, code) == 1;
    return {rejected ? error_kind::platform_unavailable
                     : error_kind::platform_timeout,
            fmt::format("status {}: {}", status, text)};
}

/// Parses the body of a unary reply. Fails if the status is not 200 or the
/// body has no response header.
result<json> read_body(int status, std::string_view text)
{
    auto body = parse_object(text);
    if (status != status_ok)
        return fail(error_of(status, body).kind, error_of(status, body).detail);
    if (body.is_discarded() || !field(body, "header").is_object())
        return fail(error_kind::platform_timeout, "malformed reply from etcd");
    return body;
}

std::vector<kv_entry> entries_of(json const& range)
{
    std::vector<kv_entry> entries;
    auto const& kvs = field(range, "kvs");
    if (!kvs.is_array())
        return entries;
    entries.reserve(kvs.size());
    for (auto const& kv : kvs)
        entries.push_back(entry_of(kv));
    return entries;
}

} // namespace

result<kv_transaction_reply> decode_transaction(int status,
                                                std::string_view text)
{
    auto const body = read_body(status, text);
    if (!body)
        return body.error();
    kv_transaction_reply reply;
    reply.succeeded = flag_of(body.value(), "succeeded");
    reply.revision = integer_of(field(body.value(), "header"), "revision");
    auto const& responses = field(body.value(), "responses");
    if (!responses.is_array())
        return reply;
    for (auto const& response : responses)
    {
        auto const& range = field(response, "response_range");
        if (range.is_object())
            reply.ranges.push_back(entries_of(range));
    }
    return reply;
}

result<std::int64_t> decode_lease_grant(int status, std::string_view text)
{
    auto const body = read_body(status, text);
    if (!body)
        return body.error();
    auto const id = integer_of(body.value(), "ID");
    if (id == 0)
        return fail(error_kind::platform_timeout, "etcd reply has no lease ID");
    return id;
}

result<std::int64_t> decode_lease_keep_alive(int status, std::string_view text)
{
    // Keep-alive is a streaming call: the gateway wraps each response in
    // {"result": {...}}.
    auto const body = parse_object(text);
    auto const& keep_alive = field(body, "result");
    if (status != status_ok)
        return error_of(status, body);
    if (!keep_alive.is_object())
        return fail(error_kind::platform_timeout, "malformed reply from etcd");
    return integer_of(keep_alive, "TTL");
}

} // namespace bramleyarch::etcd

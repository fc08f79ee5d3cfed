#include "config/document_json.hpp"

#include "common/digest.hpp"
#include "common/endpoint_text.hpp"
#include "config/document_form.hpp"
#include "config/schema.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <set>

namespace bramleyarch::config
{

namespace
{

using nlohmann::json;

constexpr int max_depth = 8; // A valid document has a depth of 6.

json encode(domain_config const& d)
{
    return {{"id", d.id.value},
            {"region", d.region.value},
            {"state", to_name(d.state)}};
}

json encode(team_config const& t)
{
    return {{"id", t.id.value},
            {"weight", t.weight},
            {"rate_limit", t.rate_limit},
            {"burst", t.burst},
            {"api_key_digests", t.api_key_digests}};
}

json encode(route_config const& r)
{
    return {{"method", r.method},
            {"path_prefix", r.path_prefix},
            {"kind", to_name(r.kind)}};
}

json encode(server_config const& s)
{
    return {{"id", s.id.value},
            {"domain", s.domain.value},
            {"address", to_text(s.address)},
            {"capacity", s.capacity},
            {"cold_capacity", s.cold_capacity},
            {"state", to_name(s.state)},
            {"models", s.models},
            {"fencing", to_name(s.fencing)}};
}

json encode(service_config const& s);

template <class Item>
json encode_list(std::vector<Item> const& items)
{
    auto list = json::array();
    for (auto const& item : items)
        list.push_back(encode(item));
    return list;
}

json encode(service_config const& s)
{
    return {{"id", s.id.value},
            {"kind", to_name(s.kind)},
            {"path_prefix", s.path_prefix},
            {"models", s.models},
            {"routes", encode_list(s.routes)},
            {"default_kind", to_name(s.default_kind)},
            {"priority", to_name(s.priority)},
            {"deadline_ms", s.deadline.count()},
            {"servers", encode_list(s.servers)}};
}

json encode(limits_config const& l)
{
    return {{"load_bound_percent", l.load_bound_percent},
            {"max_body_bytes", l.max_body_bytes},
            {"queue_per_server", l.queue_per_server},
            {"retry_budget_percent", l.retry_budget_percent},
            {"max_candidates", l.max_candidates},
            {"key_retention_ms", l.key_retention.count()},
            {"quarantine_ms", l.quarantine.count()}};
}

json encode(document const& doc)
{
    return {{"version", doc.version},
            {"submission_id", doc.submission_id},
            {"domains", encode_list(doc.domains)},
            {"teams", encode_list(doc.teams)},
            {"services", encode_list(doc.services)},
            {"limits", encode(doc.limits)}};
}

// The decoders read values whose form was checked; absent fields keep their
// defaults.

template <class Number>
void decode(json const& from, char const* name, Number& to)
{
    if (from.contains(name))
        to = from[name].get<Number>();
}

template <class Tag>
void decode(json const& from, char const* name, string_id<Tag>& to)
{
    decode(from, name, to.value);
}

void decode(json const& from, char const* name, milliseconds& to)
{
    if (from.contains(name))
        to = milliseconds{from[name].get<std::int64_t>()};
}

template <class Enum>
void decode_name(json const& from, char const* name, Enum& to)
{
    if (from.contains(name))
        to = from_name<Enum>(from[name].get<std::string>()).value_or(to);
}

void decode_item(json const& from, domain_config& to)
{
    decode(from, "id", to.id);
    decode(from, "region", to.region);
    decode_name(from, "state", to.state);
}

void decode_item(json const& from, team_config& to)
{
    decode(from, "id", to.id);
    decode(from, "weight", to.weight);
    decode(from, "rate_limit", to.rate_limit);
    decode(from, "burst", to.burst);
    decode(from, "api_key_digests", to.api_key_digests);
}

void decode_item(json const& from, route_config& to)
{
    to.method = "*";
    to.path_prefix = "/";
    decode(from, "method", to.method);
    decode(from, "path_prefix", to.path_prefix);
    decode_name(from, "kind", to.kind);
}

void decode_item(json const& from, server_config& to)
{
    decode(from, "id", to.id);
    decode(from, "domain", to.domain);
    to.address = parse_endpoint(from["address"].get<std::string>()).value();
    decode(from, "capacity", to.capacity);
    decode(from, "cold_capacity", to.cold_capacity);
    decode_name(from, "state", to.state);
    decode(from, "models", to.models);
    decode_name(from, "fencing", to.fencing);
}

void decode_item(json const& from, service_config& to);

template <class Item>
void decode_items(json const& from, char const* name, std::vector<Item>& to)
{
    if (!from.contains(name))
        return;
    to.reserve(from[name].size());
    for (auto const& item : from[name])
        decode_item(item, to.emplace_back());
}

void decode_item(json const& from, service_config& to)
{
    decode(from, "id", to.id);
    decode_name(from, "kind", to.kind);
    decode(from, "path_prefix", to.path_prefix);
    decode(from, "models", to.models);
    decode_items(from, "routes", to.routes);
    decode_name(from, "default_kind", to.default_kind);
    decode_name(from, "priority", to.priority);
    decode(from, "deadline_ms", to.deadline);
    decode_items(from, "servers", to.servers);
}

void decode_item(json const& from, limits_config& to)
{
    decode(from, "load_bound_percent", to.load_bound_percent);
    decode(from, "max_body_bytes", to.max_body_bytes);
    decode(from, "queue_per_server", to.queue_per_server);
    decode(from, "retry_budget_percent", to.retry_budget_percent);
    decode(from, "max_candidates", to.max_candidates);
    decode(from, "key_retention_ms", to.key_retention);
    decode(from, "quarantine_ms", to.quarantine);
}

void decode_item(json const& from, document& to)
{
    decode(from, "version", to.version);
    decode(from, "submission_id", to.submission_id);
    decode_items(from, "domains", to.domains);
    decode_items(from, "teams", to.teams);
    decode_items(from, "services", to.services);
    if (from.contains("limits"))
        decode_item(from["limits"], to.limits);
}

/// Finds what the JSON library accepts silently: keys that stand twice in an
/// object, and deep nesting.
struct strictness_check
{
    std::vector<std::set<std::string>> keys;
    std::vector<fault> faults;
    bool too_deep = false;

    bool operator()(int depth, json::parse_event_t event, json& parsed)
    {
        using e = json::parse_event_t;
        too_deep = too_deep || depth > max_depth;
        if (too_deep)
            return false;
        if (event == e::object_start)
            keys.emplace_back();
        else if (event == e::object_end)
            keys.pop_back();
        else if (event == e::key)
            note_key(parsed.get_ref<std::string const&>());
        return true;
    }

    void note_key(std::string const& key)
    {
        if (!keys.back().insert(key).second)
            faults.push_back({"$.." + key, "stands twice in one object",
                              "keep one of the two"});
    }
};

void limit_faults(std::vector<fault>& faults)
{
    if (faults.size() <= max_faults)
        return;
    auto const more = faults.size() - max_faults;
    faults.resize(max_faults);
    faults.push_back({"$", fmt::format("has {} more faults", more),
                      "correct those above and check again"});
}

} // namespace

parsed_document parse_document(std::string_view text)
{
    parsed_document parsed;
    auto& faults = parsed.faults;
    if (text.size() > max_document_bytes)
    {
        faults.push_back(
            {"$", fmt::format("has {} bytes", text.size()),
             fmt::format("shorten it to {} bytes", max_document_bytes)});
        return parsed;
    }
    strictness_check strict;
    json value;
    try
    {
        value = json::parse(text, std::ref(strict));
    }
    catch (json::exception const& e)
    {
        faults.push_back({"$", fmt::format("is not JSON: {}", e.what()),
                          "correct the syntax at the position named"});
        return parsed;
    }
    if (strict.too_deep)
    {
        faults.push_back({"$", "is nested too deeply",
                          "use only the fields of the reference"});
        return parsed;
    }
    faults = std::move(strict.faults);
    check_object(value, object_kind::document, "$", faults);
    limit_faults(faults);
    if (faults.empty())
        decode_item(value, parsed.value);
    return parsed;
}

std::string to_canonical_json(document const& doc)
{
    return encode(doc).dump(-1, ' ', true, json::error_handler_t::replace);
}

std::string to_pretty_json(document const& doc)
{
    constexpr int indent = 2;
    return encode(doc).dump(indent, ' ', true, json::error_handler_t::replace) +
           '\n';
}

std::string digest_of(document const& doc)
{
    return sha256_hex(to_canonical_json(doc));
}

std::vector<fault> check_form(document const& doc)
{
    std::vector<fault> faults;
    auto const value = encode(doc);
    check_object(value, object_kind::document, "$", faults);
    auto const bytes = to_canonical_json(doc).size();
    if (bytes > max_document_bytes)
        faults.push_back(
            {"$", fmt::format("has {} bytes", bytes),
             fmt::format("shorten it to {} bytes", max_document_bytes)});
    limit_faults(faults);
    return faults;
}

} // namespace bramleyarch::config

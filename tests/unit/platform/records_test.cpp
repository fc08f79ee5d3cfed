/// Tests of decoding the platform's records, including malformed records of
/// other writers.
#include "platform/records.hpp"

#include "common/digest.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace bramleyarch::platform;
using namespace std::chrono_literals;

namespace
{

std::string const rules_text = R"({"Version":7,
"Routes":[{"Name":"r1","Host":"h.example","PathPrefix":"/a/",
 "Kind":"streaming","TimeoutMs":15000,"TargetLatencyMs":800,"Priority":0,
 "TrafficSplit":[{"Service":"llm","Weight":90},{"Service":"x","Weight":10}],
 "MaxAttempts":2,"Public":false,"StreamResume":true,"GapAimMs":400},
 {"Name":"r2","Host":"h.example","PathPrefix":"/b/","Kind":"unsafe",
 "Service":"desk","MaxAttempts":1,"Public":true},
 {"Name":"r3","Host":"h.example","PathPrefix":"/c/","Kind":"streaming",
 "Service":"llm","StreamResume":false}],
"Services":[{"Name":"llm","HealthPath":"/h","MaxConnections":370,
 "ColdStartS":3.0,"ColdPerS":10.0,
 "Engine":{"Slots":64,"KvCapacityTokens":471922}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
 "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1}]})";

config::routing_rules decode_sample_rules()
{
    auto const record = decode_record("op/config", rules_text);
    return **std::get_if<std::shared_ptr<config::routing_rules const>>(&record);
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_records)

BOOST_AUTO_TEST_CASE(decodes_rules)
{
    auto const rules = decode_sample_rules();
    BOOST_TEST(rules.version == 7U);
    BOOST_REQUIRE(rules.routes.size() == 3U);
    auto const& stream = rules.routes[0];
    BOOST_TEST((stream.kind == request_kind::idempotent));
    BOOST_TEST(stream.streaming);
    BOOST_TEST(stream.resumable);
    BOOST_TEST((stream.timeout == 15s));
    BOOST_TEST((stream.latency_target == 800ms));
    BOOST_TEST(stream.shares.size() == 2U);
    BOOST_TEST(stream.shares[1].weight == 10U);
    BOOST_TEST((rules.routes[1].kind == request_kind::non_idempotent));
    BOOST_TEST(rules.routes[1].open);
    // A stream without resumption may run only once.
    BOOST_TEST((rules.routes[2].kind == request_kind::non_idempotent));
    auto const& service = rules.services.at({"llm"});
    BOOST_TEST(service.cold_rate == 10);
    BOOST_TEST(service.engine->memory_tokens == 471922U);
    BOOST_TEST((rules.callers.idle_limit == 15s));
    BOOST_TEST(rules.needs_keys);
    BOOST_TEST(rules.teams.at(sha256_hex("k2")).id.value == "t1");
}

// Guards against a route that no request matches: callers' hosts are compared
// in lower case.
BOOST_AUTO_TEST_CASE(hosts_of_routes_are_decoded_in_lower_case)
{
    auto const record =
        decode_record("op/config", R"({"Version":1,"Routes":[{"Name":"r",
"Host":"Wash.Example","PathPrefix":"/","Kind":"safe","Service":"desk"}],
"Services":[{"Name":"desk"}],"Tenants":[]})");
    auto const rules =
        std::get<std::shared_ptr<config::routing_rules const>>(record);
    BOOST_TEST(rules->routes.at(0).host == "wash.example");
}

BOOST_AUTO_TEST_CASE(decodes_servers)
{
    auto const record = decode_record(
        "servers/i-1",
        R"({"Service":"llm","Address":"10.0.0.9:8080","Zone":"a","Slots":64,
            "State":"draining","ColdRemainingMs":250,"Sequence":4,"born":12})");
    auto const& entry = std::get<server_entry>(record);
    BOOST_TEST(entry.server.id.value == "i-1");
    BOOST_TEST(entry.server.leaving);
    BOOST_TEST((entry.server.cold_left == 250ms));
    BOOST_TEST(entry.server.born == 12U);
    BOOST_TEST(entry.sequence == 4U);
}

BOOST_AUTO_TEST_CASE(malformed_server_entries_are_unusable)
{
    for (std::string const text :
         {"", "\xff\x00\x01", "[]", "null", "7", "{}", R"({"Service":7})",
          R"({"Service":"llm","Address":"10.0.0.9:8080","State":"dozing"})",
          R"({"Service":"llm","Address":17,"State":"ready"})",
          R"({"Service":"llm","Address":"10.0.0.9:0","State":"ready"})",
          R"({"Service":"llm","Address":"nowhere","State":"ready"})"})
    {
        auto const record = decode_record("servers/i-1", text);
        auto const* const unusable = std::get_if<unusable_entry>(&record);
        BOOST_REQUIRE_MESSAGE(unusable, text);
        BOOST_TEST(unusable->id.value == "i-1");
        BOOST_TEST(!unusable->reason.empty());
    }
}

// Guards against an entry of another writer that ends the routers, or makes
// them use a server that does not exist.
BOOST_AUTO_TEST_CASE(odd_server_entries_are_unusable)
{
    std::string const address = R"("Address":"10.0.0.9:8080",)";
    std::string const slots = R"("Slots":64,)";
    std::string const cold = R"("ColdRemainingMs":0,)";
    std::string const sequence = R"("Sequence":4,)";
    std::string const rest = R"("Service":"llm","Zone":"a","State":"ready")";
    auto const entry = [&](std::string const& members)
    { return "{" + members + rest + "}"; };
    auto const is_usable = [](std::string const& text)
    {
        auto const record = decode_record("servers/i-1", text);
        return std::holds_alternative<server_entry>(record);
    };
    BOOST_TEST(is_usable(entry(address + slots + cold + sequence)));
    for (std::string const odd :
         {R"("Address":"10.0.0.9:65536",)", R"("Address":"10.0.0.9:-1",)",
          R"("Address":"10.0.0.9:99999999999999999999",)",
          R"("Address":"10.0.0.9:80 ",)", R"("Address":"10.0.0.9",)"})
        BOOST_TEST(!is_usable(entry(odd + slots + cold + sequence)), odd);
    for (std::string const odd :
         {"", R"("Slots":0,)", R"("Slots":"many",)", R"("Slots":4294967296,)",
          R"("Slots":1e300,)", R"("Slots":1e999,)", R"("Slots":-1,)"})
        BOOST_TEST(!is_usable(entry(address + odd + cold + sequence)), odd);
    for (std::string const odd :
         {"", R"("ColdRemainingMs":1e300,)", R"("ColdRemainingMs":-5,)",
          R"("ColdRemainingMs":18446744073709551615,)",
          R"("ColdRemainingMs":184467440737095516160,)"})
        BOOST_TEST(!is_usable(entry(address + slots + odd + sequence)), odd);
    for (std::string const odd :
         {"", R"("Sequence":{},)", R"("Sequence":1.5,)", R"("Sequence":-1,)"})
        BOOST_TEST(!is_usable(entry(address + slots + cold + odd)), odd);
    for (std::string const odd :
         {R"("born":-5,)", R"("born":"now",)", R"("born":1e18,)",
          R"("born":18446744073709551615,)"})
        BOOST_TEST(!is_usable(entry(address + slots + cold + sequence + odd)),
                   odd);
}

BOOST_AUTO_TEST_CASE(deeply_nested_entries_are_read_safely)
{
    constexpr std::size_t depth = 300'000;
    std::string const arrays =
        std::string(depth, '[') + std::string(depth, ']');
    std::string objects;
    for (std::size_t i = 0; i < depth; ++i)
        objects += R"({"a":)";
    objects += "1" + std::string(depth, '}');
    for (auto const& nested : {arrays, objects})
    {
        auto const record =
            decode_record("servers/i-1", R"({"Service":)" + nested + "}");
        BOOST_TEST(std::holds_alternative<unusable_entry>(record));
        auto const usable = decode_record(
            "servers/i-1",
            R"({"Service":"llm","Address":"10.0.0.9:8080","Zone":"a",)"
            R"("Slots":1,"State":"ready","ColdRemainingMs":0,"Sequence":1,)"
            R"("Models":)" +
                nested + "}");
        BOOST_TEST(std::holds_alternative<server_entry>(usable));
        BOOST_TEST(std::holds_alternative<ignored_record>(
            decode_record("op/config", nested)));
    }
}

BOOST_AUTO_TEST_CASE(malformed_rules_are_ignored)
{
    for (std::string const text : {"", "[]", "{}", R"({"Version":"new"})"})
    {
        auto const record = decode_record("op/config", text);
        BOOST_TEST(std::holds_alternative<ignored_record>(record), text);
    }
}

BOOST_AUTO_TEST_CASE(decodes_orders_and_versions_of_servers)
{
    auto const record = decode_record(
        "op/rollout/llm", R"({"Service":"llm","To":"v2","DurationS":12.5})");
    auto const& order = std::get<config::rollout_order>(record);
    BOOST_TEST(order.service.value == "llm");
    BOOST_TEST(order.to_version == "v2");
    BOOST_TEST((order.length == 12500ms));
    auto const removed = decode_record("op/rollout/llm", std::nullopt);
    BOOST_TEST(std::get<config::rollout_order>(removed).service.value == "llm");
    std::string const rest =
        R"("Service":"llm","Address":"10.0.0.9:8080","Zone":"a","Slots":64,)"
        R"("State":"ready","ColdRemainingMs":0,"Sequence":4})";
    auto const server =
        decode_record("servers/i-1", R"({"Version":"v1",)" + rest);
    BOOST_TEST(std::get<server_entry>(server).server.version == "v1");
    auto const odd = decode_record("servers/i-1", R"({"Version":2,)" + rest);
    BOOST_TEST(std::holds_alternative<unusable_entry>(odd));
}

// Guards against a rollout that an operator's typing error starts or replaces.
BOOST_AUTO_TEST_CASE(malformed_orders_are_ignored_with_a_reason)
{
    for (std::string const text :
         {"", "[]", "{}", R"({"Service":"x","To":"v2","DurationS":12})",
          R"({"To":"v2","DurationS":12})", R"({"Service":"llm","To":"v2"})",
          R"({"Service":"llm","DurationS":12})",
          R"({"Service":"llm","To":2,"DurationS":12})",
          R"({"Service":"llm","To":"v2","DurationS":0})",
          R"({"Service":"llm","To":"v2","DurationS":-3})",
          R"({"Service":"llm","To":"v2","DurationS":"12"})",
          R"({"Service":"llm","To":"v2","DurationS":1e300})"})
    {
        auto const record = decode_record("op/rollout/llm", text);
        auto const* const ignored = std::get_if<ignored_record>(&record);
        BOOST_REQUIRE_MESSAGE(ignored, text);
        BOOST_TEST(ignored->is_order);
        BOOST_TEST(!ignored->reason.empty());
    }
}

BOOST_AUTO_TEST_CASE(statuses_are_decoded_as_encoded)
{
    config::rollout_status const status{.service = {"llm"},
                                        .to_version = "v2",
                                        .state =
                                            config::rollout_state::rolled_back,
                                        .order = 17};
    auto const text = encode_status(status);
    BOOST_TEST(text.find(R"("State":"rolled_back")") != std::string::npos);
    BOOST_TEST((decode_status({"llm"}, text) == status));
    for (auto const* odd :
         {"", "[]", "{}", R"({"State":"done","To":"v2"})",
          R"({"State":"running"})", R"({"State":"running","To":7})"})
        BOOST_TEST(!decode_status({"llm"}, odd).has_value(), odd);
}

BOOST_AUTO_TEST_CASE(removed_keys_decode_to_their_ids)
{
    auto const server = decode_record("servers/i-1", std::nullopt);
    BOOST_TEST(std::get<server_entry>(server).server.id.value == "i-1");
    auto const domain = decode_record("op/evacuate/zone-a", std::nullopt);
    BOOST_TEST(std::get<domain_taken_out>(domain).domain.value == "zone-a");
    auto const other = decode_record("elsewhere/x", "anything");
    BOOST_TEST(std::get<ignored_record>(other).reason.empty());
}

BOOST_AUTO_TEST_CASE(a_routers_own_record_is_decoded_as_encoded)
{
    listed_router const router{{"r1"}, {"10.0.0.1", 7340}};
    auto const record = decode_record("routers/r1", encode_router(router));
    BOOST_TEST((std::get<listed_router>(record) == router));
}

BOOST_AUTO_TEST_SUITE_END()

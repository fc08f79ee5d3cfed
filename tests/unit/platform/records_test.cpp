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

BOOST_AUTO_TEST_CASE(numbers_of_another_type_get_defaults)
{
    auto const record = decode_record(
        "servers/i-1",
        R"({"Service":"llm","Address":"10.0.0.9:8080","State":"ready",
            "Slots":"many","ColdRemainingMs":1e300,"born":-5,"Sequence":{}})");
    auto const& entry = std::get<server_entry>(record);
    BOOST_TEST(entry.server.slots == 1U);
    BOOST_TEST(entry.server.born == 0U);
    BOOST_TEST((entry.server.cold_left > 0s));
}

BOOST_AUTO_TEST_CASE(malformed_rules_are_ignored)
{
    for (std::string const text : {"", "[]", "{}", R"({"Version":"new"})"})
    {
        auto const record = decode_record("op/config", text);
        BOOST_TEST(std::holds_alternative<ignored_record>(record), text);
    }
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

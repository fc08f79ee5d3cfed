/// Tests of the requests to, and responses from, the platform's store.
#include "platform/store_codec.hpp"

#include "common/base64.hpp"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace bramleyarch;
using namespace bramleyarch::platform;
using namespace std::chrono_literals;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(platform_store_codec)

BOOST_AUTO_TEST_CASE(lists_continue_after_the_last_key)
{
    auto const codec = store_codec();
    using services::list_consistency;
    using services::record_group;
    BOOST_TEST(
        codec.encode_list(record_group::rules, "", list_consistency::current)
            .target == "/kv-range?PathPrefix=op/");
    BOOST_TEST(codec
                   .encode_list(record_group::servers, "a b/c",
                                list_consistency::current)
                   .target == "/kv-range?PathPrefix=servers/&After=a%20b/c");
    BOOST_TEST(codec
                   .encode_list(record_group::routers, "",
                                list_consistency::allow_stale)
                   .target == "/kv-range?PathPrefix=routers/&AllowStale=1");
    json const page{{"Items",
                     {{{"Key", "op/evacuate/a"},
                       {"Value", to_base64("{}")},
                       {"Revision", 4}},
                      {{"Key", "servers/i-1"}, {"Value", "?"}, {"Revision", 5}},
                      "no item"}},
                    {"MorePages", true},
                    {"AsOf", 9}};
    auto const batch = codec.decode_list(page.dump());
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(batch.value().has_more);
    BOOST_TEST(batch.value().as_of == 9U);
    BOOST_TEST(batch.value().last_key == "servers/i-1");
    BOOST_REQUIRE(batch.value().changes.size() == 2U);
    BOOST_TEST(std::holds_alternative<decisions::unusable_entry>(
        batch.value().changes[1].content));
}

BOOST_AUTO_TEST_CASE(watches_distinguish_writes_from_removals)
{
    auto const codec = store_codec();
    BOOST_TEST(codec.encode_watch(services::record_group::servers, 411, 2500ms)
                   .target ==
               "/kv-watch?PathPrefix=servers/&After=411&WaitMs=2500");
    json const response{
        {"events",
         {{{"Key", "servers/i-1"}, {"Revision", 412}, {"Deleted", true}}}},
        {"AsOf", 412}};
    auto const batch = codec.decode_watch(response.dump());
    BOOST_REQUIRE(batch.has_value());
    BOOST_REQUIRE(batch.value().changes.size() == 1U);
    BOOST_TEST(batch.value().changes[0].removed);
    BOOST_TEST(batch.value().changes[0].changed == 412U);
}

BOOST_AUTO_TEST_CASE(each_key_belongs_to_the_group_of_its_prefix)
{
    using services::record_group;
    auto const codec = store_codec();
    BOOST_CHECK(codec.group_of("op/config") == record_group::rules);
    BOOST_CHECK(codec.group_of("op/evacuate/a") == record_group::rules);
    BOOST_CHECK(codec.group_of("servers/i-1") == record_group::servers);
    BOOST_CHECK(codec.group_of("routers/r1") == record_group::routers);
}

BOOST_AUTO_TEST_CASE(malformed_responses_are_errors)
{
    auto const codec = store_codec();
    for (std::string const text : {"", "[]", "{}", R"({"Items":7,"AsOf":1})",
                                   R"({"Items":[],"AsOf":"x"})", "\xff"})
    {
        BOOST_TEST(!codec.decode_list(text).has_value(), text);
        BOOST_TEST(!codec.decode_watch(text).has_value(), text);
        BOOST_TEST(!codec.decode_lease_grant(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(statuses_are_written_under_a_condition)
{
    auto const codec = store_codec();
    config::rollout_status const status{
        .service = {"desk"}, .to_version = "v2", .order = 17};
    auto const body = json::parse(codec.encode_status_write(status, 41).body);
    BOOST_TEST(body["ExpectedRevision"] ==
               json::parse(R"([{"Key":"status/rollout/desk","Revision":41}])"));
    BOOST_TEST(body["SetKeys"][0]["Key"] == "status/rollout/desk");
    BOOST_TEST(body["SetKeys"][0]["Lease"] == 0);
    BOOST_TEST(codec.encode_status_read({"desk"}).target ==
               "/kv-key?Key=status/rollout/desk");
    BOOST_TEST(codec.decode_status_write(R"({"Revision":42})").value() == 42U);

    json const item{{"Key", "status/rollout/desk"},
                    {"Value", body["SetKeys"][0]["Value"]},
                    {"Revision", 42}};
    auto const read = codec.decode_status_read(item.dump());
    BOOST_TEST(read.value().changed == 42U);
    BOOST_REQUIRE(read.value().status.has_value());
    BOOST_TEST(read.value().status->order == 17U);
    auto const conflict = codec.decode_status_conflict(
        json{{"Items", json::array({item})}}.dump());
    BOOST_TEST((conflict.value().status == read.value().status));
    auto const gone = codec.decode_status_conflict(R"({"Items":[]})");
    BOOST_TEST(gone.value().changed == 0U);
}

BOOST_AUTO_TEST_CASE(an_order_is_read_by_its_key)
{
    auto const codec = store_codec();
    BOOST_TEST(codec.encode_order_read({"desk"}).target ==
               "/kv-key?Key=op/rollout/desk");
    json const item{
        {"Key", "op/rollout/desk"},
        {"Value", to_base64(R"({"Service":"desk","To":"v2","DurationS":9})")},
        {"Revision", 42},
        {"AsOf", 50}};
    auto const read = codec.decode_order_read(item.dump());
    BOOST_TEST(read.value().as_of == 50U);
    BOOST_REQUIRE(read.value().changes.size() == 1U);
    BOOST_TEST(std::holds_alternative<config::rollout_order>(
        read.value().changes[0].content));
    BOOST_TEST(codec.decode_order_read(R"({"AsOf":7})").value().as_of == 7U);
    BOOST_TEST(!codec.decode_order_read("").has_value());
}

// Guards against a value of another writer that ends the routers, or keeps them
// from storing a state: the key's revision is known and it is overwritten.
BOOST_AUTO_TEST_CASE(statuses_that_can_not_be_read_keep_their_revision)
{
    auto const codec = store_codec();
    for (auto const& value : {json(to_base64("x")), json("?"), json(7)})
    {
        json const item{
            {"Key", "status/rollout/desk"}, {"Value", value}, {"Revision", 42}};
        auto const read = codec.decode_status_read(item.dump());
        BOOST_TEST(read.value().changed == 42U);
        BOOST_TEST(!read.value().status.has_value());
    }
    for (std::string const text : {"", "[]", "{}", R"({"Revision":"x"})"})
    {
        BOOST_TEST(!codec.decode_status_read(text).has_value(), text);
        BOOST_TEST(!codec.decode_status_write(text).has_value(), text);
        BOOST_TEST(!codec.decode_status_conflict(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(a_router_registers_under_its_lease)
{
    auto const codec = store_codec();
    auto const request =
        codec.encode_registration({{"r1"}, {"10.0.0.1", 7340}}, 77120);
    auto const body = json::parse(request.body);
    BOOST_TEST(body["SetKeys"][0]["Key"] == "routers/r1");
    BOOST_TEST(body["SetKeys"][0]["Lease"] == 77120);
    BOOST_TEST(codec.encode_lease_renewal(5).target == "/kv-keep/5");
    BOOST_TEST(codec.decode_lease_grant(R"({"Lease":5,"TtlMs":3})").value() ==
               5U);
}

BOOST_AUTO_TEST_SUITE_END()

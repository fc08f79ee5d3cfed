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

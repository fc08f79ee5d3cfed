/// Tests of the encoding of etcd v3 JSON requests, replies and instance
/// records.
#include "common/base64.hpp"
#include "etcd/etcd_replies.hpp"
#include "etcd/etcd_requests.hpp"
#include "etcd/instance_record.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace bramleyarch;
using namespace bramleyarch::etcd;
using namespace std::chrono_literals;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(etcd_codec)

BOOST_AUTO_TEST_CASE(base64_matches_the_rfc_4648_vectors)
{
    struct test_vector
    {
        std::string_view bytes;
        std::string_view text;
    };
    for (auto const& vector :
         {test_vector{"", ""}, test_vector{"f", "Zg=="},
          test_vector{"fo", "Zm8="}, test_vector{"foo", "Zm9v"},
          test_vector{"foob", "Zm9vYg=="}, test_vector{"fooba", "Zm9vYmE="},
          test_vector{"foobar", "Zm9vYmFy"}})
    {
        BOOST_TEST(to_base64(vector.bytes) == vector.text);
        BOOST_TEST(from_base64(vector.text).value_or("?") == vector.bytes);
    }
    for (auto const* bad : {"Z", "Zg=", "Zg", "Z===", "Zg==Zg==", "Zm9v\n",
                            "Zm 9", "====", "Zm9_"})
        BOOST_TEST(!from_base64(bad).has_value(), bad);
}

BOOST_AUTO_TEST_CASE(base64_round_trips_random_bytes)
{
    std::mt19937_64 random{3};
    for (std::size_t size = 0; size < 300; ++size)
    {
        std::string bytes(size, '\0');
        for (auto& byte : bytes)
            byte = static_cast<char>(random());
        BOOST_TEST(from_base64(to_base64(bytes)).value_or("?") == bytes);
    }
}

BOOST_AUTO_TEST_CASE(transaction_has_the_documented_encoding)
{
    auto const request = encode_transaction(
        {.conditions = {{.key = "foo",
                         .target = kv_compare_target::create_revision,
                         .number = 0},
                        {.key = "foo", .number = 7}},
         .on_success = {{.action = kv_action::put,
                         .key = "foo",
                         .value = "bar",
                         .lease = 9}},
         .on_failure = {{.key = "foo", .range_end = "fop"}}});
    BOOST_TEST(request.target == "/v3/kv/txn");
    BOOST_TEST(json::parse(request.body) == json::parse(R"({
        "compare": [
          {"key": "Zm9v", "target": "CREATE", "result": "EQUAL",
           "create_revision": "0"},
          {"key": "Zm9v", "target": "MOD", "result": "EQUAL",
           "mod_revision": "7"}],
        "success": [{"request_put":
          {"key": "Zm9v", "value": "YmFy", "lease": "9"}}],
        "failure": [{"request_range":
          {"key": "Zm9v", "range_end": "Zm9w"}}]})"));
}

BOOST_AUTO_TEST_CASE(lease_and_watch_have_the_documented_encoding)
{
    BOOST_TEST(json::parse(encode_lease_grant(1500ms).body) ==
               json::parse(R"({"TTL": "2"})"));
    BOOST_TEST(json::parse(encode_lease_keep_alive(12).body) ==
               json::parse(R"({"ID": "12"})"));
    BOOST_TEST(json::parse(encode_watch("foo", "", 5).body) ==
               json::parse(R"({"create_request": {"key": "Zm9v",
                 "start_revision": "5", "progress_notify": true}})"));
}

BOOST_AUTO_TEST_CASE(end_of_prefix_range)
{
    BOOST_TEST(end_of_prefix("a/") == "a0");
    BOOST_TEST(end_of_prefix("a\xff") == "b");
    BOOST_TEST(end_of_prefix("\xff") == std::string(1, '\0'));
}

BOOST_AUTO_TEST_CASE(transaction_reply)
{
    auto const reply = decode_transaction(200, R"({
      "header": {"revision": "42"}, "succeeded": true,
      "responses": [{"response_put": {"header": {}}},
        {"response_range": {"kvs": [{"key": "Zm9v", "value": "YmFy",
          "create_revision": "2", "mod_revision": "9007199254740993",
          "version": "1"}], "count": "1"}},
        {"response_range": {}}]})");
    BOOST_TEST_REQUIRE(reply.has_value());
    BOOST_TEST(reply.value().succeeded);
    BOOST_TEST(reply.value().revision == 42);
    BOOST_TEST_REQUIRE(reply.value().ranges.size() == 2U);
    auto const& entry = reply.value().ranges[0].at(0);
    BOOST_TEST(entry.key == "foo");
    BOOST_TEST(entry.value == "bar");
    BOOST_TEST(entry.mod_revision == 9007199254740993);
    BOOST_TEST(reply.value().ranges[1].empty());
}

BOOST_AUTO_TEST_CASE(only_rejections_before_execution_report_no_effect)
{
    auto const kind = [](int status, std::string_view body)
    { return decode_transaction(status, body).error().kind; };
    BOOST_TEST((kind(429, R"({"code": 8, "message": "too many requests"})") ==
                error_kind::platform_unavailable));
    BOOST_TEST((kind(404, R"({"code": 5, "message": "lease not found"})") ==
                error_kind::platform_unavailable));
    for (auto const* body :
         {R"({"code": 14, "message": "request timed out"})", "{}", "", "x"})
        BOOST_TEST((kind(503, body) == error_kind::platform_timeout), body);
    for (auto const* body : {"", "{}", "[]", "null", R"({"header": 1})"})
        BOOST_TEST((kind(200, body) == error_kind::platform_timeout), body);
}

BOOST_AUTO_TEST_CASE(lease_replies)
{
    BOOST_TEST(
        decode_lease_grant(200, R"({"header": {}, "ID": "7", "TTL": "9"})")
            .value() == 7);
    BOOST_TEST(decode_lease_grant(200, R"({"header": {}})").has_error());
    BOOST_TEST(
        decode_lease_keep_alive(200, R"({"result": {"ID": "7", "TTL": "9"}})")
            .value() == 9);
    BOOST_TEST(
        decode_lease_keep_alive(200, R"({"result": {"ID": "7"}})").value() ==
        0);
    BOOST_TEST(decode_lease_keep_alive(200, "{}").has_error());
}

BOOST_AUTO_TEST_CASE(mutated_replies_are_decoded_or_rejected,
                     *boost::unit_test::timeout(60))
{
    std::mt19937_64 random{5};
    std::string const original = R"({"header":{"revision":"42"},)"
                                 R"("succeeded":true,"responses":[)"
                                 R"({"response_range":{"kvs":[{"key":"Zm9v",)"
                                 R"("mod_revision":"9"}]}}]})";
    for (int i = 0; i < 5000; ++i)
    {
        auto text = original;
        for (auto changes = 1 + random() % 3; changes > 0; --changes)
            text[random() % text.size()] = static_cast<char>(random());
        auto const reply = decode_transaction(200, text);
        BOOST_TEST_REQUIRE(
            (reply.has_value() ||
             reply.error().kind == error_kind::platform_timeout));
    }
}

BOOST_AUTO_TEST_CASE(instance_record_round_trip_and_malformed_entries)
{
    instance_record const record{.id = {"r1"},
                                 .domain = {"a"},
                                 .heartbeat = {"10.0.0.1", 3},
                                 .link = {"10.0.0.1", 2},
                                 .admin = {"10.0.0.1", 1},
                                 .leaving = true};
    auto const read = decode_instance(
        "i/", {.key = "i/r1", .value = encode_instance(record)});
    BOOST_TEST_REQUIRE(read.has_value());
    BOOST_TEST(read->id.value == "r1");
    BOOST_TEST((read->heartbeat == record.heartbeat));
    BOOST_TEST(read->leaving);
    for (auto const* bad : {"", "{}", "[]", R"({"domain":"a"})",
                            R"({"domain":"a","heartbeat":"x:1"})"})
        BOOST_TEST(!decode_instance("i/", {.key = "i/r1", .value = bad}), bad);
}

BOOST_AUTO_TEST_SUITE_END()

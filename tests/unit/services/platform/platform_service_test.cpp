/// Tests of the platform service with a fake transport and a stepped clock.
#include "common/base64.hpp"
#include "kernel/kernel.hpp"
#include "services/messages/names.hpp"
#include "services/platform/platform_service.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

/// Records requests; the tests supply the responses.
struct fake_transport
{
    std::function<void(http::client_event)> on_event;
    std::vector<http::client_request> opened;
    std::vector<std::uint64_t> closed;

    [[nodiscard]] std::vector<http::client_request>
    requests(std::string_view target) const
    {
        std::vector<http::client_request> found;
        std::ranges::copy_if(opened, std::back_inserter(found),
                             [&](auto const& request)
                             { return request.target == target; });
        return found;
    }

    void answer(std::uint64_t id, std::string body, int status = 200) const
    {
        on_event(http::request_sent{id});
        on_event(http::response_head{id, status, {}});
        on_event(http::response_bytes{id, std::move(body)});
        on_event(http::response_end{id});
    }

    [[nodiscard]] bool is_closed(std::uint64_t id) const
    {
        return std::ranges::count(closed, id) != 0;
    }
};

void record_list(std::vector<instances_listed>*& lists,
                 kernel::context<members_message>&, members_message message)
{
    if (auto const* list = std::get_if<instances_listed>(&message))
        lists->push_back(*list);
}

void record_event_kind(std::vector<event_kind>*& kinds,
                       kernel::context<timeline_message>&,
                       timeline_message message)
{
    if (auto const* recorded = std::get_if<record_event>(&message))
        kinds->push_back(recorded->new_event.kind);
}

struct fixture
{
    fake_transport http;
    std::vector<instances_listed> lists;
    std::vector<event_kind> events;
    std::vector<result<kv_transaction_reply>> replies;
    std::vector<kv_entry> changes;
    kernel::kernel k{kernel::run_mode::stepped};
    kernel::address<platform_message> to;

    void start(platform_options options = {})
    {
        options.instances.prefix = "i/";
        options.make_transport = [this](auto on_event)
        {
            http.on_event = std::move(on_event);
            return platform_transport{
                .open = [this](http::client_request request)
                { http.opened.push_back(std::move(request)); },
                .close = [this](std::uint64_t id)
                { http.closed.push_back(id); }};
        };
        to = k.add(make_platform_service(std::move(options)));
        k.add(kernel::service<std::vector<instances_listed>*, members_message>{
            .name = std::string{to_name(service_name::members)},
            .state = &lists,
            .receive = record_list});
        k.add(kernel::service<std::vector<event_kind>*, timeline_message>{
            .name = std::string{to_name(service_name::timeline)},
            .state = &events,
            .receive = record_event_kind});
        k.start();
        k.run_until_idle();
        http.opened.clear(); // Discards the first read of the list.
    }

    void call()
    {
        send(to,
             run_kv_transaction{.transaction = {.on_success = {{.key = "foo"}}},
                                .timeout = 1s,
                                .reply = [this](auto reply)
                                { replies.push_back(std::move(reply)); }});
        k.run_until_idle();
    }

    void watch_foo()
    {
        send(to,
             watch_kv_range{.key = "foo", .changed = [this](kv_entry entry) {
                                changes.push_back(std::move(entry));
                            }});
        k.run_until_idle();
    }

    /// Returns the watch requests opened so far.
    [[nodiscard]] std::vector<http::client_request> watches() const
    {
        return http.requests("/v3/watch");
    }

    void bytes(std::uint64_t id, std::string text) const
    {
        http.on_event(http::response_bytes{id, std::move(text)});
    }
};

std::string created(int revision)
{
    return R"({"result":{"header":{"revision":")" + std::to_string(revision) +
           "\"},\"created\":true}}\n";
}

std::string changed(int revision)
{
    json const kv{{"key", to_base64("foo")},
                  {"value", to_base64("v")},
                  {"create_revision", "1"},
                  {"mod_revision", std::to_string(revision)}};
    json const line{{"result",
                     {{"header", {{"revision", std::to_string(revision)}}},
                      {"events", json::array({json{{"kv", kv}}})}}}};
    return line.dump() + '\n';
}

json create_request(http::client_request const& request)
{
    return json::parse(*request.body)["create_request"];
}

constexpr auto good_reply = R"({"header":{"revision":"3"},"succeeded":true})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_service, fixture)

BOOST_AUTO_TEST_CASE(call_is_answered)
{
    start();
    call();
    BOOST_TEST_REQUIRE(http.opened.size() == 1U);
    http.answer(http.opened[0].id, good_reply);
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST(replies[0].value().revision == 3);
}

BOOST_AUTO_TEST_CASE(unsent_call_is_reported_unavailable)
{
    start();
    call();
    http.on_event(
        http::response_failed{http.opened[0].id,
                              {error_kind::server_connect_failed, "refused"},
                              false});
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].error().kind == error_kind::platform_unavailable));
}

BOOST_AUTO_TEST_CASE(lost_reply_is_reported_as_timeout)
{
    start();
    call();
    auto const id = http.opened[0].id;
    http.on_event(http::request_sent{id});
    http.on_event(
        http::response_failed{id, {error_kind::server_closed, "closed"}, true});
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].error().kind == error_kind::platform_timeout));
}

BOOST_AUTO_TEST_CASE(unanswered_call_fails_at_its_deadline)
{
    start();
    call();
    call();
    http.on_event(http::request_sent{http.opened[0].id});
    k.advance(900ms);
    BOOST_TEST(replies.empty());
    k.advance(200ms);
    BOOST_TEST_REQUIRE(replies.size() == 2U);
    BOOST_TEST((replies[0].error().kind == error_kind::platform_timeout));
    BOOST_TEST((replies[1].error().kind == error_kind::platform_unavailable));
    BOOST_TEST(http.is_closed(http.opened[0].id));
    // A late reply isn't attributed to another call.
    http.answer(http.opened[0].id, good_reply);
    BOOST_TEST(replies.size() == 2U);
}

BOOST_AUTO_TEST_CASE(calls_in_flight_are_bounded_and_the_rest_wait)
{
    start({.calls = {.max_in_flight = 3}});
    k.advance(500ms);
    for (int i = 0; i < 5; ++i)
        call();
    // The read of the list is the third call in flight.
    BOOST_TEST(http.opened.size() == 2U);
    http.answer(http.opened[0].id, good_reply);
    BOOST_TEST(http.opened.size() == 3U);
    k.advance(2s);
    BOOST_TEST(replies.size() == 5U);
    for (std::size_t i = 1; i < replies.size(); ++i)
        BOOST_TEST(
            (replies[i].error().kind == error_kind::platform_unavailable));
}

BOOST_AUTO_TEST_CASE(rate_of_calls_is_bounded)
{
    start({.calls = {.calls_per_second = 10, .max_in_flight = 1000}});
    k.advance(50ms);
    for (int i = 0; i < 60; ++i)
        call();
    auto const at_once = http.opened.size();
    BOOST_TEST(at_once <= 10U);
    k.advance(500ms);
    BOOST_TEST(http.opened.size() <= at_once + 6);
    BOOST_TEST(http.opened.size() >= at_once + 4);
}

BOOST_AUTO_TEST_CASE(too_many_waiting_calls_are_refused_unsent)
{
    start({.calls = {.max_in_flight = 1, .max_waiting = 2}});
    for (int i = 0; i < 4; ++i)
        call();
    BOOST_TEST_REQUIRE(replies.size() == 2U);
    BOOST_TEST((replies[0].error().kind == error_kind::platform_unavailable));
}

BOOST_AUTO_TEST_CASE(loss_and_recovery_are_recorded_once)
{
    start();
    for (int i = 0; i < 3; ++i)
    {
        call();
        http.on_event(http::response_failed{http.opened.back().id, {}, false});
    }
    call();
    http.answer(http.opened.back().id, good_reply);
    k.run_until_idle();
    BOOST_TEST((events == std::vector{event_kind::platform_lost,
                                      event_kind::platform_recovered}));
}

BOOST_AUTO_TEST_CASE(watch_delivers_changes_and_resumes_after_the_last)
{
    start();
    watch_foo();
    BOOST_TEST_REQUIRE(watches().size() == 1U);
    BOOST_TEST(!create_request(watches()[0]).contains("start_revision"));
    auto const first = watches()[0].id;
    bytes(first, created(5));
    bytes(first, changed(7));
    http.on_event(http::response_failed{first, {}, true});
    k.advance(600ms);
    BOOST_TEST_REQUIRE(watches().size() == 2U);
    BOOST_TEST(create_request(watches()[1])["start_revision"] == "8");
    auto const second = watches()[1].id;
    bytes(second, created(9));
    bytes(second, changed(7)); // Delivered twice.
    bytes(second, changed(9));
    BOOST_TEST(changes.size() == 2U);
}

BOOST_AUTO_TEST_CASE(silent_watch_is_reopened)
{
    start();
    watch_foo();
    bytes(watches()[0].id, created(5));
    k.advance(19s);
    BOOST_TEST(watches().size() == 1U);
    k.advance(3s);
    BOOST_TEST_REQUIRE(watches().size() == 2U);
    BOOST_TEST(http.is_closed(watches()[0].id));
    BOOST_TEST(create_request(watches()[1])["start_revision"] == "6");
}

BOOST_AUTO_TEST_CASE(watch_restarts_at_current_revision_after_regression)
{
    start();
    watch_foo();
    bytes(watches()[0].id, created(50));
    http.on_event(http::response_end{watches()[0].id});
    k.advance(1s);
    BOOST_TEST_REQUIRE(watches().size() == 2U);
    bytes(watches()[1].id, created(3)); // Restored from an old backup.
    k.advance(1s);
    BOOST_TEST_REQUIRE(watches().size() == 3U);
    BOOST_TEST(!create_request(watches()[2]).contains("start_revision"));
}

BOOST_AUTO_TEST_CASE(compacted_watch_resumes_from_the_earliest_revision)
{
    start();
    watch_foo();
    bytes(watches()[0].id,
          "{\"result\":{\"header\":{\"revision\":\"90\"},\"canceled\":true,"
          "\"compact_revision\":\"80\"}}\n");
    k.advance(1s);
    BOOST_TEST_REQUIRE(watches().size() == 2U);
    BOOST_TEST(create_request(watches()[1])["start_revision"] == "80");
}

BOOST_AUTO_TEST_CASE(failing_watch_backs_off)
{
    start({.instances = {.list_interval = 1000s}});
    watch_foo();
    for (int i = 0; i < 600; ++i)
    {
        auto const open = watches().back().id;
        http.on_event(http::response_failed{open, {}, false});
        k.advance(100ms);
    }
    BOOST_TEST(watches().size() <= 18U); // Delays: 0.5, 1, 2, 4, then 5 s.
}

BOOST_AUTO_TEST_CASE(removed_watch_is_closed)
{
    start();
    watch_foo();
    send(to, unwatch_kv_range{"foo"});
    k.run_until_idle();
    BOOST_TEST(http.is_closed(watches()[0].id));
    k.advance(30s);
    BOOST_TEST(watches().size() == 1U);
}

BOOST_AUTO_TEST_CASE(router_registers_itself_and_renews_its_lease)
{
    start({.instances = {.self = []
                         {
                             return etcd::instance_record{
                                 .id = {"r1"},
                                 .domain = {"a"},
                                 .heartbeat = {"10.0.0.1", 1}};
                         }}});
    k.advance(100ms);
    // The fixture discarded the lease grant, the second request of the start.
    auto const grant_id = 2U;
    http.answer(grant_id, R"({"header":{},"ID":"77","TTL":"15"})");
    auto const puts = http.requests("/v3/kv/txn");
    BOOST_TEST_REQUIRE(puts.size() == 1U);
    auto const put = json::parse(*puts[0].body)["success"][0]["request_put"];
    BOOST_TEST(put["key"] == to_base64("i/r1"));
    BOOST_TEST(put["lease"] == "77");
    http.answer(puts[0].id, good_reply);
    k.advance(5100ms);
    auto const renewals = http.requests("/v3/lease/keepalive");
    BOOST_TEST_REQUIRE(renewals.size() == 1U);
    // The lease expired while the process was paused, so a new one is
    // granted.
    http.answer(renewals[0].id, R"({"result":{"ID":"77"}})");
    k.advance(3s);
    BOOST_TEST(http.requests("/v3/lease/grant").size() == 1U);
    send(to, drain_started{});
    k.run_until_idle();
    http.answer(http.requests("/v3/lease/grant")[0].id,
                R"({"header":{},"ID":"78","TTL":"15"})");
    auto const last = http.requests("/v3/kv/txn").back();
    auto const value = from_base64(
        json::parse(*last.body)["success"][0]["request_put"]["value"]
            .get<std::string>());
    BOOST_TEST(json::parse(value.value())["state"] == "leaving");
}

BOOST_AUTO_TEST_CASE(list_is_delivered_without_unreadable_entries)
{
    start();
    k.advance(6500ms); // The first read times out after 1 s.
    auto const reads = http.requests("/v3/kv/txn");
    BOOST_TEST_REQUIRE(!reads.empty());
    auto const kv = [](std::string const& key, std::string const& value) {
        return json{{"key", to_base64(key)}, {"value", to_base64(value)}};
    };
    json const range{
        {"kvs", json::array({kv("i/r1", R"({"domain":"a",)"
                                        R"("heartbeat":"10.0.0.1:5",)"
                                        R"("state":"leaving"})"),
                             kv("i/r2", "x")})}};
    json const reply{
        {"header", json::object()},
        {"succeeded", true},
        {"responses", json::array({json{{"response_range", range}}})}};
    http.answer(reads.back().id, reply.dump());
    k.run_until_idle();
    BOOST_TEST_REQUIRE(lists.size() == 1U);
    BOOST_TEST_REQUIRE(lists[0].instances.size() == 1U);
    BOOST_TEST(lists[0].instances[0].id.value == "r1");
    BOOST_TEST(lists[0].instances[0].leaving);
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of what a router believes of servers from reports and peers.
#include "decisions/server_model.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

time_point const start{1000s};
constexpr std::uint64_t server = 7;

server_report with_pace(std::uint32_t percent)
{
    return {.running = 10, .slots = 64, .pace_percent = percent};
}

} // namespace

BOOST_AUTO_TEST_SUITE(decisions_server_model)

// When reports stop, a slow server must not be avoided for longer than 2 s.
BOOST_AUTO_TEST_CASE(a_pace_decays_to_usual_within_two_seconds)
{
    server_model model;
    record_report(model, server, with_pace(300), start);
    BOOST_TEST(pace_at(model, server, start).percent == 300);
    BOOST_TEST(pace_at(model, server, start + 500ms).percent == 200);
    BOOST_TEST((pace_at(model, server, start + 500ms).age == 500ms));
    auto before = pace_at(model, server, start).percent;
    for (auto age = 100ms; age < 2s; age += 100ms)
    {
        auto const pace = pace_at(model, server, start + age).percent;
        BOOST_TEST(pace < before);
        before = pace;
    }
    auto const ended = pace_at(model, server, start + 2s);
    BOOST_TEST(ended.percent == 100);
    BOOST_TEST((ended.source == pace_source::none));
    BOOST_TEST(!has_stated_pace(model, server, start + 2s));
    remove_expired(model, start + 2s);
    BOOST_TEST(model.servers.empty());
}

// Heartbeats arrive out of order and over several routers; an older pace must
// not replace a newer one.
BOOST_AUTO_TEST_CASE(the_newest_pace_of_all_routers_is_believed)
{
    server_model model;
    record_report(model, server, with_pace(100), start);
    record_peer_pace(model, {server, 300, 50}, start + 40ms);
    BOOST_TEST(pace_at(model, server, start + 40ms).percent == 100);
    record_peer_pace(model, {server, 300, 50}, start + 60ms);
    BOOST_TEST(pace_at(model, server, start + 60ms).percent > 250);
    record_peer_pace(model, {server, 0, 0}, start + 70ms);
    record_peer_pace(model, {server, 10'001, 0}, start + 70ms);
    record_peer_pace(model, {server, 100, 4'000'000'000}, start + 70ms);
    BOOST_TEST(pace_at(model, server, start + 60ms).percent > 250);
}

// Without corrections, peers would avoid a server for long after its machine
// has recovered.
BOOST_AUTO_TEST_CASE(unusual_paces_and_their_corrections_are_sent)
{
    server_model model;
    record_report(model, server, with_pace(110), start);
    BOOST_TEST(paces_to_send(model, start).empty());
    record_report(model, server, with_pace(250), start + 100ms);
    auto const sent = paces_to_send(model, start + 300ms + 1us);
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].pace_percent == 250U);
    BOOST_TEST(sent[0].age_ms == 201U);
    record_report(model, server, with_pace(100), start + 400ms);
    record_report(model, server, with_pace(105), start + 800ms);
    BOOST_TEST(paces_to_send(model, start + 900ms).size() == 1U);
    record_report(model, server, with_pace(100), start + 1500ms);
    BOOST_TEST(paces_to_send(model, start + 1500ms).empty());
}

// Each pace costs 1 kB/s, so their number must not grow with the fleet.
BOOST_AUTO_TEST_CASE(few_paces_are_sent_and_the_newest_first)
{
    server_model model;
    for (std::uint64_t i = 0; i < 100; ++i)
        record_report(model, i, with_pace(250), start + 1ms * i);
    auto const sent = paces_to_send(model, start + 100ms);
    BOOST_REQUIRE(sent.size() == model.options.max_sent);
    BOOST_TEST(sent[0].server == 99U);
    BOOST_TEST(paces_to_send(model, start + 2s).empty());
}

// A report that many routers read must not make a server look idle to all.
BOOST_AUTO_TEST_CASE(fresh_reports_raise_the_counted_load_only)
{
    server_model model;
    record_report(model, server, {.running = 30, .waiting = 10}, start);
    BOOST_TEST(load_at(model, server, 20, start) == 40);
    BOOST_TEST(load_at(model, server, 20, start + 125ms) == 30);
    BOOST_TEST(load_at(model, server, 20, start + 250ms) == 20);
    BOOST_TEST(load_at(model, server, 50, start) == 50);
    BOOST_TEST(load_at(model, server + 1, 20, start) == 20);
}

// A server that states no pace beside others that do must not look fast.
BOOST_AUTO_TEST_CASE(paces_are_measured_where_none_is_stated)
{
    server_model model;
    constexpr std::uint64_t service = 3;
    for (int i = 0; i < 200; ++i)
    {
        auto const at = start + 10ms * i;
        for (std::uint64_t each = 0; each < 10; ++each)
            record_time(model, service, each, measured_time::event_gap,
                        each == 9 ? 90ms : 30ms, 1, at);
    }
    auto const at = start + 2s;
    auto const slow = pace_at(model, 9, at);
    BOOST_TEST((slow.source == pace_source::measured));
    BOOST_TEST(slow.percent > 200);
    BOOST_TEST(pace_at(model, 1, at).percent < 100);
    BOOST_TEST(!has_stated_pace(model, 9, at));
    BOOST_TEST(paces_to_send(model, at).empty());
    record_report(model, 9, with_pace(100), at);
    BOOST_TEST(pace_at(model, 9, at).percent == 100);
}

// Heartbeats can name any number of servers.
BOOST_AUTO_TEST_CASE(the_number_of_servers_is_bounded)
{
    server_model model;
    for (std::uint64_t i = 0; i < 10'000; ++i)
        record_peer_pace(model, {i, 300, 0}, start);
    BOOST_TEST(model.servers.size() == model.options.max_servers);
}

BOOST_AUTO_TEST_SUITE_END()

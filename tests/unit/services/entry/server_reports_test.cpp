/// Tests of what the entry service does with the loads that servers report.
#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

using namespace bramleyarch;
using namespace bramleyarch::test;

namespace
{

std::ptrdiff_t count_lines(std::vector<log_message> const& logged,
                           std::string_view event)
{
    return std::ranges::count(received<log_line>(logged), event,
                              &log_line::event);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_server_reports, two_server_fixture)

// A server with a faulty report must not fill the log.
BOOST_AUTO_TEST_CASE(malformed_reports_are_logged_once_per_server)
{
    std::set<server_id> used;
    for (int i = 0; i < 20; ++i)
    {
        submit(idempotent);
        used.insert(backend->sent.back().server);
        answer_last_attempt(200, "ok", {{"pace", "bad"}});
    }
    BOOST_REQUIRE(used.size() == 2U);
    BOOST_TEST(count_lines(*logged, "load_malformed") == 2);
}

// The report of a misdirected answer belongs to another server.
BOOST_AUTO_TEST_CASE(reports_of_other_servers_are_ignored)
{
    submit(idempotent);
    answer_last_attempt(421, "",
                        {{"answer-kind", "misdirected"}, {"pace", "bad"}});
    BOOST_TEST(count_lines(*logged, "load_malformed") == 0);
}

// Routers that see few answers of a server know its pace through others only.
BOOST_AUTO_TEST_CASE(paces_of_answers_and_peers_are_sent_to_peers)
{
    submit(idempotent);
    auto const server = backend->sent.back().server;
    answer_last_attempt(200, "ok", {{"pace", "250"}});
    send(entry, peer_heartbeat_received{{.from = {"r2"},
                                         .domain = {"b"},
                                         .server_paces = {{99, 300, 20}}}});
    test_kernel.advance(300ms);
    auto const sent = received<local_load_report>(*peers).back().paces;
    BOOST_REQUIRE(sent.size() == 2U);
    BOOST_TEST(sent[0].server == name_hash(server.value));
    BOOST_TEST(sent[0].pace_percent == 250U);
    BOOST_TEST(sent[1].server == 99U);
    BOOST_TEST(sent[1].age_ms == sent[0].age_ms + 20U);
}

// A request must not be sent to a machine that peers found to be slow.
BOOST_AUTO_TEST_CASE(servers_with_a_slow_machine_are_avoided)
{
    for (std::string const slow : {"s1", "s2"})
    {
        send(entry, peer_heartbeat_received{
                        {.from = {"r2"},
                         .domain = {"b"},
                         .server_paces = {{name_hash("s1"), 100, 0},
                                          {name_hash("s2"), 100, 0}}}});
        test_kernel.advance(1ms);
        send(entry, peer_heartbeat_received{
                        {.from = {"r2"},
                         .domain = {"b"},
                         .server_paces = {{name_hash(slow), 400, 0}}}});
        for (int i = 0; i < 10; ++i)
        {
            submit(idempotent);
            BOOST_TEST((backend->sent.back().server.value != slow));
            answer_last_attempt(200, "ok");
        }
        test_kernel.advance(3s);
    }
}

// Deployments whose servers state no pace must be served as before, whatever
// is measured.
BOOST_AUTO_TEST_CASE(choices_without_a_stated_pace_are_those_by_load)
{
    add_server("s3", "b");
    add_server("s4", "a");
    publish_deployment();
    std::mt19937_64 random{0}; // The seed of the fixture's options.
    std::vector<decisions::server_candidate> servers;
    for (auto const& [id, listed] : deployment.servers)
        servers.push_back({.hash = name_hash(id.value),
                           .slots = listed.slots,
                           .own_domain = listed.domain.value == "a"});
    for (std::uint64_t i = 0; i < 40; ++i)
    {
        request_terms terms{.streaming = true, .prompt_tokens = 20'000};
        if (i % 2 == 0)
            terms.prompt = {{100 + i, 9000}, {6, 300}};
        submit(idempotent, 2, terms);
        auto const chosen = decisions::select_server(
            servers, static_cast<double>(i) / 4,
            decisions::find_shared_prefix(terms.prompt), {}, random());
        BOOST_REQUIRE(chosen);
        auto& server = servers[chosen->index];
        BOOST_TEST(name_hash(backend->sent.back().server.value) == server.hash);
        server.load += 1;
        test_kernel.advance(1ms * (1 + i % 5));
        deliver(backend_head{backend->sent.back().attempt, 200, {}});
    }
}

// Priorities must reach the servers only where the setting says so.
BOOST_AUTO_TEST_CASE(priorities_are_stated_where_the_setting_is_on)
{
    config::routing_rules rules{.version = 4};
    rules.services[{"desk"}] = {.id = {"desk"},
                                .engine = config::engine_rule{.slots = 6}};
    rules.routes = {{.rank = 0, .shares = {{{"desk"}, 1}}},
                    {.rank = 3, .shares = {{{"desk"}, 1}}}};
    deployment.rules =
        std::make_shared<config::routing_rules const>(std::move(rules));
    publish_deployment();
    submit(idempotent, 2, {.rank = 3});
    BOOST_TEST(find_header(backend->sent.back().headers, "priority").empty());
    send(entry, shared_limits_changed{
                    {.retry_window = 10s,
                     .load_factor = 2,
                     .server_priorities = config::server_priority_mode::on}});
    submit(idempotent, 2, {.rank = 3});
    BOOST_TEST(find_header(backend->sent.back().headers, "priority") == "3");
}

BOOST_AUTO_TEST_SUITE_END()

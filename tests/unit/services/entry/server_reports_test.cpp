/// Tests of what the entry service does with the loads that servers report.
#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_SUITE_END()

/// Tests of the screen about the fleet.
#include "control/fleet_status.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::control;

namespace
{

constexpr auto page = R"({
  "router": "r1", "config_version": 7, "draining": false, "services": {
  "configuration": {"version": 7, "watcher": true},
  "members": {"members": [
    {"id": "r1", "domain": "a", "state": "live", "config": 7},
    {"id": "r2", "domain": "a", "state": "suspect", "config": 6}]},
  "owner": {"quarantined": 1, "servers": [
    {"server": "s1", "service": "chat", "domain": "a", "owned": true,
     "in_flight": 3, "queued": 2, "limit": 8, "capacity": 8, "cold": false,
     "breaker": "closed"},
    {"server": "s2", "service": "chat", "domain": "a", "owned": true,
     "in_flight": 1, "queued": 0, "limit": 2, "capacity": 8, "cold": true,
     "breaker": "open"},
    {"server": "s3", "service": "chat", "domain": "b", "owned": false}]}}})";

bool contains(std::string const& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(status_screen)

BOOST_AUTO_TEST_CASE(page_is_read)
{
    auto const status = read_status({"10.0.0.1", 1}, page);
    BOOST_TEST_REQUIRE(status.has_value());
    BOOST_TEST(status->id.value == "r1");
    BOOST_TEST(status->config == 7U);
    BOOST_TEST(status->watcher);
    BOOST_TEST(status->quarantined == 1U);
    BOOST_TEST(status->members.size() == 2U);
    BOOST_TEST(status->servers.size() == 2U);
}

BOOST_AUTO_TEST_CASE(pages_of_other_forms_do_no_harm)
{
    for (auto const* bad : {"", "x", "[]", "null", "7"})
        BOOST_TEST(!read_status({}, bad).has_value(), bad);
    for (auto const* odd :
         {"{}", R"({"services": {"owner": 4}})",
          R"({"services": {"owner": {"servers": "x"}}})",
          R"({"services": {"store": {"rollouts": [1, {"share": "x"}]}}})",
          R"({"services": {"routing": {"rollouts": {"a": 1}}}})",
          R"({"services": {"members": {"members": [1, null]}}})",
          R"({"config_version": "x", "router": 5})"})
        BOOST_TEST(read_status({"10.0.0.1", 1}, odd).has_value(), odd);
}

BOOST_AUTO_TEST_CASE(rollouts_are_shown_with_the_figures_of_both_versions)
{
    auto const status = read_status({"10.0.0.1", 1}, R"({"router": "r1",
"services": {"store": {"rollouts": [
  {"service": "desk", "order": 11, "to": "v2", "state": "rolled_back",
   "status_revision": 14, "decided": "rolled_back"},
  {"service": "chat", "order": 12, "to": "v7", "state": "running"}],
 "orders_out_of_force": [{"service": "gone", "order": 13, "to": "v3"}]},
"routing": {"rollouts": [
  {"service": "desk", "order": 11, "share": 0.05,
   "old": {"sent": 900, "failed": 1, "slow": 2},
   "new": {"sent": 51, "failed": 48, "slow": 3}},
  {"service": "desk", "order": 9, "share": 1}, 7]}}})");
    BOOST_TEST_REQUIRE(status.has_value());
    BOOST_TEST_REQUIRE(status->rollouts.size() == 3U);
    BOOST_TEST(status->rollouts[0].new_version->failed == 48U);
    BOOST_TEST(!status->rollouts[1].share.has_value());
    auto const screen = to_screen({.routers = {*status}});
    for (auto const* part :
         {"rolled_back", "900/1/2", "51/48/3", "0.05", "v7", "out of force"})
        BOOST_TEST(contains(screen, part), part);
    BOOST_TEST(!contains(to_screen({}), "rollout"));
}

BOOST_AUTO_TEST_CASE(screen_shows_routers_members_loads_and_silence)
{
    auto status = read_status({"10.0.0.1", 1}, page);
    status->control_bytes_per_second = 812;
    auto const screen =
        to_screen({.routers = {*status},
                   .silent = {{{"10.0.0.2", 2}, "no answer in time"}}});
    BOOST_TEST(contains(screen, "812"));
    BOOST_TEST(contains(screen, "10.0.0.2:2"));
    BOOST_TEST(contains(screen, "no answer in time"));
    BOOST_TEST(contains(screen, "r2=suspect"));
    BOOST_TEST(contains(screen, "1.50  warm"));
    BOOST_TEST(contains(screen, "0.50  cold, breaker open"));
}

BOOST_AUTO_TEST_CASE(control_bytes_of_a_metrics_page)
{
    BOOST_TEST(read_control_bytes("# HELP control_bytes_sent x\n"
                                  "a_control_bytes_sent_total 100\n"
                                  "a_requests_total 7\n"
                                  "a_control_bytes_received_total 20\n")
                   .value_or(0) == 120.0);
    BOOST_TEST(!read_control_bytes("a_requests_total 7\n").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

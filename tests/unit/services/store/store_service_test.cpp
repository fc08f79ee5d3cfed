/// Tests of the number of requests that the store service sends, and that it
/// misses no change for long.
#include "store_fixture.hpp"

using namespace bramleyarch;
using namespace bramleyarch::test;

BOOST_FIXTURE_TEST_SUITE(store_service, store_fixture)

// Guards against a request per change: in a rolling release servers come and go
// one after the other while every router watches.
BOOST_AUTO_TEST_CASE(changes_in_quick_succession_cost_one_request)
{
    complete_start();
    respond("watch servers",
            {.changes = {change("servers/i-3", 11)}, .as_of = 11});
    BOOST_TEST(server_count() == 3U);
    auto const before = count("watch servers");
    runtime.advance(400ms);
    BOOST_TEST(count("watch servers") == before);
    runtime.advance(400ms);
    BOOST_TEST(count("watch servers") == before + 1);
    BOOST_TEST(last("watch servers").target == "watch servers 11 10000");
}

// Guards against requests by every router for each router that restarts, as in
// a restart of a large fleet one by one.
BOOST_AUTO_TEST_CASE(restarts_of_other_routers_cost_no_requests)
{
    complete_start();
    BOOST_TEST(count("watch routers") == 0U);
    BOOST_TEST(router_count() == 1U);
    runtime.advance(14s);
    BOOST_TEST(count("list routers") == 1U);
    runtime.advance(2s);
    BOOST_TEST(count("list routers") == 2U);
    BOOST_TEST(last("list routers").target == "list routers  stale");
}

BOOST_AUTO_TEST_CASE(stale_list_removes_no_router_registered_after_it)
{
    complete_start();
    runtime.advance(16s);
    respond("list routers", {.changes = {}, .as_of = 4});
    BOOST_TEST(router_count() == 1U);
    runtime.advance(16s);
    respond("list routers", {.changes = {}, .as_of = 30});
    BOOST_TEST(router_count() == 0U);
}

// Guards against a router that keeps all bytes of a response without end.
BOOST_AUTO_TEST_CASE(response_without_end_is_abandoned)
{
    auto const id = last("list rules").id;
    deliver_event(http::response_head{.id = id, .status = 200});
    std::string const megabyte(1U << 20, 'x');
    constexpr std::size_t max_megabytes = 16;
    for (std::size_t i = 0; i < max_megabytes; ++i)
        deliver_event(http::response_bytes{id, megabyte});
    BOOST_TEST(closed.empty());
    deliver_event(http::response_bytes{id, "x"});
    BOOST_REQUIRE(closed.size() == 1U);
    BOOST_TEST(closed.front() == id);
    runtime.advance(1s);
    BOOST_TEST(count("list rules") == 2U);
    complete_start();
    BOOST_TEST(server_count() == 2U);
}

BOOST_AUTO_TEST_CASE(dead_watch_is_restarted_when_peers_advertise_newer_changes)
{
    complete_start();
    auto const dead = last("watch servers").id;
    send(store, peer_revisions_received{{.rules = 9, .servers = 12}});
    runtime.advance(500ms);
    BOOST_TEST(closed.empty());
    runtime.advance(1s);
    BOOST_REQUIRE(closed.size() == 1U);
    BOOST_TEST(closed.front() == dead);
    BOOST_TEST(last("watch servers").target == "watch servers 10 500");
    respond("watch servers",
            {.changes = {removal("servers/i-1", 12)}, .as_of = 12});
    BOOST_TEST(server_count() == 1U);
    runtime.advance(5s);
    BOOST_TEST(closed.size() == 1U);
}

// Guards against reading a large response again and again: peers advertised
// newer changes while it arrived over a slow link, so it was abandoned.
BOOST_AUTO_TEST_CASE(watch_whose_response_is_arriving_is_not_restarted)
{
    complete_start();
    auto const id = last("watch servers").id;
    send(store, peer_revisions_received{{.rules = 0, .servers = 12}});
    deliver_event(http::response_head{.id = id, .status = 200});
    for (int i = 0; i < 6; ++i)
    {
        runtime.advance(500ms);
        deliver_event(http::response_bytes{id, " "});
    }
    time_out("renew");
    BOOST_TEST(std::count(closed.begin(), closed.end(), id) == 0);
    // No byte for longer than peers may be ahead: the connection is dead.
    runtime.advance(1500ms);
    BOOST_TEST(std::count(closed.begin(), closed.end(), id) == 1);
}

BOOST_AUTO_TEST_CASE(change_unknown_to_the_store_restarts_the_watch_once)
{
    complete_start();
    send(store, peer_revisions_received{{.rules = 0, .servers = 999'999}});
    runtime.advance(1500ms);
    BOOST_TEST(closed.size() == 1U);
    respond("watch servers", {.changes = {}, .as_of = 20});
    runtime.advance(9s);
    BOOST_TEST(closed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(failed_lease_renewal_restarts_the_watches)
{
    complete_start();
    auto const watches = count("watch");
    runtime.advance(2s);
    time_out("renew");
    BOOST_TEST(count("watch") == watches + 2);
    BOOST_TEST(last("watch rules").target == "watch rules 10 500");
    // The store responds to the short watch, so the next one is long again.
    respond("watch rules", {.changes = {}, .as_of = 10});
    BOOST_TEST(last("watch rules").target == "watch rules 10 10000");
}

// Guards against removing live servers whose entries expired because nobody
// could renew them while the store was unavailable.
BOOST_AUTO_TEST_CASE(
    servers_that_expire_while_the_store_is_unavailable_are_kept)
{
    complete_start();
    runtime.advance(2s);
    time_out("renew");
    time_out("watch servers");
    runtime.advance(500ms);
    time_out("watch servers");
    // The store counts as unavailable now.
    runtime.advance(1s);
    respond("watch servers", {.changes = {removal("servers/i-1", 11),
                                          removal("servers/i-2", 12)},
                              .as_of = 12});
    BOOST_TEST(server_count() == 2U);
    // The servers are not listed again, so they are removed after all.
    runtime.advance(3s);
    BOOST_TEST(server_count() == 0U);
}

BOOST_AUTO_TEST_CASE(group_is_listed_again_when_the_watch_history_is_gone)
{
    complete_start();
    respond("watch servers", {}, 410);
    BOOST_TEST(count("list servers") == 2U);
    respond("list servers",
            {.changes = {change("servers/i-2", 9)}, .as_of = 15});
    BOOST_TEST(server_count() == 1U);
    BOOST_TEST(last("watch servers").target == "watch servers 15 10000");
}

// Guards against routers that refuse requests by an old configuration: one that
// missed several large versions read them all, over a slow link, while newer
// ones were written.
BOOST_AUTO_TEST_CASE(a_router_that_is_behind_reads_the_state_not_each_change)
{
    constexpr std::size_t document = 400'000;
    complete_start();
    respond("watch rules", {}, 410);
    respond("list rules", {.as_of = 15}, 200, document);
    auto const watch = last("watch rules");
    BOOST_TEST(watch.target == "watch rules 15 10000");

    begin_response("watch rules", 4 * document);
    BOOST_REQUIRE(closed.size() == 1U);
    BOOST_TEST(closed.front() == watch.id);
    BOOST_TEST(last("list rules").id > watch.id);
    respond("list rules", {.as_of = 40}, 200, document);
    BOOST_TEST(last("watch rules").target == "watch rules 40 10000");
}

BOOST_AUTO_TEST_CASE(a_long_watch_of_unstated_length_is_replaced)
{
    constexpr std::size_t document = 400'000;
    complete_start();
    respond("watch rules", {}, 410);
    respond("list rules", {.as_of = 15}, 200, document);
    auto const id = last("watch rules").id;
    deliver_event(http::response_head{.id = id, .status = 200});
    deliver_event(http::response_bytes{id, std::string(document, ' ')});
    BOOST_TEST(closed.empty());
    deliver_event(http::response_bytes{id, std::string(document, ' ')});
    BOOST_TEST(closed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_watch_with_one_version_is_read)
{
    constexpr std::size_t document = 400'000;
    complete_start();
    respond("watch rules", {}, 410);
    respond("list rules", {.as_of = 15}, 200, document);
    auto const lists = count("list rules");
    respond("watch rules", {.changes = {change("rules/x", 16)}, .as_of = 16},
            200, document + 1000);
    BOOST_TEST(closed.empty());
    BOOST_TEST(count("list rules") == lists);
}

// The pause saves requests while changes are cheap to read. Added to a long
// transfer, it only delays the next version.
BOOST_AUTO_TEST_CASE(a_long_transfer_is_not_followed_by_a_pause)
{
    complete_start();
    auto const id = last("watch servers").id;
    deliver_event(http::response_head{.id = id, .status = 200});
    runtime.advance(800ms);
    decoded_responses().push_back(
        {.changes = {change("servers/i-3", 11)}, .as_of = 11});
    deliver_event(http::response_bytes{
        id, std::to_string(decoded_responses().size() - 1)});
    deliver_event(http::response_end{id});
    BOOST_TEST(last("watch servers").target == "watch servers 11 10000");
}

BOOST_AUTO_TEST_CASE(newest_change_is_advertised_to_peers)
{
    complete_start();
    respond("watch servers",
            {.changes = {change("servers/i-3", 11)}, .as_of = 12});
    auto const advertised = received<known_revisions>(*peers).back();
    BOOST_TEST(advertised.servers == 11U);
    BOOST_TEST(advertised.rules == 0U);
}

BOOST_AUTO_TEST_CASE(expired_lease_is_replaced_by_a_new_one)
{
    complete_start();
    runtime.advance(2s);
    respond("renew", {}, 404);
    runtime.advance(300ms);
    BOOST_TEST(count("grant") == 2U);
}

// Guards against changes that are not in force since the store came back from
// an older copy: their revisions were applied before.
BOOST_AUTO_TEST_CASE(changes_of_a_new_era_are_applied_at_lower_revisions)
{
    era = 1;
    complete_start();
    respond("watch servers",
            {.changes = {change("servers/i-3", 14)}, .as_of = 14});
    era = 2;
    runtime.advance(1s);
    respond("watch servers", {}, 410);
    // Both groups are listed, also the one whose watch has not returned.
    BOOST_TEST(count("list rules") == 2U);
    BOOST_TEST(count("list servers") == 2U);
    respond("list rules", {.as_of = 10});
    respond("list servers",
            {.changes = {change("servers/i-1", 8), change("servers/i-2", 9)},
             .as_of = 10});
    BOOST_TEST(server_count() == 3U);
    BOOST_TEST(last("watch rules").target == "watch rules 10 10000");
    respond("watch servers",
            {.changes = {change("servers/i-4", 14)}, .as_of = 14});
    BOOST_TEST(server_count() == 4U);
    runtime.advance(3s);
    BOOST_TEST(server_count() == 3U);
}

// Guards against a router that is not listed: the lease and the record that it
// wrote are lost.
BOOST_AUTO_TEST_CASE(router_registers_again_in_a_new_era)
{
    era = 1;
    complete_start();
    era = 2;
    respond("watch rules", {.as_of = 9});
    runtime.advance(1s);
    BOOST_TEST(count("grant") == 2U);
    respond("grant", {});
    respond("register", {});
    BOOST_TEST(count("list routers") == 2U);
    BOOST_TEST(last("list routers").target == "list routers ");
}

// Guards against a late response that brings back what was before the restore.
BOOST_AUTO_TEST_CASE(response_of_an_earlier_era_is_not_used)
{
    era = 2;
    complete_start();
    era = 1;
    respond("watch servers",
            {.changes = {change("servers/i-9", 40)}, .as_of = 40});
    BOOST_TEST(server_count() == 2U);
    era = 2;
    runtime.advance(1s);
    BOOST_TEST(last("watch servers").target == "watch servers 10 500");
}

// Guards against watches that are replaced in vain, or too late, by what peers
// advertise of another era.
BOOST_AUTO_TEST_CASE(revisions_of_peers_count_within_an_era)
{
    era = 2;
    complete_start();
    send(store, peer_revisions_received{{.era = 1, .servers = 99}});
    runtime.advance(3s);
    BOOST_TEST(count("watch servers") == 1U);
    // Peers know that the store was restored; this router's watches are dead.
    send(store, peer_revisions_received{{.era = 3, .servers = 4}});
    runtime.run_until_idle();
    BOOST_TEST(last("watch servers").target == "watch servers 10 500");
    era = 3;
    respond("watch servers", {.as_of = 10});
    BOOST_TEST(count("list servers") == 2U);
    BOOST_TEST(received<known_revisions>(*peers).back().era == 3U);
    BOOST_TEST(received<known_revisions>(*peers).back().servers == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of the calls to the store: how many there are, and that no change is
/// missed for long.
#include "store_bench.hpp"

using namespace bramleyarch;
using namespace bramleyarch::test;

BOOST_FIXTURE_TEST_SUITE(store_service, store_bench)

// Load pattern: a rolling release, where servers come and go one after the
// other while every router watches.
BOOST_AUTO_TEST_CASE(changes_that_come_close_together_cost_one_call)
{
    settle();
    answer("watch servers",
           {.changes = {change("servers/i-3", 11)}, .as_of = 11});
    BOOST_TEST(servers() == 3U);
    auto const before = count("watch servers");
    k.advance(400ms);
    BOOST_TEST(count("watch servers") == before);
    k.advance(400ms);
    BOOST_TEST(count("watch servers") == before + 1);
    BOOST_TEST(last("watch servers").target == "watch servers 11 10000");
}

// Load pattern: all routers of a large fleet are restarted in turn.
BOOST_AUTO_TEST_CASE(routers_that_come_and_go_cost_the_others_no_call)
{
    settle();
    BOOST_TEST(count("watch routers") == 0U);
    BOOST_TEST(routers() == 1U);
    k.advance(14s);
    BOOST_TEST(count("list routers") == 1U);
    k.advance(2s);
    BOOST_TEST(count("list routers") == 2U);
    BOOST_TEST(last("list routers").target == "list routers  of any age");
}

BOOST_AUTO_TEST_CASE(an_old_list_drops_no_router_that_is_newer)
{
    settle();
    k.advance(16s);
    answer("list routers", {.changes = {}, .as_of = 4});
    BOOST_TEST(routers() == 1U);
    k.advance(16s);
    answer("list routers", {.changes = {}, .as_of = 30});
    BOOST_TEST(routers() == 0U);
}

BOOST_AUTO_TEST_CASE(a_watch_that_is_dead_is_replaced_once_peers_know_more)
{
    settle();
    auto const dead = last("watch servers").id;
    send(store, peer_revisions_received{{.rules = 9, .servers = 12}});
    k.advance(500ms);
    BOOST_TEST(closed.empty());
    k.advance(1s);
    BOOST_REQUIRE(closed.size() == 1U);
    BOOST_TEST(closed.front() == dead);
    BOOST_TEST(last("watch servers").target == "watch servers 10 500");
    answer("watch servers",
           {.changes = {removal("servers/i-1", 12)}, .as_of = 12});
    BOOST_TEST(servers() == 1U);
    k.advance(5s);
    BOOST_TEST(closed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_change_that_the_store_does_not_know_is_asked_for_once)
{
    settle();
    send(store, peer_revisions_received{{.rules = 0, .servers = 999'999}});
    k.advance(1500ms);
    BOOST_TEST(closed.size() == 1U);
    answer("watch servers", {.changes = {}, .as_of = 20});
    k.advance(9s);
    BOOST_TEST(closed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_renewal_without_answer_puts_the_watches_in_doubt)
{
    settle();
    auto const watches = count("watch");
    k.advance(2s);
    lose("renew");
    BOOST_TEST(count("watch") == watches + 2);
    BOOST_TEST(last("watch rules").target == "watch rules 10 500");
    // They are answered: the store is there, and the wait is long again.
    answer("watch rules", {.changes = {}, .as_of = 10});
    BOOST_TEST(last("watch rules").target == "watch rules 10 10000");
}

BOOST_AUTO_TEST_CASE(servers_that_lapse_while_the_store_is_away_are_kept)
{
    settle();
    k.advance(2s);
    lose("renew");
    lose("watch servers");
    k.advance(500ms);
    lose("watch servers");
    // Away: what goes meanwhile may be a lapse.
    k.advance(1s);
    answer("watch servers",
           {.changes = {removal("servers/i-1", 11), removal("servers/i-2", 12)},
            .as_of = 12});
    BOOST_TEST(servers() == 2U);
    k.advance(3s);
    BOOST_TEST(servers() == 0U);
}

BOOST_AUTO_TEST_CASE(a_store_without_its_history_is_listed_again)
{
    settle();
    answer("watch servers", {}, 410);
    BOOST_TEST(count("list servers") == 2U);
    answer("list servers",
           {.changes = {change("servers/i-2", 9)}, .as_of = 15});
    BOOST_TEST(servers() == 1U);
    BOOST_TEST(last("watch servers").target == "watch servers 15 10000");
}

BOOST_AUTO_TEST_CASE(peers_are_told_of_the_newest_change)
{
    settle();
    answer("watch servers",
           {.changes = {change("servers/i-3", 11)}, .as_of = 12});
    auto const told = received<known_revisions>(*peers).back();
    BOOST_TEST(told.servers == 11U);
    BOOST_TEST(told.rules == 0U);
}

BOOST_AUTO_TEST_CASE(a_lease_that_ended_is_granted_anew)
{
    settle();
    k.advance(2s);
    answer("renew", {}, 404);
    k.advance(300ms);
    BOOST_TEST(count("grant") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of reading and writing the status of a rollout: outages of the store,
/// lost responses, writes of other routers, and orders that end meanwhile.
#include "store_fixture.hpp"

using namespace bramleyarch;
using namespace bramleyarch::test;
using config::rollout_state;

namespace
{

constexpr auto write_running = "write desk 11 v2 running if 0";
constexpr auto write_rolled_back = "write desk 11 v2 rolled_back if 0";

struct rollout_fixture : store_fixture
{
    /// Completes the start with rules that name the service, and adds an order
    /// at revision 11.
    void start_with_order()
    {
        complete_start();
        change_rules({rules(10, "desk"), change("rules/rollout-desk", 11)});
    }

    static record_change rules(revision version, std::string const& service)
    {
        auto made = std::make_shared<config::routing_rules>();
        made->version = version;
        made->services[{service}] = {.id = {service}};
        return {.key = "rules/document",
                .changed = version,
                .content = std::shared_ptr<config::routing_rules const>{made}};
    }

    /// Delivers changes of the rules' group.
    void change_rules(std::vector<record_change> changes)
    {
        auto const as_of = changes.back().changed;
        runtime.advance(1s);
        respond("watch rules", {.changes = std::move(changes), .as_of = as_of});
    }

    void decide(rollout_state state, revision order = 11)
    {
        send(store, rollout_decision{.service = {"desk"},
                                     .order = order,
                                     .to_version = "v2",
                                     .state = state});
        runtime.run_until_idle();
    }

    static decisions::stored_status
    stored(rollout_state state, revision changed, revision order = 11)
    {
        return {.changed = changed,
                .status = config::rollout_status{.service = {"desk"},
                                                 .to_version = "v2",
                                                 .state = state,
                                                 .order = order,
                                                 .changed = changed}};
    }

    /// Returns the statuses that the routing service was told.
    std::vector<config::rollout_status> told() const
    {
        std::vector<config::rollout_status> statuses;
        for (auto const& message : received<rollout_status_known>(*routing))
            statuses.push_back(message.status);
        return statuses;
    }

    config::deployment published() const
    {
        return *received<deployment_changed>(*routing).back().deployment;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_status, rollout_fixture)

BOOST_AUTO_TEST_CASE(no_status_is_read_without_an_order)
{
    complete_start();
    runtime.advance(30s);
    BOOST_TEST(count("read") == 0U);
}

BOOST_AUTO_TEST_CASE(a_decision_is_written_once_and_published)
{
    start_with_order();
    BOOST_TEST(published().rollouts.at({"desk"}).changed == 11U);
    BOOST_TEST(count("read desk") == 1U);
    respond_text("read desk", 404, "");
    BOOST_REQUIRE(told().size() == 1U);
    BOOST_TEST(told().back().changed == 0U);
    decide(rollout_state::running);
    decide(rollout_state::running);
    BOOST_TEST(count(write_running) == 1U);
    respond_text("write", 200, "12");
    BOOST_TEST(told().back().changed == 12U);
    BOOST_TEST(published().rollout_statuses.at({"desk"}).changed == 12U);
    decide(rollout_state::succeeded);
    respond_text("write desk 11 v2 succeeded if 12", 200, "13");
    BOOST_CHECK(told().back().state == rollout_state::succeeded);
    decide(rollout_state::rolled_back);
    runtime.advance(20s);
    BOOST_TEST(count("write") == 2U);
    BOOST_TEST(count("read") == 1U);
}

BOOST_AUTO_TEST_CASE(a_lost_write_that_was_executed_is_found_by_reading)
{
    start_with_order();
    respond_text("read desk", 404, "");
    decide(rollout_state::rolled_back);
    time_out(write_rolled_back);
    runtime.advance(1s);
    BOOST_TEST(count("read desk") == 2U);
    respond_stored("read desk", 200, stored(rollout_state::rolled_back, 12));
    runtime.advance(5s);
    BOOST_TEST(count("write") == 1U);
    BOOST_TEST(
        (told().back() == *stored(rollout_state::rolled_back, 12).status));
}

BOOST_AUTO_TEST_CASE(a_lost_write_that_was_not_executed_is_repeated)
{
    start_with_order();
    respond_text("read desk", 404, "");
    decide(rollout_state::rolled_back);
    time_out(write_rolled_back);
    runtime.advance(1s);
    respond_text("read desk", 404, "");
    BOOST_TEST(count(write_rolled_back) == 2U);
    respond_text("write", 200, "14");
    BOOST_TEST(told().back().changed == 14U);
}

// Guards against a second state of one order: the first write is executed after
// the store was read back, and before the repeated write arrives.
BOOST_AUTO_TEST_CASE(a_lost_write_that_is_executed_late_is_adopted)
{
    start_with_order();
    respond_text("read desk", 404, "");
    decide(rollout_state::succeeded);
    time_out("write");
    runtime.advance(1s);
    respond_text("read desk", 404, "");
    decide(rollout_state::rolled_back);
    respond_stored("write", 412, stored(rollout_state::succeeded, 13));
    runtime.advance(5s);
    BOOST_TEST(count("write") == 2U);
    BOOST_CHECK(told().back().state == rollout_state::succeeded);
}

BOOST_AUTO_TEST_CASE(a_response_that_can_not_be_read_counts_as_lost)
{
    start_with_order();
    respond_text("read desk", 200, "?");
    runtime.advance(1s);
    BOOST_TEST(count("read desk") == 2U);
    respond_text("read desk", 404, "");
    decide(rollout_state::rolled_back);
    respond_text("write", 412, "?");
    runtime.advance(1s);
    BOOST_TEST(count("read desk") == 3U);
    BOOST_TEST(count("write") == 1U);
}

BOOST_AUTO_TEST_CASE(the_same_state_of_another_router_is_adopted)
{
    start_with_order();
    respond_text("read desk", 404, "");
    decide(rollout_state::rolled_back);
    respond_stored("write", 412, stored(rollout_state::rolled_back, 12));
    runtime.advance(5s);
    BOOST_TEST(count("write") == 1U);
    BOOST_TEST(told().back().changed == 12U);
}

BOOST_AUTO_TEST_CASE(another_final_state_of_another_router_is_adopted)
{
    start_with_order();
    respond_text("read desk", 404, "");
    decide(rollout_state::succeeded);
    respond_stored("write", 412, stored(rollout_state::rolled_back, 12));
    decide(rollout_state::succeeded);
    runtime.advance(5s);
    BOOST_TEST(count("write") == 1U);
    BOOST_CHECK(told().back().state == rollout_state::rolled_back);
}

BOOST_AUTO_TEST_CASE(a_final_state_follows_the_running_state_of_another_router)
{
    start_with_order();
    respond_text("read desk", 404, "");
    decide(rollout_state::rolled_back);
    respond_stored("write", 412, stored(rollout_state::running, 12));
    BOOST_TEST(last("write").target == "write desk 11 v2 rolled_back if 12");
}

BOOST_AUTO_TEST_CASE(the_status_of_an_older_order_is_overwritten)
{
    start_with_order();
    respond_stored("read desk", 200, stored(rollout_state::succeeded, 6, 5));
    BOOST_TEST(told().back().changed == 0U);
    BOOST_CHECK(told().back().state == rollout_state::running);
    decide(rollout_state::running);
    BOOST_TEST(last("write").target == "write desk 11 v2 running if 6");
    // Another router removed or rewrote it meanwhile.
    respond_stored("write", 412, stored(rollout_state::succeeded, 7, 5));
    BOOST_TEST(last("write").target == "write desk 11 v2 running if 7");
}

// Guards against requests that flood a store in trouble, and against a decision
// that is given up.
BOOST_AUTO_TEST_CASE(a_refused_write_is_repeated_with_a_growing_delay)
{
    start_with_order();
    respond_text("read desk", 404, "");
    decide(rollout_state::rolled_back);
    for (int i = 0; i < 40; ++i)
    {
        auto const sent = count("write");
        respond_text("write", i % 2 == 0 ? 503 : 429, "");
        BOOST_TEST(count("write") == sent);
        runtime.advance(1100ms);
        BOOST_TEST(count("write") == sent + 1);
    }
    BOOST_TEST(count("read desk") == 1U);
    respond_text("write", 200, "99");
    BOOST_TEST(told().back().changed == 99U);
}

BOOST_AUTO_TEST_CASE(a_store_that_is_down_for_seconds_gets_the_decision_later)
{
    start_with_order();
    time_out("read desk");
    decide(rollout_state::rolled_back);
    for (int i = 0; i < 5; ++i)
    {
        runtime.advance(1500ms);
        time_out("read desk");
    }
    BOOST_TEST(count("write") == 0U);
    BOOST_TEST(told().empty());
    runtime.advance(1500ms);
    respond_text("read desk", 404, "");
    respond_text(write_rolled_back, 200, "20");
    BOOST_TEST(told().back().changed == 20U);
}

BOOST_AUTO_TEST_CASE(a_replaced_order_drops_the_decision)
{
    start_with_order();
    respond_text("read desk", 404, "");
    decide(rollout_state::rolled_back);
    auto const write = last("write").id;
    change_rules({change("rules/rollout-desk", 15)});
    BOOST_TEST(std::count(closed.begin(), closed.end(), write) == 1);
    BOOST_TEST(count("read desk") == 2U);
    respond_text("read desk", 404, "");
    decide(rollout_state::succeeded, 11);
    runtime.advance(5s);
    BOOST_TEST(count("write") == 1U);
    // The write of the older order is executed late.
    decide(rollout_state::running, 15);
    respond_stored("write", 412, stored(rollout_state::rolled_back, 16));
    BOOST_TEST(last("write").target == "write desk 15 v2 running if 16");
}

BOOST_AUTO_TEST_CASE(a_withdrawn_order_drops_the_decision)
{
    start_with_order();
    respond_text("read desk", 404, "");
    decide(rollout_state::rolled_back);
    respond_text("write", 503, "");
    change_rules({removal("rules/rollout-desk", 15)});
    BOOST_TEST(published().rollouts.empty());
    auto const sent = count("write");
    decide(rollout_state::rolled_back);
    runtime.advance(5s);
    BOOST_TEST(count("write") == sent);
}

BOOST_AUTO_TEST_CASE(a_malformed_order_changes_nothing)
{
    start_with_order();
    respond_text("read desk", 404, "");
    change_rules({{.key = "rules/rollout-desk",
                   .changed = 15,
                   .content = decisions::ignored_record{.reason = "no version",
                                                        .is_order = true}}});
    BOOST_TEST(count("read desk") == 1U);
    decide(rollout_state::running);
    BOOST_TEST(count(write_running) == 1U);
}

BOOST_AUTO_TEST_CASE(an_order_of_an_unknown_service_waits_for_the_rules)
{
    complete_start();
    change_rules({rules(10, "chat"), change("rules/rollout-desk", 11)});
    BOOST_TEST(published().rollouts.empty());
    BOOST_TEST(count("read desk") == 0U);
    change_rules({rules(12, "desk")});
    BOOST_TEST(published().rollouts.size() == 1U);
    BOOST_TEST(count("read desk") == 1U);
}

BOOST_AUTO_TEST_CASE(a_router_that_starts_reads_the_status)
{
    respond("list rules",
            {.changes = {rules(10, "desk"), change("rules/rollout-desk", 11)},
             .as_of = 30});
    BOOST_TEST(count("read desk") == 1U);
    respond_stored("read desk", 200, stored(rollout_state::succeeded, 20));
    BOOST_CHECK(told().back().state == rollout_state::succeeded);
    BOOST_TEST(published().rollout_statuses.at({"desk"}).changed == 20U);
    decide(rollout_state::rolled_back);
    runtime.advance(5s);
    BOOST_TEST(count("write") == 0U);
}

// Guards against requests at a new version whose order this router has not read
// yet, and against new servers that get none for as long as a watch lasts.
BOOST_AUTO_TEST_CASE(a_server_of_a_new_version_waits_for_a_read_of_the_order)
{
    complete_start();
    change_rules({rules(11, "desk")});
    auto added = change("servers/i-3", 15);
    std::get<decisions::server_entry>(added.content).server.version = "v2";
    respond("watch servers", {.changes = {added}, .as_of = 15});
    BOOST_TEST(server_count() == 2U);
    runtime.advance(300ms);
    time_out("order desk");
    BOOST_TEST(server_count() == 2U);
    runtime.advance(1s);
    BOOST_TEST(count("order desk") == 2U);
    respond("order desk",
            {.changes = {change("rules/rollout-desk", 12)}, .as_of = 16});
    BOOST_TEST(published().rollouts.at({"desk"}).changed == 12U);
    BOOST_TEST(server_count() == 3U);
    runtime.advance(5s);
    BOOST_TEST(count("order desk") == 2U);
}

// Guards against orders that are lost with the store's history of changes.
BOOST_AUTO_TEST_CASE(orders_survive_the_loss_of_the_history)
{
    start_with_order();
    respond_text("read desk", 404, "");
    runtime.advance(1s);
    respond("watch rules", {}, 410);
    respond("list rules",
            {.changes = {rules(10, "desk"), change("rules/rollout-desk", 11)},
             .as_of = 40});
    BOOST_TEST(published().rollouts.at({"desk"}).changed == 11U);
    BOOST_TEST(count("read desk") == 1U);
    // The order was withdrawn in a history that the store discarded.
    respond("watch rules", {}, 410);
    respond("list rules", {.changes = {rules(10, "desk")}, .as_of = 50});
    BOOST_TEST(published().rollouts.empty());
}

// Guards against a status that operators do not find, since the store came back
// from a copy that lacks it.
BOOST_AUTO_TEST_CASE(a_status_that_the_store_has_lost_is_written_again)
{
    era = 1;
    start_with_order();
    respond_text("read desk", 404, "");
    decide(rollout_state::succeeded);
    respond_text("write desk 11 v2 succeeded if 0", 200, "12");
    era = 2;
    runtime.advance(1s);
    respond("watch servers", {}, 410);
    BOOST_TEST(count("read desk") == 2U);
    respond_text("read desk", 404, "");
    BOOST_TEST(count("write desk 11 v2 succeeded if 0") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

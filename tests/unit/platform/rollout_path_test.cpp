/// Tests of orders and statuses of rollouts between a router with the
/// platform's adapter and the stand-in of the store. Decisions are sent to the
/// store service by the test.
#include "path_fixture.hpp"

#include "services/messages/names.hpp"
#include "services/messages/store.hpp"

#include <nlohmann/json.hpp>

using namespace bramleyarch;
using namespace bramleyarch::test;
using config::rollout_state;
using nlohmann::json;

namespace
{

std::string const order_key = "op/rollout/desk";
std::string const status_key = "status/rollout/desk";

struct rollout_path_fixture : path_fixture
{
    /// Starts the router and writes an order that is never due in this test;
    /// returns the order's revision once the router has read the status.
    revision start_with_order()
    {
        start_and_wait_until_ready();
        put(fakes.store, order_key,
            R"({"Service":"desk","To":"v2","DurationS":600})");
        run_until([this] { return call_count(fakes.store, "/kv-key") > 0; });
        return revision_of(order_key);
    }

    revision revision_of(std::string const& key)
    {
        std::lock_guard const lock{fakes.store.mutex};
        return fakes.store.items[key].changed;
    }

    void decide(rollout_state state, revision order)
    {
        using namespace services;
        send(router_kernel.names().find<store_message>(
                 to_name(service_name::store)),
             store_message{rollout_decision{.service = {"desk"},
                                            .order = order,
                                            .to_version = "v2",
                                            .state = state}});
    }

    std::string stored_state()
    {
        auto const value = value_of(fakes.store, status_key);
        return value ? json::parse(*value)["State"].get<std::string>()
                     : std::string{};
    }

    std::string write_as_another_router(std::string const& state,
                                        revision order)
    {
        auto value =
            json{{"State", state}, {"To", "v2"}, {"Order", order}}.dump();
        put(fakes.store, status_key, value);
        return value;
    }

    /// Returns what the router's status page says of the rollout.
    json rollout_on_page()
    {
        raw_caller operators{options.admin_port->load()};
        operators.write("GET /status HTTP/1.1\r\nhost: x\r\n"
                        "connection: close\r\n\r\n");
        run_until(
            [&]
            {
                operators.poll();
                return operators.closed;
            });
        auto const page = json::parse(
            operators.received.substr(operators.received.find("\r\n\r\n")));
        auto const& rollouts = page["services"]["store"]["rollouts"];
        return rollouts.empty() ? json{} : rollouts[0];
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_rollout_path, rollout_path_fixture)

BOOST_AUTO_TEST_CASE(a_decision_is_stored_and_shown)
{
    auto const order = start_with_order();
    decide(rollout_state::running, order);
    run_until([&] { return stored_state() == "running"; });
    decide(rollout_state::succeeded, order);
    run_until([&] { return stored_state() == "succeeded"; });
    auto const value = json::parse(*value_of(fakes.store, status_key));
    BOOST_TEST(value["To"] == "v2");
    BOOST_TEST(value["Order"] == order);
    run_until([&] { return rollout_on_page()["state"] == "succeeded"; });
    erase(fakes.store, order_key);
    run_until([&] { return rollout_on_page().is_null(); });
}

BOOST_AUTO_TEST_CASE(the_final_state_of_another_router_is_adopted)
{
    auto const order = start_with_order();
    run_until([&] { return rollout_on_page()["read"] == true; });
    auto const value = write_as_another_router("rolled_back", order);
    decide(rollout_state::succeeded, order);
    run_until([&] { return rollout_on_page()["state"] == "rolled_back"; });
    BOOST_TEST(*value_of(fakes.store, status_key) == value);
}

// Guards against a write that is executed twice, or given up, when the store
// does not answer it.
BOOST_AUTO_TEST_CASE(a_write_without_a_response_is_read_back)
{
    auto const order = start_with_order();
    run_until([&] { return rollout_on_page()["read"] == true; });
    fakes.store.fault = store_fault::unanswered_writes;
    decide(rollout_state::rolled_back, order);
    run_until([&] { return stored_state() == "rolled_back"; });
    auto const written = revision_of(status_key);
    run_until([&] { return rollout_on_page()["state"] == "rolled_back"; });
    BOOST_TEST(revision_of(status_key) == written);
}

// Guards against two final states of one order: the first write is executed
// long after its connection was closed.
BOOST_AUTO_TEST_CASE(a_write_that_is_executed_late_stays_the_only_one)
{
    auto const order = start_with_order();
    run_until([&] { return rollout_on_page()["read"] == true; });
    fakes.store.fault = store_fault::late_writes;
    decide(rollout_state::rolled_back, order);
    run_until([&] { return rollout_on_page()["state"] == "rolled_back"; });
    auto const written = revision_of(status_key);
    fakes.store.fault = store_fault::none;
    decide(rollout_state::succeeded, order);
    auto const end = std::chrono::steady_clock::now() + 2s;
    run_until([&] { return std::chrono::steady_clock::now() >= end; });
    BOOST_TEST(revision_of(status_key) == written);
    BOOST_TEST(stored_state() == "rolled_back");
}

BOOST_AUTO_TEST_CASE(a_busy_store_gets_the_decision_later)
{
    auto const order = start_with_order();
    run_until([&] { return rollout_on_page()["read"] == true; });
    fakes.store.fault = store_fault::busy;
    decide(rollout_state::rolled_back, order);
    run_until([&] { return rollout_on_page()["failures"].get<int>() > 1; });
    fakes.store.fault = store_fault::none;
    run_until([&] { return stored_state() == "rolled_back"; });
}

BOOST_AUTO_TEST_SUITE_END()

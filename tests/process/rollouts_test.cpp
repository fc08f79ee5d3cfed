/// Rollouts of a good and of a bad version by three real routers.
#include "http_call.hpp"
#include "store_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace bramleyarch;
using namespace bramleyarch::process_test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

using clock_type = std::chrono::steady_clock;

constexpr auto length = 12s; ///< From the order to its deadline.
/// Of the exposure limit: share of all requests, and requests beyond it.
constexpr double exposure_share = 0.1;
constexpr std::size_t exposure_slack = 50;
std::string const order_key = "op/rollout/desk";
std::string const status_key = "status/rollout/desk";

/// Sends one request after the other to one router until it is stopped.
struct steady_caller
{
    explicit steady_caller(store_router const& router)
        : thread{[this, &router] { run(router); }}
    {
    }

    ~steady_caller()
    {
        stopped = true;
        thread.join();
    }

    void run(store_router const& router)
    {
        for (int i = 0; !stopped; ++i)
        {
            run_call({.port = router.callers,
                      .method = "POST",
                      .target = "/look/1",
                      .body = "order",
                      .headers = {{"host", "h.example"},
                                  {"authorization", "Bearer key"},
                                  {"x-bramleyarch-request-id",
                                   fmt::format("{}-{}", router.id, i)}}});
            std::this_thread::sleep_for(10ms);
        }
    }

    std::atomic<bool> stopped{false};
    std::thread thread;
};

struct rollout_fleet
{
    rollout_fleet()
    {
        for (auto const& router : fleet.routers)
            callers.push_back(std::make_unique<steady_caller>(router));
    }

    /// Writes the order, and starts three servers of the new version.
    void order(test::server_fault fault)
    {
        ordered = clock_type::now();
        runs_before = runs("v1");
        test::put(
            fleet.standins.store, order_key,
            fmt::format(R"({{"Service":"desk","To":"v2","DurationS":{}}})",
                        length.count()));
        std::this_thread::sleep_for(1s);
        for (int i = 0; i < 3; ++i)
            add_server(fleet, fmt::format("new-{}", i), "v2").fault = fault;
    }

    std::string stored_state()
    {
        auto const value = test::value_of(fleet.standins.store, status_key);
        return value ? json::parse(*value).value("State", "") : "";
    }

    /// Waits for a state; false if it is not stored by the deadline.
    bool wait_for(std::string const& state)
    {
        while (stored_state() != state)
        {
            if (clock_type::now() >= ordered + length)
                return false;
            std::this_thread::sleep_for(20ms);
        }
        return true;
    }

    std::size_t runs(std::string const& version)
    {
        std::size_t count = 0;
        for (auto const& server : fleet.servers)
        {
            if (server->version == version)
                count += test::executed_requests(*server).size();
        }
        return count;
    }

    /// Returns whether every router's status page satisfies a condition for
    /// the rollout; null: it shows none.
    bool all_show(std::function<bool(json const&)> const& condition)
    {
        return std::ranges::all_of(
            fleet.routers,
            [&](store_router const& router)
            {
                auto const answer =
                    run_call({.port = router.admin, .target = "/status"});
                auto const page = json::parse(answer.body, nullptr, false);
                auto const rollouts =
                    page.value(json::json_pointer{"/services/store/rollouts"},
                               json::array());
                return condition(rollouts.empty() ? json{} : rollouts[0]);
            });
    }

    bool wait_until_all_show(std::function<bool(json const&)> const& condition)
    {
        auto const end = clock_type::now() + 5s;
        while (!all_show(condition))
        {
            if (clock_type::now() >= end)
                return false;
            std::this_thread::sleep_for(100ms);
        }
        return true;
    }

    store_fleet fleet{{.routers = 3, .servers = 3, .version = "v1"}};
    std::vector<std::unique_ptr<steady_caller>> callers;
    clock_type::time_point ordered{};
    std::size_t runs_before = 0; ///< Of the old version, at the order.
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(rollouts, rollout_fleet)

BOOST_AUTO_TEST_CASE(an_order_is_shown_by_all_routers_until_it_is_withdrawn)
{
    test::put(fleet.standins.store, order_key,
              R"({"Service":"desk","To":"v2","DurationS":600})");
    BOOST_TEST(wait_until_all_show(
        [](json const& rollout)
        { return rollout.is_object() && rollout["to"] == "v2"; }));
    test::erase(fleet.standins.store, order_key);
    BOOST_TEST(wait_until_all_show([](json const& rollout)
                                   { return rollout.is_null(); }));
}

BOOST_AUTO_TEST_CASE(a_good_version_succeeds_and_gets_all_requests)
{
    order(test::server_fault::none);
    BOOST_TEST_REQUIRE(wait_for("succeeded"));
    // The old servers stop at once.
    auto const old_runs = runs("v1");
    auto const new_runs = runs("v2");
    std::this_thread::sleep_for(1s);
    BOOST_TEST(runs("v1") == old_runs);
    BOOST_TEST(runs("v2") > new_runs);
    callers.clear();
    BOOST_TEST(stored_state() == "succeeded");
}

BOOST_AUTO_TEST_CASE(a_bad_version_is_rolled_back_within_the_exposure_limit)
{
    order(test::server_fault::failing);
    BOOST_TEST_REQUIRE(wait_for("rolled_back"));
    std::this_thread::sleep_for(1s);
    auto const new_runs = runs("v2");
    std::this_thread::sleep_until(ordered + length);
    BOOST_TEST(runs("v2") == new_runs);
    auto const all = runs("v1") - runs_before + new_runs;
    BOOST_TEST(static_cast<double>(new_runs) <=
               exposure_share * static_cast<double>(all) +
                   static_cast<double>(exposure_slack));
    BOOST_TEST(runs("v1") > runs_before);
    BOOST_TEST(stored_state() == "rolled_back");
}

BOOST_AUTO_TEST_SUITE_END()

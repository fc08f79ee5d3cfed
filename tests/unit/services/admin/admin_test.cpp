/// Tests of the operators' HTTP server with fake services.
#include "services/admin/admin_service.hpp"

#include "kernel/kernel.hpp"
#include "raw_caller.hpp"
#include "services/messages/claims.hpp"
#include "services/messages/names.hpp"
#include "services/messages/owner.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace std::chrono_literals;
using bramleyarch::testing::raw_caller;

namespace
{

struct no_state
{
};

void owner_receive(no_state&, kernel::context<owner_message>&,
                   owner_message message)
{
    if (auto const* query = std::get_if<status_query>(&message))
        query->reply(R"({"in_flight":3})");
}

/// Never answers.
void claims_receive(no_state&, kernel::context<claims_message>&, claims_message)
{
}

void metrics_receive(no_state&, kernel::context<metrics_message>&,
                     metrics_message message)
{
    if (auto const* query = std::get_if<metrics_query>(&message))
        query->reply("requests_received_total 4\n");
}

template <class Message>
kernel::service<no_state, Message>
make_fake(service_name name,
          void (*receive)(no_state&, kernel::context<Message>&, Message))
{
    return {.name = std::string{to_name(name)}, .receive = receive};
}

struct fixture
{
    std::shared_ptr<std::atomic<std::uint16_t>> port =
        std::make_shared<std::atomic<std::uint16_t>>();
    std::shared_ptr<std::atomic<int>> drains =
        std::make_shared<std::atomic<int>>();
    kernel::kernel k{kernel::run_mode::threaded};
    kernel::address<admin_message> admin;

    fixture()
    {
        k.add(make_fake(service_name::owner, owner_receive));
        k.add(make_fake(service_name::claims, claims_receive));
        k.add(make_fake(service_name::metrics, metrics_receive));
        admin = k.add(
            make_admin_service({.listen = {"127.0.0.1", 0},
                                .router = {"r1"},
                                .reply_limit = 200ms,
                                .start_drain = [drains = drains] { ++*drains; },
                                .bound_port = port}));
        k.start();
    }

    void show_state(member_state state)
    {
        member_view const view{.self = {"r1"},
                               .members = {{.id = {"r1"}, .state = state}}};
        send(admin, members_changed{std::make_shared<member_view const>(view)});
    }

    std::string ask(std::string const& method, std::string const& target)
    {
        raw_caller caller{*port};
        caller.write(method + " " + target +
                     " HTTP/1.1\r\nhost: x\r\nconnection: "
                     "close\r\ncontent-length: 0\r\n\r\n");
        auto const limit = std::chrono::steady_clock::now() + 20s;
        while (!caller.closed && std::chrono::steady_clock::now() < limit)
        {
            caller.poll();
            std::this_thread::sleep_for(1ms);
        }
        BOOST_REQUIRE(caller.closed);
        return caller.received;
    }

    void expect(std::string const& target, std::string const& status,
                std::string const& body)
    {
        auto const answer = ask("GET", target);
        BOOST_TEST(answer.starts_with("HTTP/1.1 " + status), answer);
        BOOST_TEST(answer.ends_with("\r\n\r\n" + body), answer);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(admin, fixture)

BOOST_AUTO_TEST_CASE(liveness_and_readiness_are_apart)
{
    expect("/healthz", "200", "live\n");
    expect("/readyz", "503", "no configuration\n");
    send(admin, config_changed{std::make_shared<config::document const>(
                    config::document{.version = 4})});
    expect("/readyz", "503", "joining: peers not heard yet\n");
    show_state(member_state::joining);
    expect("/readyz", "503", "joining: peers not heard yet\n");
    show_state(member_state::live);
    expect("/readyz", "200", "ready\n");
    send(admin, drain_started{});
    expect("/readyz", "503", "draining\n");
    expect("/healthz", "200", "live\n");
}

BOOST_AUTO_TEST_CASE(status_names_services_that_do_not_answer)
{
    auto const answer = ask("GET", "/status");
    auto const status =
        nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n")));
    BOOST_TEST(status["router"] == "r1");
    BOOST_TEST(status["services"]["owner"]["in_flight"] == 3);
    auto const missing = status["missing"].get<std::vector<std::string>>();
    for (std::string const name :
         {"routing", "members", "link", "configuration", "claims", "platform"})
        BOOST_TEST(
            (std::find(missing.begin(), missing.end(), name) != missing.end()),
            name);
    BOOST_TEST(
        (std::find(missing.begin(), missing.end(), "owner") == missing.end()));
}

// Guards against a page that waits for services which a router that admits
// requests itself does not have.
BOOST_AUTO_TEST_CASE(status_of_a_router_with_a_store_asks_its_services)
{
    config::deployment deployment;
    deployment.rules = std::make_shared<config::routing_rules const>();
    send(admin, deployment_changed{std::make_shared<config::deployment const>(
                    std::move(deployment))});
    auto const answer = ask("GET", "/status");
    auto const status =
        nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n")));
    auto const missing = status["missing"].get<std::vector<std::string>>();
    std::vector<std::string> const expected{"front", "routing", "backend",
                                            "store", "peers"};
    BOOST_TEST(missing == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(pages_of_one_service)
{
    expect("/metrics", "200", "requests_received_total 4\n");
    expect("/timeline", "504", "missing: timeline\n");
}

BOOST_AUTO_TEST_CASE(drain_is_started_by_post_only)
{
    BOOST_TEST(ask("GET", "/drain").starts_with("HTTP/1.1 405"));
    BOOST_TEST(*drains == 0);
    BOOST_TEST(ask("POST", "/drain").starts_with("HTTP/1.1 202"));
    BOOST_TEST(*drains == 1);
}

BOOST_AUTO_TEST_CASE(other_paths_are_not_found)
{
    expect("/", "404", "no such page\n");
    expect("/healthz/x", "404", "no such page\n");
    BOOST_TEST(ask("POST", "/healthz").starts_with("HTTP/1.1 405"));
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of a whole router with the platform's adapter.
#include "path_fixture.hpp"

#include "http/headers.hpp"
#include "platform/headers.hpp"
#include "services/messages/lifecycle.hpp"
#include "services/messages/names.hpp"

using namespace bramleyarch;
using namespace bramleyarch::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(platform_whole_path, path_fixture)

BOOST_AUTO_TEST_CASE(a_request_is_answered_by_one_server)
{
    start_and_wait_until_ready();
    auto const answer = send_and_receive(make_request("/book/1", "id-1"));
    BOOST_TEST(has_status(answer, "200"), answer);
    BOOST_TEST((answer.find("ran order") != std::string::npos));
    BOOST_TEST(executed_requests(server_1).size() +
                   executed_requests(server_2).size() ==
               1U);
    auto const& server =
        executed_requests(server_1).empty() ? server_2 : server_1;
    BOOST_TEST(server.headers.at("x-bramleyarch-tenant") == "team");
    BOOST_TEST(!server.headers.contains("authorization"));
    BOOST_TEST(std::stoi(server.headers.at("x-bramleyarch-deadline-ms")) <=
               4000);
}

BOOST_AUTO_TEST_CASE(without_rules_the_router_is_not_ready)
{
    erase(fakes.store, rules_key);
    start();
    run_until([this] { return call_count(fakes.store, "/kv-watch") > 0; });
    BOOST_TEST(!is_ready());
    BOOST_TEST(
        has_status(send_and_receive(make_request("/book/1", "id-1")), "503"));
    put(fakes.store, rules_key, make_rules(3, book_route));
    run_until([this] { return is_ready(); });
    BOOST_TEST(
        has_status(send_and_receive(make_request("/book/1", "id-2")), "200"));
}

// Guards against refusals of all callers when all routers start at the same
// time: the balancer then sends to routers that have not read the rules yet.
BOOST_AUTO_TEST_CASE(requests_wait_until_a_starting_router_knows_the_rules)
{
    erase(fakes.store, rules_key);
    start();
    run_until([this] { return call_count(fakes.store, "/kv-watch") > 0; });
    raw_caller caller{options.callers_port->load()};
    caller.write(make_request("/book/1", "id-1"));
    run_until([this] { return !is_ready(); });
    put(fakes.store, rules_key, make_rules(3, book_route));
    run_until(
        [&]
        {
            caller.poll();
            return !caller.received.empty();
        });
    BOOST_TEST(has_status(caller.received, "200"));
}

// Guards against a caller that waits in vain while the store has no rules.
BOOST_AUTO_TEST_CASE(a_caller_that_left_at_startup_is_forgotten)
{
    erase(fakes.store, rules_key);
    start();
    {
        raw_caller caller{options.callers_port->load()};
        caller.write(make_request("/book/1", "id-1"));
        run_until([this] { return call_count(fakes.store, "/kv-watch") > 0; });
    }
    put(fakes.store, rules_key, make_rules(3, book_route));
    run_until([this] { return is_ready(); });
    BOOST_TEST(
        has_status(send_and_receive(make_request("/book/1", "id-2")), "200"));
    BOOST_TEST(executed_requests(server_1).size() +
                   executed_requests(server_2).size() ==
               1U);
}

BOOST_AUTO_TEST_CASE(unknown_routes_and_keys_are_refused)
{
    start_and_wait_until_ready();
    BOOST_TEST(
        has_status(send_and_receive(make_request("/none/1", "id-1")), "404"));
    auto forged = make_request("/book/1", "id-2");
    forged.replace(forged.find("Bearer key"), 10, "Bearer kez");
    BOOST_TEST(has_status(send_and_receive(forged), "401"));
    BOOST_TEST(executed_requests(server_1).size() +
                   executed_requests(server_2).size() ==
               0U);
}

BOOST_AUTO_TEST_CASE(a_smuggled_request_never_runs)
{
    start_and_wait_until_ready();
    auto const inner = make_request("/book/9", "smuggled");
    for (std::string const extra :
         {"transfer-encoding: chunked\r\n", "content-length: 900\r\n",
          "transfer-encoding: xchunked\r\n"})
    {
        auto const answer =
            send_and_receive(make_request("/book/1", "outer", extra) + inner);
        BOOST_TEST(has_status(answer, "400"), answer);
    }
    BOOST_TEST(executed_requests(server_1).size() +
                   executed_requests(server_2).size() ==
               0U);
}

BOOST_AUTO_TEST_CASE(newer_rules_replace_older_rules)
{
    start_and_wait_until_ready();
    put(fakes.store, rules_key, make_rules(5, look_route));
    run_until(
        [this] {
            return has_status(send_and_receive(make_request("/book/1", "id")),
                              "404");
        });
    BOOST_TEST(
        has_status(send_and_receive(make_request("/look/1", "id-2")), "200"));
    put(fakes.store, rules_key, make_rules(4, book_route));
    put(fakes.store, rules_key, "no rules");
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(has_status(send_and_receive(make_request("/look/1", "id-3")),
                              "200"));
}

BOOST_AUTO_TEST_CASE(a_draining_server_gets_no_requests)
{
    start_and_wait_until_ready();
    put(fakes.store, "servers/i-1", encode_server_entry(server_1, "draining"));
    erase(fakes.store, "servers/i-2");
    run_until(
        [this] {
            return has_status(send_and_receive(make_request("/book/1", "id")),
                              "503");
        });
    put(fakes.store, "servers/i-2", encode_server_entry(server_2, "ready"));
    run_until(
        [this] {
            return has_status(send_and_receive(make_request("/book/1", "id")),
                              "200");
        });
    auto const before = executed_requests(server_1).size();
    for (int i = 0; i < 10; ++i)
        send_and_receive(make_request("/book/1", "id"));
    BOOST_TEST(executed_requests(server_1).size() == before);
}

BOOST_AUTO_TEST_CASE(a_server_at_a_reused_address_runs_no_requests)
{
    start_and_wait_until_ready();
    server_1.id = "i-7";
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(
            has_status(send_and_receive(make_request("/book/1", "id")), "200"));
    BOOST_TEST(executed_requests(server_1).empty());
}

BOOST_AUTO_TEST_CASE(the_router_recovers_from_store_outages)
{
    start_and_wait_until_ready();
    revision version = 10;
    for (auto const fault : {store_fault::busy, store_fault::silent})
    {
        // The write below ends the pending watch; the requests after it fail.
        fakes.store.fault = fault;
        auto const calls = call_count(fakes.store, "/kv-watch");
        put(fakes.store, "elsewhere/x", "y");
        run_until([&]
                  { return call_count(fakes.store, "/kv-watch") > calls + 1; });
        BOOST_TEST(
            has_status(send_and_receive(make_request("/book/1", "id")), "200"));
        fakes.store.fault = store_fault::none;
        put(fakes.store, rules_key, make_rules(++version, look_route));
        run_until(
            [this] {
                return has_status(
                    send_and_receive(make_request("/book/1", "id")), "404");
            });
        put(fakes.store, rules_key, make_rules(++version, book_route));
        run_until(
            [this] {
                return has_status(
                    send_and_receive(make_request("/book/1", "id")), "200");
            });
    }
}

BOOST_AUTO_TEST_CASE(records_are_listed_again_after_history_compaction)
{
    fakes.store.page_size = 2;
    start_and_wait_until_ready();
    auto const lists = call_count(fakes.store, "/kv-range");
    put(fakes.store, "servers/i-1", encode_server_entry(server_1, "draining"));
    compact_history(fakes.store);
    run_until([&] { return call_count(fakes.store, "/kv-range") > lists; });
    run_until(
        [this]
        {
            auto const before = executed_requests(server_1).size();
            for (int i = 0; i < 10; ++i)
                send_and_receive(make_request("/book/1", "id"));
            return executed_requests(server_1).size() == before;
        });
}

BOOST_AUTO_TEST_CASE(a_request_that_servers_did_not_execute_gets_503)
{
    start_and_wait_until_ready();
    server_1.fault = server_fault::not_executed;
    server_2.fault = server_fault::not_executed;
    auto const answer = send_and_receive(make_request("/book/1", "id"));
    BOOST_TEST(has_status(answer, "503"));
    BOOST_TEST((answer.find("retry-after: 0.") != std::string::npos));
}

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_gets_502_and_runs_once)
{
    start_and_wait_until_ready();
    for (auto const fault : {server_fault::reset, server_fault::cut_answer,
                             server_fault::no_signature})
    {
        server_1.fault = fault;
        server_2.fault = fault;
        auto const before = executed_requests(server_1).size() +
                            executed_requests(server_2).size();
        auto const answer = send_and_receive(make_request("/book/1", "id"));
        BOOST_TEST(has_status(answer, "502"), answer);
        BOOST_TEST(executed_requests(server_1).size() +
                       executed_requests(server_2).size() ==
                   before + 1);
    }
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_succeeds_despite_one_faulty_server)
{
    start_and_wait_until_ready();
    for (auto const fault : {server_fault::reset, server_fault::cut_answer,
                             server_fault::no_signature,
                             server_fault::not_executed, server_fault::silent})
    {
        server_1.fault = fault;
        for (int i = 0; i < 4; ++i)
        {
            auto const answer = send_and_receive(make_request("/look/1", "id"));
            BOOST_TEST(has_status(answer, "200"), answer);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_caller_that_disconnects_cancels_its_request)
{
    start_and_wait_until_ready();
    server_1.fault = server_fault::silent;
    server_2.fault = server_fault::silent;
    raw_caller caller{options.callers_port->load()};
    caller.write(make_request("/book/1", "id"));
    run_until([this] { return server_1.running + server_2.running == 1; });
    caller.close();
    auto const closed_at = std::chrono::steady_clock::now();
    run_until([this] { return server_1.abandoned + server_2.abandoned == 1; });
    BOOST_TEST((std::chrono::steady_clock::now() - closed_at < 500ms));
}

BOOST_AUTO_TEST_CASE(a_planned_stop_answers_accepted_requests)
{
    start_and_wait_until_ready();
    server_1.fault = server_fault::silent;
    server_2.fault = server_fault::silent;
    raw_caller busy{options.callers_port->load()};
    raw_caller idle{options.callers_port->load()};
    busy.write(make_request("/book/1", "id"));
    run_until([this] { return server_1.running + server_2.running == 1; });
    send(router_kernel.names().find<services::lifecycle_message>(
             to_name(services::service_name::lifecycle)),
         services::stop_requested{});
    run_until([this] { return !is_ready(); });
    server_1.fault = server_fault::none;
    server_2.fault = server_fault::none;
    // New requests are still answered, and their connections are closed.
    auto const answer = send_and_receive(make_request("/look/1", "id"));
    BOOST_TEST(has_status(answer, "200"), answer);
    BOOST_TEST((answer.find("connection: close") != std::string::npos));
    run_until([this] { return *options.ended; });
    busy.poll();
    idle.poll();
    BOOST_TEST(has_status(busy.received, "200"));
    BOOST_TEST(idle.closed);
}

BOOST_AUTO_TEST_SUITE_END()

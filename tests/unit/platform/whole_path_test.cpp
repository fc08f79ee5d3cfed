/// Tests of a whole router with the platform's adapter. The router runs on one
/// loop; the callers use raw sockets, and the platform's store and backend
/// servers are stand-ins.
#include "../services/run_until.hpp"
#include "raw_caller.hpp"
#include "standins.hpp"

#include "http/headers.hpp"
#include "platform/backend_dialect.hpp"
#include "platform/front_dialect.hpp"
#include "platform/headers.hpp"
#include "platform/store_codec.hpp"
#include "router/store_assembly.hpp"
#include "services/messages/lifecycle.hpp"
#include "services/messages/names.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::test;
using namespace std::chrono_literals;
using testing::raw_caller;

namespace
{

std::string const rules_key = "op/config";

std::string make_rules(revision version, std::string const& routes)
{
    return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
           routes +
           R"(],"Services":[{"Name":"desk"}],)"
           R"("Tenants":[{"Name":"team","ApiKeys":["key"]}]})";
}

std::string const book_route =
    R"({"Name":"book","Host":"h.example","PathPrefix":"/book/",)"
    R"("Kind":"unsafe","TimeoutMs":4000,"Service":"desk","MaxAttempts":1})";
std::string const look_route =
    R"({"Name":"look","Host":"h.example","PathPrefix":"/look/",)"
    R"("Kind":"safe","TimeoutMs":4000,"TargetLatencyMs":100,)"
    R"("Service":"desk","MaxAttempts":2})";

std::string make_request(std::string const& path, std::string const& id,
                         std::string const& extra = {})
{
    return "POST " + path +
           " HTTP/1.1\r\nhost: h.example\r\nx-bramleyarch-request-id: " + id +
           "\r\nauthorization: Bearer key\r\n" + extra +
           "content-length: 5\r\n\r\norder";
}

/// A router, and stand-ins for the store and two backend servers that are
/// registered in it.
struct path_fixture
{
    standins fakes;
    server_standin server_1{.id = "i-1"};
    server_standin server_2{.id = "i-2"};
    net::loop_ptr loop = net::make_loop().value();
    kernel::kernel router_kernel{
        kernel::run_mode::one_loop, {.wait = [this](duration limit) {
            net::wait(*loop, std::min<duration>(limit, 2ms));
        }}};
    router::store_assembly_options options{
        .settings = {.router = {.id = {"r1"}, .domain = {"a"}},
                     .listen = {.callers = {"127.0.0.1", 0},
                                .admin = {"127.0.0.1", 0},
                                .heartbeat = {"127.0.0.1", 0}},
                     .platform = {.address = {"127.0.0.1", 0}},
                     .limits = {.max_connections = 100,
                                .max_header_bytes = 16'384,
                                .header_timeout = 3s,
                                .body_timeout = 3s},
                     .shared = {.retry_ratio = 0.2,
                                .retry_slack = 50,
                                .retry_window = 10s,
                                .cold_overage = 1.5,
                                .cold_slack = 5,
                                .stop_limit = 8s,
                                .load_factor = 2},
                     .level = config::log_level::error},
        .started = 1,
        .loop = loop,
        .adapter = {.front = platform::front_dialect(),
                    .backend = platform::backend_dialect(),
                    .store = platform::store_codec()}};

    path_fixture()
    {
        fakes.start_server(server_1);
        fakes.start_server(server_2);
        put(fakes.store, rules_key,
            make_rules(3, book_route + "," + look_route));
        put(fakes.store, "servers/i-1", encode_server_entry(server_1, "ready"));
        put(fakes.store, "servers/i-2", encode_server_entry(server_2, "ready"));
        options.settings.platform.address.port = fakes.store_port;
    }

    ~path_fixture()
    {
        router_kernel.stop();
    }

    void start()
    {
        router::add_store_services(router_kernel, options);
        router_kernel.start();
    }

    void start_and_wait_until_ready()
    {
        start();
        run_until([this] { return is_ready(); });
    }

    template <class Condition>
    void run_until(Condition done)
    {
        test::run_until(router_kernel, done);
    }

    std::string send_and_receive(std::string const& text)
    {
        raw_caller caller{options.callers_port->load()};
        caller.write(text);
        run_until(
            [&]
            {
                caller.poll();
                auto const head = caller.received.find("\r\n\r\n");
                return caller.closed || (head != std::string::npos &&
                                         caller.received.size() > head + 4);
            });
        return caller.received;
    }

    bool is_ready()
    {
        raw_caller health_checker{options.admin_port->load()};
        health_checker.write("GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n");
        run_until(
            [&]
            {
                health_checker.poll();
                return !health_checker.received.empty();
            });
        return health_checker.received.starts_with("HTTP/1.1 200 ");
    }
};

bool has_status(std::string const& answer, std::string const& status)
{
    return answer.starts_with("HTTP/1.1 " + status + " ");
}

} // namespace

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

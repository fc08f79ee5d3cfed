/// The whole path over the adapter: a router on one loop between callers that
/// write any bytes and stand-ins of the platform's store and servers.
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

std::string rules(revision version, std::string const& routes)
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

std::string request(std::string const& path, std::string const& id,
                    std::string const& extra = {})
{
    return "POST " + path +
           " HTTP/1.1\r\nhost: h.example\r\nx-bramleyarch-request-id: " + id +
           "\r\nauthorization: Bearer key\r\n" + extra +
           "content-length: 5\r\n\r\norder";
}

/// A router, two servers and the store, which knows them all.
struct path_fixture
{
    standins outside;
    server_standin s1{.id = "i-1"};
    server_standin s2{.id = "i-2"};
    net::loop_ptr loop = net::make_loop().value();
    kernel::kernel k{kernel::run_mode::one_loop,
                     {.wait = [this](duration limit)
                      { net::wait(*loop, std::min<duration>(limit, 2ms)); }}};
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
        outside.serve(s1);
        outside.serve(s2);
        put(outside.store, rules_key, rules(3, book_route + "," + look_route));
        put(outside.store, "servers/i-1", server_entry(s1, "ready"));
        put(outside.store, "servers/i-2", server_entry(s2, "ready"));
        options.settings.platform.address.port = outside.store_port;
    }

    ~path_fixture()
    {
        k.stop();
    }

    void start()
    {
        router::add_store_services(k, options);
        k.start();
    }

    void start_ready()
    {
        start();
        run_until([this] { return ready(); });
    }

    template <class Condition>
    void run_until(Condition done)
    {
        test::run_until(k, done);
    }

    std::string answer_to(std::string const& text)
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

    bool ready()
    {
        raw_caller balancer{options.admin_port->load()};
        balancer.write("GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n");
        run_until(
            [&]
            {
                balancer.poll();
                return !balancer.received.empty();
            });
        return balancer.received.starts_with("HTTP/1.1 200 ");
    }
};

bool has_status(std::string const& answer, std::string const& status)
{
    return answer.starts_with("HTTP/1.1 " + status + " ");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_whole_path, path_fixture)

BOOST_AUTO_TEST_CASE(a_request_reaches_a_server_and_its_answer_the_caller)
{
    start_ready();
    auto const answer = answer_to(request("/book/1", "id-1"));
    BOOST_TEST(has_status(answer, "200"), answer);
    BOOST_TEST((answer.find("ran order") != std::string::npos));
    BOOST_TEST(runs_of(s1).size() + runs_of(s2).size() == 1U);
    auto const& server = runs_of(s1).empty() ? s2 : s1;
    BOOST_TEST(server.headers.at("x-bramleyarch-tenant") == "team");
    BOOST_TEST(!server.headers.contains("authorization"));
    BOOST_TEST(std::stoi(server.headers.at("x-bramleyarch-deadline-ms")) <=
               4000);
}

BOOST_AUTO_TEST_CASE(without_rules_the_router_is_not_ready_and_says_so)
{
    erase(outside.store, rules_key);
    start();
    run_until([this] { return calls_of(outside.store, "/kv-watch") > 0; });
    BOOST_TEST(!ready());
    BOOST_TEST(has_status(answer_to(request("/book/1", "id-1")), "503"));
    put(outside.store, rules_key, rules(3, book_route));
    run_until([this] { return ready(); });
    BOOST_TEST(has_status(answer_to(request("/book/1", "id-2")), "200"));
}

BOOST_AUTO_TEST_CASE(unknown_routes_and_keys_are_refused)
{
    start_ready();
    BOOST_TEST(has_status(answer_to(request("/none/1", "id-1")), "404"));
    auto forged = request("/book/1", "id-2");
    forged.replace(forged.find("Bearer key"), 10, "Bearer kez");
    BOOST_TEST(has_status(answer_to(forged), "401"));
    BOOST_TEST(runs_of(s1).size() + runs_of(s2).size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_smuggled_in_another_never_runs)
{
    start_ready();
    auto const inner = request("/book/9", "smuggled");
    for (std::string const extra :
         {"transfer-encoding: chunked\r\n", "content-length: 900\r\n",
          "transfer-encoding: xchunked\r\n"})
    {
        auto const answer =
            answer_to(request("/book/1", "outer", extra) + inner);
        BOOST_TEST(has_status(answer, "400"), answer);
    }
    BOOST_TEST(runs_of(s1).size() + runs_of(s2).size() == 0U);
}

BOOST_AUTO_TEST_CASE(new_rules_are_in_force_at_once_and_stay)
{
    start_ready();
    put(outside.store, rules_key, rules(5, look_route));
    run_until(
        [this]
        { return has_status(answer_to(request("/book/1", "id")), "404"); });
    BOOST_TEST(has_status(answer_to(request("/look/1", "id-2")), "200"));
    put(outside.store, rules_key, rules(4, book_route));
    put(outside.store, rules_key, "no rules");
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(has_status(answer_to(request("/look/1", "id-3")), "200"));
}

BOOST_AUTO_TEST_CASE(a_leaving_server_gets_nothing_more)
{
    start_ready();
    put(outside.store, "servers/i-1", server_entry(s1, "draining"));
    erase(outside.store, "servers/i-2");
    run_until(
        [this]
        { return has_status(answer_to(request("/book/1", "id")), "503"); });
    put(outside.store, "servers/i-2", server_entry(s2, "ready"));
    run_until(
        [this]
        { return has_status(answer_to(request("/book/1", "id")), "200"); });
    auto const before = runs_of(s1).size();
    for (int i = 0; i < 10; ++i)
        answer_to(request("/book/1", "id"));
    BOOST_TEST(runs_of(s1).size() == before);
}

BOOST_AUTO_TEST_CASE(a_server_at_a_reused_address_runs_nothing)
{
    start_ready();
    s1.id = "i-7";
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(has_status(answer_to(request("/book/1", "id")), "200"));
    BOOST_TEST(runs_of(s1).empty());
}

BOOST_AUTO_TEST_CASE(the_store_may_go_and_come_back)
{
    start_ready();
    revision version = 10;
    for (auto const fault : {store_fault::busy, store_fault::silent})
    {
        // The watch that waits returns with this; the calls after it fail.
        outside.store.fault = fault;
        auto const calls = calls_of(outside.store, "/kv-watch");
        put(outside.store, "elsewhere/x", "y");
        run_until([&]
                  { return calls_of(outside.store, "/kv-watch") > calls + 1; });
        BOOST_TEST(has_status(answer_to(request("/book/1", "id")), "200"));
        outside.store.fault = store_fault::none;
        put(outside.store, rules_key, rules(++version, look_route));
        run_until(
            [this]
            { return has_status(answer_to(request("/book/1", "id")), "404"); });
        put(outside.store, rules_key, rules(++version, book_route));
        run_until(
            [this]
            { return has_status(answer_to(request("/book/1", "id")), "200"); });
    }
}

BOOST_AUTO_TEST_CASE(a_store_that_forgets_its_history_is_read_anew)
{
    outside.store.page = 2;
    start_ready();
    auto const lists = calls_of(outside.store, "/kv-range");
    put(outside.store, "servers/i-1", server_entry(s1, "draining"));
    forget_history(outside.store);
    run_until([&] { return calls_of(outside.store, "/kv-range") > lists; });
    run_until(
        [this]
        {
            auto const before = runs_of(s1).size();
            for (int i = 0; i < 10; ++i)
                answer_to(request("/book/1", "id"));
            return runs_of(s1).size() == before;
        });
}

BOOST_AUTO_TEST_CASE(what_a_server_sheds_is_promised_not_to_have_run)
{
    start_ready();
    s1.fault = server_fault::sheds;
    s2.fault = server_fault::sheds;
    auto const answer = answer_to(request("/book/1", "id"));
    BOOST_TEST(has_status(answer, "503"));
    BOOST_TEST((answer.find("retry-after: 0.") != std::string::npos));
}

BOOST_AUTO_TEST_CASE(what_may_have_run_gets_no_promise_and_runs_once)
{
    start_ready();
    for (auto const fault :
         {server_fault::resets, server_fault::cut, server_fault::no_signature})
    {
        s1.fault = fault;
        s2.fault = fault;
        auto const before = runs_of(s1).size() + runs_of(s2).size();
        auto const answer = answer_to(request("/book/1", "id"));
        BOOST_TEST(has_status(answer, "502"), answer);
        BOOST_TEST(runs_of(s1).size() + runs_of(s2).size() == before + 1);
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_may_run_again_survives_one_bad_server)
{
    start_ready();
    for (auto const fault :
         {server_fault::resets, server_fault::cut, server_fault::no_signature,
          server_fault::sheds, server_fault::silent})
    {
        s1.fault = fault;
        for (int i = 0; i < 4; ++i)
        {
            auto const answer = answer_to(request("/look/1", "id"));
            BOOST_TEST(has_status(answer, "200"), answer);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_the_servers_work)
{
    start_ready();
    s1.fault = server_fault::silent;
    s2.fault = server_fault::silent;
    raw_caller caller{options.callers_port->load()};
    caller.write(request("/book/1", "id"));
    run_until([this] { return s1.running + s2.running == 1; });
    caller.close();
    auto const begun = std::chrono::steady_clock::now();
    run_until([this] { return s1.left + s2.left == 1; });
    BOOST_TEST((std::chrono::steady_clock::now() - begun < 500ms));
}

BOOST_AUTO_TEST_CASE(a_planned_stop_answers_what_it_took)
{
    start_ready();
    s1.fault = server_fault::silent;
    s2.fault = server_fault::silent;
    raw_caller busy{options.callers_port->load()};
    raw_caller idle{options.callers_port->load()};
    busy.write(request("/book/1", "id"));
    run_until([this] { return s1.running + s2.running == 1; });
    send(k.names().find<services::lifecycle_message>(
             to_name(services::service_name::lifecycle)),
         services::stop_requested{});
    run_until([this] { return !ready(); });
    s1.fault = server_fault::none;
    s2.fault = server_fault::none;
    // Still served, on a connection that closes.
    auto const answer = answer_to(request("/look/1", "id"));
    BOOST_TEST(has_status(answer, "200"), answer);
    BOOST_TEST((answer.find("connection: close") != std::string::npos));
    run_until([this] { return *options.ended; });
    busy.poll();
    idle.poll();
    BOOST_TEST(has_status(busy.received, "200"));
    BOOST_TEST(idle.closed);
}

BOOST_AUTO_TEST_SUITE_END()

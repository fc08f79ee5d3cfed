/// A whole router with the platform's adapter, on one loop, with stand-ins for
/// the platform's store and backend servers, and callers on raw sockets.
#pragma once

#include "../services/run_until.hpp"
#include "raw_caller.hpp"
#include "standins.hpp"

#include "platform/backend_dialect.hpp"
#include "platform/front_dialect.hpp"
#include "platform/store_codec.hpp"
#include "router/store_assembly.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace bramleyarch::test
{

using namespace std::chrono_literals;
using testing::raw_caller;

inline std::string const rules_key = "op/config";

inline std::string make_rules(revision version, std::string const& routes)
{
    return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
           routes +
           R"(],"Services":[{"Name":"desk"}],)"
           R"("Tenants":[{"Name":"team","ApiKeys":["key"]}]})";
}

inline std::string const book_route =
    R"({"Name":"book","Host":"h.example","PathPrefix":"/book/",)"
    R"("Kind":"unsafe","TimeoutMs":4000,"Service":"desk","MaxAttempts":1})";
inline std::string const look_route =
    R"({"Name":"look","Host":"h.example","PathPrefix":"/look/",)"
    R"("Kind":"safe","TimeoutMs":4000,"TargetLatencyMs":100,)"
    R"("Service":"desk","MaxAttempts":2})";

inline std::string make_request(std::string const& path, std::string const& id,
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
        // A router is ready with its rules. It knows its servers once it
        // watches both groups.
        run_until([this] { return call_count(fakes.store, "/kv-watch") >= 2; });
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

inline bool has_status(std::string const& answer, std::string const& status)
{
    return answer.starts_with("HTTP/1.1 " + status + " ");
}

} // namespace bramleyarch::test

#include "store_fleet.hpp"

#include "free_ports.hpp"
#include "http_call.hpp"

#include <algorithm>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace bramleyarch::process_test
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::chrono::seconds ready_limit{20};

std::string make_folder()
{
    auto pattern =
        (std::filesystem::temp_directory_path() / "bramley-soak-XXXXXX")
            .string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error{"can't make a temporary folder"};
    return pattern;
}

std::string route(std::string const& name, std::string const& kind,
                  int timeout_ms, int attempts)
{
    return fmt::format(
        R"({{"Name":"{0}","Host":"h.example","PathPrefix":"/{0}/","Kind":"{1}",)"
        R"("TimeoutMs":{2},"TargetLatencyMs":500,"Service":"desk",)"
        R"("MaxAttempts":{3}}})",
        name, kind, timeout_ms, attempts);
}

void write_settings(store_fleet const& fleet, store_router const& router,
                    store_fleet_options const& options)
{
    std::ofstream{router.settings_file} << fmt::format(
        "[router]\nid = {}\ndomain = a\nregion = r\n"
        "[listen]\ncallers = 127.0.0.1:{}\nadmin = 127.0.0.1:{}\n"
        "link = 127.0.0.1:{}\nheartbeat = 127.0.0.1:{}\n"
        "[platform]\nmode = store\nendpoint = 127.0.0.1:{}\n"
        "[shared]\nretry_ratio = 0.2\nretry_slack = 50\nretry_window_s = 10\n"
        "cold_overage = 1.5\ncold_slack = 5\nstop_limit_s = {}\n"
        "load_factor = 2\nleaving_limit_ms = 2000\nrules_limit_ms = 2000\n{}",
        router.id, router.callers, router.admin, router.link, router.heartbeat,
        fleet.standins.store_port, options.stop_limit.count(),
        options.more_settings);
}

} // namespace

store_fleet::store_fleet(store_fleet_options const& options)
    : folder{make_folder()}, stream_routes{options.stream_routes},
      caller_limits{options.caller_limits}
{
    for (std::size_t i = 0; i < options.servers; ++i)
    {
        add_server(*this, fmt::format("i-{}", i), options.version).event_gap =
            options.event_gap;
    }
    change_configuration(*this);
    auto const ports = find_free_ports(4 * options.routers);
    for (std::size_t i = 0; i < options.routers; ++i)
    {
        auto const id = fmt::format("r{}", i);
        auto& router = routers.emplace_back();
        router.id = id;
        router.program =
            options.program.empty() ? BRAMLEY_ROUTER : options.program;
        router.settings_file = folder + "/" + id + ".ini";
        router.log_file = folder + "/" + id + ".log";
        router.callers = ports[4 * i];
        router.admin = ports[4 * i + 1];
        router.link = ports[4 * i + 2];
        router.heartbeat = ports[4 * i + 3];
        write_settings(*this, router, options);
        start_router(router);
    }
    for (auto const& router : routers)
    {
        if (!wait_ready(router, ready_limit))
            throw std::runtime_error{router.id + " is not ready"};
    }
    // A router is ready with its rules. It knows its servers once it watches
    // both groups.
    auto const watches = static_cast<int>(2 * options.routers);
    auto const end = std::chrono::steady_clock::now() + ready_limit;
    while (test::call_count(standins.store, "/kv-watch") < watches)
    {
        if (std::chrono::steady_clock::now() >= end)
            throw std::runtime_error{"a router does not know its servers"};
        std::this_thread::sleep_for(poll_interval);
    }
}

store_fleet::~store_fleet()
{
    routers.clear();
    std::error_code ignored;
    if (!keep_logs)
        std::filesystem::remove_all(folder, ignored);
}

void start_router(store_router& router)
{
    auto const log = fmt::format("{}.{}", router.log_file, ++router.starts);
    router.process = std::make_unique<child>(
        router.program, std::vector<std::string>{router.settings_file},
        log + ".errors", log);
}

bool wait_ready(store_router const& router, std::chrono::milliseconds limit)
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (run_call({.port = router.admin, .target = "/readyz"}).status != 200)
    {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

void change_configuration(store_fleet& fleet)
{
    ++fleet.version;
    std::string streams;
    for (auto const& name : fleet.stream_routes)
        streams += route(name, "streaming", 12'000, 3) + ",";
    test::put(
        fleet.standins.store, "op/config",
        fmt::format(
            R"({{"Version":{},"Limits":{{{}}},"Routes":[{}{},{},{},{}],)"
            R"("Services":[{{"Name":"desk"}}],)"
            R"("Tenants":[{{"Name":"team","ApiKeys":["key"]}}]}})",
            fleet.version, fleet.caller_limits, streams,
            route("chat", "streaming", 10'000, 2),
            route("book", "unsafe", 1'500, 1), route("look", "safe", 1'500, 2),
            route(fmt::format("added-{}", fleet.version), "safe", 500, 1)));
}

test::server_standin& add_server(store_fleet& fleet, std::string const& id,
                                 std::string const& version)
{
    auto& server =
        *fleet.servers.emplace_back(std::make_unique<test::server_standin>());
    server.id = id;
    server.version = version;
    fleet.standins.start_server(server);
    test::put(fleet.standins.store, "servers/" + id,
              test::encode_server_entry(server, "ready"));
    return server;
}

std::size_t count_runs(store_fleet& fleet, std::string const& request_id)
{
    std::size_t runs = 0;
    for (auto const& server : fleet.servers)
    {
        std::lock_guard const lock{server->mutex};
        runs += static_cast<std::size_t>(
            std::ranges::count(server->executed, request_id));
    }
    return runs;
}

} // namespace bramleyarch::process_test

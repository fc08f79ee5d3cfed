/// Real routers before the stand-ins of the users' platform: its store, and
/// backend servers that run in the test's own process.
#pragma once

#include "../unit/platform/standins.hpp"
#include "child.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bramleyarch::process_test
{

/// A router of the fleet; `process` is empty while it does not run.
struct store_router
{
    std::string id;
    std::string program;
    std::string settings_file;
    std::string log_file; ///< The number of the start follows the name.
    int starts = 0;
    std::uint16_t callers = 0;
    std::uint16_t admin = 0;
    std::uint16_t link = 0;
    std::uint16_t heartbeat = 0;
    std::unique_ptr<child> process;
};

struct store_fleet_options
{
    std::size_t routers = 3;
    std::size_t servers = 6;
    std::chrono::milliseconds event_gap{20};
    std::chrono::seconds stop_limit{8};
    /// Routes of their own for streams below `/NAME/`.
    std::vector<std::string> stream_routes;
    std::string program; ///< Of the routers; empty: the one of this build.
    std::string version; ///< Of the servers; empty: they state none.
    std::string more_settings; ///< Text at the end of the settings files.
    std::string caller_limits; ///< Members of `Limits` of the rules, JSON.
};

struct store_fleet
{
    explicit store_fleet(store_fleet_options const& options);
    ~store_fleet();
    store_fleet(store_fleet const&) = delete;
    store_fleet& operator=(store_fleet const&) = delete;

    std::string folder;
    std::vector<std::unique_ptr<test::server_standin>> servers;
    test::standins standins;
    std::vector<store_router> routers;
    revision version = 0; ///< Of the configuration in force.
    std::vector<std::string> stream_routes;
    std::string caller_limits;
    bool keep_logs = false;
};

void start_router(store_router& router);

/// Waits until the router is ready; false if it is not within `limit`.
bool wait_ready(store_router const& router, std::chrono::milliseconds limit);

/// Starts a server and registers it.
test::server_standin& add_server(store_fleet& fleet, std::string const& id,
                                 std::string const& version);

/// Writes a new version of the configuration, which has a route more.
void change_configuration(store_fleet& fleet);

/// Returns the number of times that the servers ran a request.
std::size_t count_runs(store_fleet& fleet, std::string const& request_id);

} // namespace bramleyarch::process_test

/// Runs several routers in one process on paused clocks: the real routing and
/// owner services, with hand-written fakes for the services that they call.
#pragma once

#include "services/owner/owner_service.hpp"
#include "services/routing/routing_service.hpp"

#include "kernel/kernel.hpp"
#include "services/messages/names.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bramleyarch::test
{

using services::claim_state;

/// Behaviour and state of a fake backend server.
struct fake_server
{
    std::uint32_t capacity = 8;
    std::uint64_t incarnation = 1; ///< Increases with each restart.
    bool cold = false;
    bool reports_cold = true; ///< False: reports omit that it is cold.
    std::uint32_t max_in_flight = 1000; ///< Crashes with more requests.
    time_point cold_limit_from{};       ///< Cold limit applies from here.
    bool refuses_connections = false;

    duration service_time = std::chrono::milliseconds{400};
    std::uint32_t running = 0;
    /// `running` at the end of each millisecond in which it changed.
    std::deque<std::pair<time_point, std::uint32_t>> load_history;
    std::uint32_t answered = 0;    ///< Answers since it turned cold.
    std::uint32_t max_running = 0; ///< Highest `running`.
    std::uint32_t crashes = 0;
    std::vector<request_id> received; ///< Requests that reached it.
};

/// The answer that a caller received.
struct answer_record
{
    bool ended = false;
    bool answered = false;
    error_kind error = error_kind::io_failure;
    outcome known_outcome = outcome::answered;
    int heads = 0;
    std::uint64_t chunks = 0;
    std::string body;
    server_id server;
    time_point ended_at{};
    time_point submitted_at{};
    duration retry_after{};
    team_id team;
    std::uint64_t chat = 0;
};

/// One router with the services under test and its fakes.
struct fake_router
{
    router_id id;
    domain_id domain;
    std::unique_ptr<kernel::kernel> router_kernel;
    bool killed = false;
    std::shared_ptr<member_view const> view;
};

/// An attempt that a backend server is processing.
struct open_attempt
{
    server_id server;
    std::size_t router = 0; ///< Index of its owner.
};

/// The routers, the state of the fakes around them, and the messages that are
/// still to be delivered.
struct test_fleet
{
    config::document config;
    std::vector<fake_router> routers;
    std::map<server_id, fake_server> servers;
    std::map<request_id, answer_record> answers;
    std::vector<event> events;
    counter_set counters;
    std::mt19937_64 random{7};
    time_point now{};
    std::uint64_t last_request = 0;

    duration link_delay = std::chrono::microseconds{500};
    duration digest_delay = std::chrono::milliseconds{500};
    duration report_lag = std::chrono::milliseconds{200};
    claim_state claim_reply = claim_state::won;
    duration claim_delay = std::chrono::milliseconds{2};
    bool release_confirmed = true;
    std::uint64_t crashing_body = 0; ///< Body that crashes its server; 0: none.
    std::uint64_t chunk_bytes = 10;
    int answer_chunks = 4;
    std::map<attempt_id, open_attempt> open_attempts;
    std::set<attempt_id> aborted;
    std::map<attempt_id, int> outcomes_recorded;
    int claims_made = 0;
    int releases = 0;

    /// The load bound is measured whenever a warm server gets a request.
    double worst_excess = 0; ///< Requests above 1.25 x mean load + 1.
    /// The same with the highest mean that the delayed load reports allow.
    double worst_excess_reported = 0;
    std::uint64_t admissions_over_bound = 0; ///< Requests above it.
    /// Loads averaged over each second whose mean load is at least 1.
    double worst_average_excess = 0; ///< Above 1.25 x the mean + 1.
    double worst_average_ratio = 0;
    std::map<server_id, std::uint64_t> running_ms; ///< This second.
    std::uint64_t dispatched = 0;

    std::multimap<time_point, std::function<void()>> scheduled;
};

struct fleet_options
{
    int routers = 8;
    int domains = 3;
    int servers = 18;
    std::uint32_t capacity = 8;
    std::uint32_t cold_capacity = 1;
    std::uint32_t max_candidates = 6;
    std::vector<config::team_config> teams;
    services::routing_options routing{};
    services::owner_options owner{};
    bool claims_service = true;
};

/// Builds and starts a fleet. All servers have reported that they are warm.
std::unique_ptr<test_fleet> make_fleet(fleet_options const& options = {});

/// Advances all clocks in steps of 1 ms and runs the actions that become due.
void advance_time(test_fleet& fleet, duration by);

/// Runs all routers until they are idle and all actions that are due now.
void deliver_due(test_fleet& fleet);

/// Runs `action` after `delay`.
void schedule(test_fleet& fleet, duration delay, std::function<void()> action);

/// Sends a message to a service of the router unless the router was killed.
template <class Message, class Value>
void send_to(fake_router& router, services::service_name name, Value&& value)
{
    if (router.killed)
        return;
    kernel::send(router.router_kernel->names().find<Message>(to_name(name)),
                 std::forward<Value>(value));
}

/// Submits a request to router `entry`, with defaults for empty fields.
request_id submit(test_fleet& fleet, std::size_t entry,
                  routed_request request = {});

/// Open-loop load over all live routers for `length`. The rate in requests per
/// second changes linearly from `rate` to `end_rate`.
struct load_options
{
    double rate = 50;
    double end_rate = 50;
    duration length = std::chrono::seconds{5};
    duration deadline = std::chrono::seconds{10};
    std::vector<team_id> teams{{"crews"}};
    std::vector<double> shares{1}; ///< Weights of the teams.
    std::uint64_t chats = 500;
    request_kind kind = request_kind::idempotent;
    service_id service{"models"};
    /// Draws the router of a request before its chat, which gives another load.
    bool router_first = false;
};
void run_load(test_fleet& fleet, load_options const& options);

/// Advances time until every request has ended, or by `limit`.
void finish_requests(test_fleet& fleet,
                     duration limit = std::chrono::seconds{30});

/// Sends every router a view in which these routers are live.
void send_members(test_fleet& fleet, std::vector<bool> const& live);

/// Sends one router a view in which these routers are live.
void send_members_to(test_fleet& fleet, std::size_t router,
                     std::vector<bool> const& live);

/// Sends the configuration to every router, then increments its version.
void apply_config(test_fleet& fleet);

/// Stops the router without a shutdown; the others lose their links to it.
void kill_router(test_fleet& fleet, std::size_t router);

/// Returns the index of the router that owns `server` in the view of the first
/// live router, or the number of routers if there is none.
std::size_t owner_index(test_fleet& fleet, server_id const& server);

/// Returns a server whose owner is not router `entry`.
server_id server_owned_elsewhere(test_fleet& fleet, std::size_t entry);

/// Returns a chat whose first choice is `server`.
std::uint64_t chat_preferring(test_fleet& fleet, server_id const& server);

/// Resets the measurements of the load bound.
void reset_load_measurements(test_fleet& fleet);

/// Returns the share of all requests of `team` that were answered.
double answered_share(test_fleet const& fleet, team_id const& team);

std::uint64_t count_events(test_fleet const& fleet, event_kind kind);

/// Returns whether an event of this kind for the request has a cause that
/// contains `text`.
bool has_event(test_fleet const& fleet, request_id id, event_kind kind,
               std::string_view text);

/// Returns the body of a complete answer.
std::string expected_body(test_fleet const& fleet);

/// Restarts the server cold: its connections close, and new ones are refused
/// for 600 ms.
void restart_server(test_fleet& fleet, server_id const& server);

/// Makes the server cold without a restart. Its limit drops after 2 s.
void turn_cold(test_fleet& fleet, server_id const& server);

// fakes.cpp

/// Adds the fakes and the services under test to a router's kernel.
void add_services(test_fleet& fleet, std::size_t index,
                  fleet_options const& options);

/// Closes the connection of every attempt on the server.
void close_attempts(test_fleet& fleet, server_id const& server);

} // namespace bramleyarch::test

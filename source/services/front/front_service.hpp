/// The HTTP front end. It converts callers' HTTP requests into messages to the
/// routing service, and the answers of that service into HTTP responses. All
/// routing decisions are made elsewhere.
#pragma once

#include "decisions/event_cursor.hpp"
#include "http/server.hpp"
#include "kernel/service.hpp"
#include "services/front/matching.hpp"
#include "services/front/problem.hpp"
#include "services/messages/front.hpp"
#include "services/messages/routing.hpp"
#include "services/telemetry/telemetry.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace bramleyarch::services
{

/// The HTTP response for a refused request.
struct refusal_response
{
    int status = 503;
    std::vector<header_field> headers;
    std::string body;
};

/// Functions for a front end whose HTTP interface differs from the default one
/// (docs/HTTP.md). A null function selects the default behaviour.
struct front_dialect
{
    /// Determines the team, route, service and terms of a request.
    result<routed_request> (*route)(config::deployment const& deployment,
                                    incoming_request request) = nullptr;
    /// Makes the response for a request that failed before its answer began.
    refusal_response (*make_refusal)(problem_details const& problem) = nullptr;
    /// Removes the headers that are internal to the fleet from the head of an
    /// answer, and adds those that the caller needs.
    void (*rewrite_head)(answer_head& head) = nullptr;
};

struct front_options
{
    net::loop_ptr loop;      ///< Null: the service makes its own loop.
    front_dialect dialect;   ///< Empty: the default interface.
    endpoint listen;         ///< Port 0: any free port.
    incarnation started = 0; ///< First part of the id of each request.
    std::size_t max_connections = 4096;
    std::size_t max_head_bytes = 16U << 10;
    duration head_limit = std::chrono::seconds{10};
    duration body_limit = std::chrono::seconds{30};
    duration write_limit = std::chrono::seconds{60};
    /// While a router that has just started does not know the rules and servers
    /// of its deployment, a request is held for this time at most. Callers
    /// abandon an attempt that is not read within a third of their deadline,
    /// which is 1.5 s or more where instances are this slow to start.
    duration max_startup_hold = std::chrono::milliseconds{500};
    /// Time from the start after which no request is held, since the store does
    /// not answer. Many routers that start together read the deployment within
    /// 2 s.
    duration max_startup_time = std::chrono::seconds{3};
    /// Requests that are held at the same time; the others are refused.
    std::size_t max_startup_requests = 256;
    decisions::memory_budget memory; ///< Default: unbounded.
    duration stalled_after = std::chrono::seconds{2};
    std::size_t min_progress_bytes = 1024;
    /// Receives the bound port. May be null.
    std::shared_ptr<std::atomic<std::uint16_t>> bound_port;
};

/// A request that was sent to the routing service and whose answer has not
/// ended.
struct open_request
{
    request_id id;
    http::exchange_id exchange = 0;
    attempt_id attempt; ///< Its answer is forwarded to the caller.
    bool head_sent = false;
    bool is_event_stream = false;
    bool has_length = false; ///< The head states the length of the body.
    /// Position in the stream, if it is one.
    decisions::event_cursor cursor{};
    std::uint64_t chunks = 0; ///< Forwarded to the caller so far.
    std::uint64_t bytes = 0;  ///< Forwarded to the caller so far.
    /// Consumed by the caller, but not yet reported to the routing service.
    std::uint32_t unreported_bytes = 0;
};

/// A request that waits until the deployment is known.
struct startup_request
{
    http::exchange_id exchange = 0;
    incoming_request incoming;
};

struct front_state
{
    front_options options;
    http::server_ptr server;
    kernel::address<routing_message> routing;
    kernel::address<front_message> self;
    runtime_clock const* clock = nullptr;
    config_snapshot config;
    std::shared_ptr<config::deployment const> deployment;
    /// The rules and a server have been known once, or `max_startup_time` has
    /// passed.
    bool has_started_up = false;
    time_point started_at{};
    std::vector<startup_request> startup_requests; ///< Oldest first.
    team_index teams;
    std::unordered_map<request_id, open_request> requests;
    std::unordered_map<http::exchange_id, request_id> request_ids;
    std::uint64_t last_sequence = 0;
    bool draining = false;
    /// What the server did for want of memory or connections since the last
    /// tick: for each kind how often, and the first one.
    std::array<std::size_t, enum_size<http::relief>()> reliefs{};
    std::array<http::relief_taken, enum_size<http::relief>()> first_reliefs{};
    telemetry telemetry_sink;
    int ticks = 0;
};

using front_service = kernel::service<front_state, front_message>;

front_service make_front_service(front_options options);

} // namespace bramleyarch::services

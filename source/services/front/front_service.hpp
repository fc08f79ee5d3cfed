/// The HTTP front end: turns callers' HTTP requests into messages to the
/// routing service, and its answers into HTTP. It decides nothing else.
#pragma once

#include "http/server.hpp"
#include "kernel/service.hpp"
#include "services/front/matching.hpp"
#include "services/front/problem.hpp"
#include "services/messages/front.hpp"
#include "services/messages/routing.hpp"
#include "services/telemetry/telemetry.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace bramleyarch::services
{

/// A refusal as it is sent to a caller.
struct refusal_text
{
    int status = 503;
    std::vector<header_field> headers;
    std::string body;
};

/// How a front end's HTTP reads and writes requests, where it is not the
/// product's own interface.
struct front_dialect
{
    /// Finds team, route, service and terms of a request.
    result<routed_request> (*route)(config::deployment const& known,
                                    incoming_request request) = nullptr;
    refusal_text (*refuse)(problem const& p) = nullptr;
    /// Removes what the caller is not to see, and adds what it needs.
    void (*prepare_head)(answer_head& head) = nullptr;
};

struct front_options
{
    net::loop_ptr loop;      ///< Null: a loop of its own.
    front_dialect dialect;   ///< Empty: the product's own interface.
    endpoint listen;         ///< Port 0: any free port.
    incarnation started = 0; ///< First part of each request's id.
    std::size_t max_connections = 4096;
    std::size_t max_head_bytes = 16U << 10;
    duration head_limit = std::chrono::seconds{10};
    duration body_limit = std::chrono::seconds{30};
    duration write_limit = std::chrono::seconds{60};
    /// Gets the bound port; may be null.
    std::shared_ptr<std::atomic<std::uint16_t>> bound_port;
};

/// A request that was handed to routing.
struct open_request
{
    request_id id;
    http::exchange_id exchange = 0;
    attempt_id attempt; ///< Whose answer is being sent on.
    bool head_sent = false;
    bool is_event_stream = false;
    std::uint64_t chunks = 0; ///< Received in sequence.
    std::uint64_t bytes = 0;
    std::uint32_t taken = 0; ///< Not told to routing yet.
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
    team_index teams;
    std::unordered_map<request_id, open_request> requests;
    std::unordered_map<http::exchange_id, request_id> ids;
    std::uint64_t last_sequence = 0;
    bool draining = false;
    telemetry counted;
    int ticks = 0;
};

using front_service = kernel::service<front_state, front_message>;

front_service make_front_service(front_options options);

} // namespace bramleyarch::services

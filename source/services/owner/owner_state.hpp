/// State of the owner service: owned servers and their attempts.
#pragma once

#include "services/messages/backend.hpp"
#include "services/messages/claims.hpp"
#include "services/messages/link.hpp"
#include "services/messages/members.hpp"
#include "services/messages/owner.hpp"
#include "services/messages/routing.hpp"
#include "services/telemetry/telemetry.hpp"

#include "decisions/admission.hpp"
#include "decisions/breaker.hpp"
#include "decisions/fair_queue.hpp"
#include "decisions/ownership.hpp"
#include "decisions/quarantine.hpp"
#include "decisions/slow_start.hpp"
#include "kernel/service.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bramleyarch::services
{

struct owner_options
{
    router_id self;
    std::uint64_t seed = 1; ///< For jitter.
    duration tick = std::chrono::milliseconds{250};
    /// Interval between two reads of a server's load report.
    duration report_interval = std::chrono::milliseconds{250};
    /// Minimum time between the last publication of loads and an early one.
    duration min_publish_interval = std::chrono::milliseconds{50};
    /// Maximum time without a byte from the backend server.
    duration silence_limit = std::chrono::seconds{30};
    /// A closed connection is attributed to a server's death that is detected
    /// within this time.
    duration death_window = std::chrono::seconds{5};
    /// Time for which the requests that a server runs for other owners count
    /// after a load report.
    duration remote_in_flight_ttl = std::chrono::seconds{5};
    /// Time for which the limit is halved after a load report that shows
    /// requests of another owner.
    duration shared_ownership_duration = std::chrono::seconds{1};
    /// Maximum time for which a new owner admits nothing while it waits for a
    /// load report that is newer than its gain of ownership.
    duration takeover_hold = std::chrono::seconds{1};
    /// Minimum time between a gain of ownership and a load report that ends
    /// the hold. An earlier report may miss requests that the former owner
    /// sent before it learned of the change.
    duration handover_margin = std::chrono::milliseconds{100};
    bool fair_queue = true;
    decisions::admission_options admission{};
    decisions::slow_start_options slow_start{};
    decisions::breaker_options breaker{};
    decisions::quarantine_options quarantine{};
};

/// Phase of an attempt at its owner.
enum class attempt_phase
{
    queued,     ///< Waits for admission; nothing was sent to the server.
    claiming,   ///< Waits for its claim; nothing was sent to the server.
    releasing,  ///< Nothing was sent; waits for the release of its claim.
    dispatched, ///< Passed to the backend service.
};

constexpr auto enum_names(attempt_phase)
{
    using p = attempt_phase;
    using row = enum_name<attempt_phase>;
    return std::array{
        row{p::queued, "queued"},
        row{p::claiming, "claiming"},
        row{p::releasing, "releasing"},
        row{p::dispatched, "dispatched"},
    };
}

/// An attempt that this owner queued or admitted.
struct owned_attempt
{
    router_id origin;
    offer offered;
    attempt_phase phase = attempt_phase::queued;
    /// A byte of the request may have been sent to the server.
    bool sent = false;
    bool answering = false; ///< The head of the answer was received.
    /// The entry router cancelled the attempt, which continues without a
    /// receiver.
    bool detached = false;
    std::uint64_t chunks_sent = 0;
    std::uint64_t bytes_sent = 0;
    time_point received_at{};
    time_point dispatched_at{};
    error cause; ///< Reported after the release; only while `releasing`.
};

/// A body that was in flight when a connection closed.
struct closed_body
{
    std::uint64_t body = 0; ///< Fingerprint of the body.
    time_point closed_at{};
};

/// A backend server that this router owns, or has owned while requests of that
/// time are in flight.
struct owned_server
{
    config::server_config config;
    service_id service;
    bool owned = true;      ///< If false, only requests in flight finish.
    bool in_service = true; ///< The server and its domain are in service.
    /// A load report newer than `ownership_gained_at` was received.
    bool has_current_report = false;
    /// Time of the gain of ownership or of the later return into service.
    time_point ownership_gained_at{};
    /// Nothing is admitted before this time, unless a load report shows
    /// earlier what the server runs for other owners.
    std::optional<time_point> admission_held_until;
    std::uint32_t in_flight = 0;
    /// Requests of other owners, estimated from the server's load report.
    std::uint32_t remote_in_flight = 0;
    time_point remote_in_flight_at{};
    /// The limit is reduced until this time, since a load report showed
    /// requests of another owner.
    std::optional<time_point> shared_until;
    std::uint32_t published_in_flight = 0; ///< `in_flight` as last published.
    decisions::in_flight_history history;
    decisions::slow_start slow_start;
    decisions::breaker breaker;
    decisions::fair_queue queue;
    duration mean_service{};
    /// The attempt that runs alone on the server or waits to do so, since its
    /// body may have crashed a server.
    std::optional<attempt_id> isolated_attempt;
    std::vector<closed_body> closed_bodies;
};

struct owner_state
{
    owner_options options;
    config_snapshot config;
    std::shared_ptr<member_view const> view;
    bool draining = false;
    std::map<server_id, owned_server> servers;
    std::unordered_map<attempt_id, owned_attempt> attempts;
    /// Loads that other owners reported, by service.
    std::unordered_map<service_id, decisions::remote_owner_loads> remote_loads;

    std::unordered_map<server_id, service_id> service_by_server;
    decisions::quarantine_list suspect_bodies;
    time_point loads_published_at{};
    std::uint64_t random_draws = 0;
    std::uint32_t ticks = 0; ///< Since the last flush of the telemetry.
    telemetry telemetry_sink;
    kernel::address<routing_message> routing;
    kernel::address<backend_message> backend;
    kernel::address<claims_message> claims;
    kernel::address<link_message> link;
    kernel::address<members_message> members;
};

using owner_context = kernel::context<owner_message>;

} // namespace bramleyarch::services

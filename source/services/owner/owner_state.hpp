/// State of the owner service: owned servers and the attempts in hand.
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
    /// Between two reads of a server's load report.
    duration report_interval = std::chrono::milliseconds{250};
    /// Least time between two publications of loads that changed much.
    duration publish_gap = std::chrono::milliseconds{50};
    duration silence_limit = std::chrono::seconds{30};
    /// A closed connection belongs to a death found within this time.
    duration death_window = std::chrono::seconds{5};
    /// What a server holds for other owners counts this long after a report.
    duration report_ttl = std::chrono::seconds{5};
    /// The limit is halved for this long after a report that shows work of
    /// another owner.
    duration dispute_time = std::chrono::seconds{1};
    /// A new owner admits nothing until a report is newer than the take-over,
    /// or until this time has passed.
    duration takeover_hold = std::chrono::seconds{1};
    /// A report that is newer than the take-over by less may miss what the
    /// former owner sent before it had heard of the change.
    duration handover_margin = std::chrono::milliseconds{100};
    bool fair_queue = true;
    decisions::admission_options admission{};
    decisions::slow_start_options slow_start{};
    decisions::breaker_options breaker{};
    decisions::quarantine_options quarantine{};
};

/// Where an attempt stands at its owner.
enum class attempt_phase
{
    queued,     ///< Waits for the server; nothing was sent.
    claiming,   ///< Waits for its claim; nothing was sent.
    releasing,  ///< Nothing was sent; gives its claim up.
    dispatched, ///< Handed to the backend service.
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

/// One attempt that this owner queued or admitted.
struct owned_attempt
{
    router_id origin;
    offer asked;
    attempt_phase phase = attempt_phase::queued;
    bool sent = false;      ///< A byte may have left for the server.
    bool answering = false; ///< The server's head was received.
    bool detached = false;  ///< Nobody waits for the answer any more.
    std::uint64_t chunks = 0;
    std::uint64_t bytes = 0;
    time_point entered{};
    time_point dispatched{};
    error cause; ///< Why it is given up, while `releasing`.
};

/// A body that was in flight when a connection closed.
struct closed_body
{
    std::uint64_t body = 0;
    time_point at{};
};

/// One backend server that is owned here, or was and still holds work.
struct owned_server
{
    config::server_config config;
    service_id service;
    bool owned = true;      ///< False: finishes what it holds.
    bool in_service = true; ///< Server and domain may get new work.
    bool reported = false;  ///< A report is newer than the take-over.
    time_point taken_over{};
    /// Offers wait until then for a report that shows what others hold.
    std::optional<time_point> held_until;
    std::uint32_t in_flight = 0;
    std::uint32_t others = 0; ///< Held for other owners, by its report.
    time_point others_seen{};
    /// Another owner was seen to send there until then.
    std::optional<time_point> disputed_until;
    std::uint32_t published = 0; ///< `in_flight` as last published.
    decisions::in_flight_history history;
    decisions::slow_start slow_start;
    decisions::breaker breaker;
    decisions::fair_queue queue;
    duration mean_service{};
    /// The suspect body's attempt that runs, or waits to run, alone.
    std::optional<attempt_id> trial;
    std::vector<closed_body> closed;
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
    std::unordered_map<service_id, decisions::remote_owner_loads> foreign;

    std::unordered_map<server_id, service_id> service_of;
    decisions::quarantine_list bodies;
    time_point published{};
    std::uint64_t random_draws = 0;
    std::uint32_t ticks = 0;
    telemetry metrics;
    kernel::address<routing_message> routing;
    kernel::address<backend_message> backend;
    kernel::address<claims_message> claims;
    kernel::address<link_message> link;
    kernel::address<members_message> members;
};

using owner_context = kernel::context<owner_message>;

} // namespace bramleyarch::services

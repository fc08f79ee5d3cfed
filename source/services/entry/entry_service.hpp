/// Routing where each router admits the requests that it took itself: chooses
/// the server, sends, and brings the answer back. Takes the place of the
/// services "routing" and "owner" under the name of the former.
#pragma once

#include "decisions/crash_history.hpp"
#include "decisions/event_cursor.hpp"
#include "decisions/fleet_share.hpp"
#include "decisions/hot_prompt.hpp"
#include "decisions/prompt_copy.hpp"
#include "decisions/remote_loads.hpp"
#include "decisions/server_choice.hpp"
#include "kernel/service.hpp"
#include "services/entry/backend_dialect.hpp"
#include "services/messages/backend.hpp"
#include "services/messages/peers.hpp"
#include "services/messages/routing.hpp"
#include "services/telemetry/telemetry.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace bramleyarch::services
{

struct entry_options
{
    router_id self;
    domain_id domain;
    std::uint64_t seed = 0;
    backend_dialect dialect;
    decisions::retry_share_options retries;
    decisions::cold_share_options cold;
    decisions::server_choice_options choice;
    decisions::prompt_copy_options copies;
    decisions::hot_prompt_options heat;
    /// Answers other than streams up to this size are held until they are
    /// whole, so that one that is cut off can still be replaced.
    std::size_t max_held_answer_bytes = 256U << 10;
    /// Time kept back from a caller's deadline for the way of the answer.
    duration deadline_margin = std::chrono::milliseconds{20};
    /// A request that may run again is sent elsewhere after this many times
    /// its latency target without a byte, and not before `first_byte_floor`.
    double first_byte_targets = 2.5;
    duration first_byte_floor = std::chrono::milliseconds{250};
    /// A server from which nothing at all came since a request was sent is
    /// probed after this part of the latency target, and not before
    /// `dark_floor`, which is well above a server's usual work.
    double dark_targets = 0.25;
    duration dark_floor = std::chrono::milliseconds{120};
    /// For a probe's connection: many times the way there and back.
    duration probe_limit = std::chrono::milliseconds{150};
    /// A server that failed is left out until a probe reaches it. The first
    /// probe goes out after this long, each further one after twice as long up
    /// to the last value.
    duration first_ejection = std::chrono::milliseconds{400};
    duration last_ejection = std::chrono::seconds{2};
    /// Smallest Retry-After; callers spread themselves beyond it.
    duration retry_after = std::chrono::milliseconds{250};
    /// Retry-After of a request that takes servers down.
    duration crash_retry_after = std::chrono::seconds{5};
    /// Between reports of the own loads to the other routers.
    duration report_interval = std::chrono::milliseconds{250};
    decisions::remote_loads_options peer_loads;
};

/// A backend server as this router sees it.
struct server_view
{
    config::listed_server listed;
    std::uint64_t hash = 0;
    std::uint32_t own = 0; ///< Attempts of this router under way.
    std::optional<reported_load> stated;
    time_point stated_at{};
    time_point cold_until{};
    time_point next_cold{};     ///< Earliest next request while it is cold.
    bool left_out = false;      ///< It failed and was not reached since.
    time_point probe_at{};      ///< While it is left out.
    std::uint32_t failures = 0; ///< In a row.
    time_point heard_at{};      ///< Last byte of any answer, or probe.
    bool probing = false;
    bool misdirected = false; ///< Another server has its address.
};

enum class request_stage
{
    sending,   ///< An attempt is under way, nothing was passed on.
    answering, ///< The head was passed on.
};

/// A request that a front end handed in.
struct entry_request
{
    routed_request request;
    answer_sink reply;
    request_stage stage = request_stage::sending;
    std::uint32_t attempt = 0; ///< Number of the current one; 0: none.
    std::uint32_t sent = 0;    ///< Attempts that reached a server.
    bool may_have_run = false; ///< Some attempt may have.
    server_id server;          ///< Of the current attempt.
    std::vector<server_id> tried;
    time_point attempt_at{};
    time_point byte_at{};             ///< Last byte of the current attempt.
    bool first_byte_due = false;      ///< The silence timer is the last one.
    std::optional<backend_head> head; ///< Not passed on yet.
    std::string held;                 ///< Body that goes with it.
    decisions::event_cursor cursor;
    std::uint64_t chunks = 0;
    std::uint64_t bytes = 0;
    error last_failure{};
    kernel::timer_id deadline_timer = 0;
    kernel::timer_id silence_timer = 0;
};

struct entry_state
{
    entry_options options;
    std::shared_ptr<config::deployment const> deployment;
    std::map<server_id, server_view> servers;
    std::unordered_map<request_id, entry_request> requests;
    std::map<service_id, decisions::retry_share> retries;
    std::map<service_id, decisions::recent_prompts> heats;
    decisions::remote_loads peer_loads;
    decisions::crash_history crashes;
    std::vector<router_id> other_routers;
    kernel::address<backend_message> backend;
    kernel::address<peers_message> peers_service;
    telemetry counted;
    std::mt19937_64 random;
    int ticks = 0;
    bool draining = false;
};

using entry_context = kernel::context<routing_message>;
using entry_service = kernel::service<entry_state, routing_message>;

/// Takes over the limits of all routers together.
void apply_shared_limits(entry_options& options,
                         config::shared_limit_settings const& limits);

entry_service make_entry_service(entry_options options);

} // namespace bramleyarch::services

/// What the operators and the backend servers say of a running deployment
/// whose routers admit requests themselves: routes, services, teams, servers.
///
/// `config/model.hpp` is the document of deployments with owners; there the
/// servers are part of the operators' document.
#pragma once

#include "common/enum_names.hpp"
#include "common/ids.hpp"
#include "common/request.hpp"
#include "common/time.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bramleyarch::config
{

/// One of the services that share a route's requests.
struct service_share
{
    service_id service;
    std::uint32_t weight = 1; ///< Relative to the other shares.
};

/// Requests whose host and longest path prefix match.
struct route_rule
{
    std::string name;
    std::string host;        ///< Lower case, without a port.
    std::string path_prefix; ///< Begins and ends with '/'.
    request_kind kind = request_kind::non_idempotent;
    bool streaming = false;
    bool resumable = false;         ///< Streams: may go on elsewhere.
    duration timeout{};             ///< Longest time for an answer.
    duration latency_target{};      ///< For the first byte.
    duration gap_target{};          ///< Streams: between events.
    std::uint32_t rank = 0;         ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1; ///< Servers that one request may reach.
    bool open = false;              ///< Needs no API key.
    std::vector<service_share> shares;
};

/// What a model server can hold.
struct engine_rule
{
    std::uint32_t slots = 0;         ///< Requests in one batch.
    std::uint64_t memory_tokens = 0; ///< Cached and running prompts.
};

struct service_rule
{
    service_id id;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< Of one server, from all routers.
    double cold_rate = 0; ///< Requests a second that a cold server bears; 0:
                          ///< it has no cold phase.
    duration cold_time{};
    std::optional<engine_rule> engine; ///< Model servers only.
};

struct team_rule
{
    team_id id;
    std::optional<std::uint32_t> rank; ///< Goes before the route's.
};

/// What callers may send.
struct caller_rule
{
    std::uint32_t max_head_bytes = 16U << 10;
    std::uint32_t max_body_bytes = 1U << 20;
    duration head_limit = std::chrono::seconds{10};
    duration idle_limit = std::chrono::seconds{60};
};

/// The operators' part, accepted as a whole.
struct routing_rules
{
    revision version = 0;
    std::vector<route_rule> routes;
    std::map<service_id, service_rule> services;
    std::map<std::string, team_rule> teams; ///< By digest of the API key.
    bool needs_keys = false;                ///< Any team is configured.
    caller_rule callers;
};

/// A backend server as it describes itself.
struct listed_server
{
    server_id id;
    service_id service;
    domain_id domain;
    endpoint address;
    std::string version; ///< Of the server's software; empty: not stated.
    std::uint32_t slots = 1;
    bool leaving = false;
    duration cold_left{};   ///< When the entry was written.
    std::uint64_t born = 0; ///< Start of the server, ms since 1970; 0: unknown.
    revision changed = 0;   ///< Of the entry.

    bool operator==(listed_server const&) const = default;
};

/// An operator's request to move a service's requests to the servers of another
/// version.
struct rollout_order
{
    service_id service;
    std::string to_version;
    duration length{};    ///< From the order to its deadline.
    revision changed = 0; ///< Of the order; identifies it.

    bool operator==(rollout_order const&) const = default;
};

/// How far a rollout is. The last two states are final.
enum class rollout_state : std::uint8_t
{
    running,
    succeeded,
    rolled_back,
};

constexpr auto enum_names(rollout_state)
{
    using r = rollout_state;
    using row = enum_name<rollout_state>;
    return std::array{row{r::running, "running"},
                      row{r::succeeded, "succeeded"},
                      row{r::rolled_back, "rolled_back"}};
}

/// State of a rollout as it is stored.
struct rollout_status
{
    service_id service;
    std::string to_version;
    rollout_state state = rollout_state::running;
    /// Revision of the order that the status belongs to; 0: not stated, the
    /// status belongs to the newest order of the version.
    revision order = 0;
    revision changed = 0; ///< Of the status.

    bool operator==(rollout_status const&) const = default;
};

/// Everything that is known, as of one moment. Immutable once shared.
struct deployment
{
    std::shared_ptr<routing_rules const> rules; ///< Null: none accepted yet.
    std::map<server_id, listed_server> servers;
    std::set<domain_id> taken_out; ///< Domains whose servers get no new work.
    std::map<service_id, rollout_order> rollouts; ///< Orders in force.
    std::map<service_id, rollout_status> rollout_statuses;
};

} // namespace bramleyarch::config

/// The store service: keeps a copy of the records in a platform's key-value
/// store up to date by list and watch, and keeps this router registered there.
#pragma once

#include "decisions/catch_up.hpp"
#include "decisions/discovery.hpp"
#include "decisions/status_record.hpp"
#include "http/client.hpp"
#include "kernel/service.hpp"
#include "services/messages/front.hpp"
#include "services/messages/peers.hpp"
#include "services/messages/routing.hpp"
#include "services/messages/store.hpp"
#include "services/store/store_codec.hpp"
#include "services/telemetry/telemetry.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

namespace bramleyarch::services
{

/// The operations of an HTTP client that the service uses.
struct store_transport
{
    std::function<void(http::client_request)> open;
    /// Abandons a request; no event of it follows.
    std::function<void(std::uint64_t id)> close;
    /// Called once, when the service starts, with the handler of the client's
    /// events. May be empty.
    std::function<void(std::function<void(http::client_event)>)> subscribe;
};

struct store_options
{
    net::loop_ptr loop; ///< If null, the service creates a loop of its own.
    endpoint address;   ///< Address of the store.
    store_codec codec;
    /// Record under which this router is registered.
    decisions::listed_router self;
    std::uint64_t seed = 0; ///< Seeds the random part of retry delays.
    decisions::discovery_options discovery;
    /// Replaces the HTTP client in tests.
    store_transport transport;
    /// Longest response; many times a page of a list, or a record.
    std::size_t max_response_bytes = 16U << 20;
    duration connect_timeout = std::chrono::milliseconds{600};
    /// Timeout of requests that the store answers at once; some hundred times
    /// the usual response time of 4 ms.
    duration request_timeout = std::chrono::milliseconds{1500};
    /// Time after which a watch without changes returns. If the store stops
    /// responding meanwhile, failed lease renewals and the newer changes that
    /// peers advertise reveal it.
    duration watch_wait = std::chrono::seconds{10};
    /// Shorter wait of a watch that checks whether the store still responds.
    duration probe_watch_wait = std::chrono::milliseconds{500};
    /// Added to the wait of a watch to get the timeout of the request.
    duration watch_timeout_margin = std::chrono::milliseconds{900};
    decisions::catch_up_options catch_up;
    /// Least time between the head of a watch's response with changes and the
    /// next watch, so that changes in quick succession cost a single request.
    duration watch_pause = std::chrono::milliseconds{500};
    /// Time for which peers may advertise a newer change before this router
    /// restarts its watch. Covers the pause between watches and the response
    /// time.
    duration max_peer_lag = std::chrono::seconds{1};
    /// Interval between lists of the routers. New routers make themselves known
    /// by their heartbeats, so only departures depend on the list.
    duration router_list_interval = std::chrono::seconds{15};
    /// Delay before the first retry of a failed list or watch. It doubles with
    /// each further failure, up to `max_backoff`.
    duration initial_backoff = std::chrono::milliseconds{100};
    /// Longest delay before a retry of a failed list or watch; also the delay
    /// after a failed lease request.
    duration max_backoff = std::chrono::milliseconds{800};
    duration lease_ttl = std::chrono::seconds{12};
    /// Interval between lease renewals. They also detect a store that does not
    /// respond; each costs a tenth of a regular request.
    duration lease_renewal_interval = std::chrono::milliseconds{1500};
    duration renewal_timeout = std::chrono::seconds{1};
};

/// What the request that synchronises a group of records is doing.
enum class sync_stage
{
    idle, ///< The next request is not due yet.
    listing,
    watching,
};

constexpr auto enum_names(sync_stage)
{
    using s = sync_stage;
    using row = enum_name<sync_stage>;
    return std::array{row{s::idle, "idle"}, row{s::listing, "listing"},
                      row{s::watching, "watching"}};
}

/// State of this router's registration in the store.
enum class registration_stage
{
    unregistered,
    granting_lease,
    writing_record,
    registered,
    renewing_lease,
    revoking_lease,
};

constexpr auto enum_names(registration_stage)
{
    using r = registration_stage;
    using row = enum_name<registration_stage>;
    return std::array{
        row{r::unregistered, "unlisted"},   row{r::granting_lease, "leasing"},
        row{r::writing_record, "writing"},  row{r::registered, "listed"},
        row{r::renewing_lease, "renewing"}, row{r::revoking_lease, "ending"}};
}

/// Stands for a time that is not set; later than any other.
constexpr time_point never = time_point::max();

/// A request in flight and the response received so far.
struct pending_request
{
    std::uint64_t id = 0; ///< 0 if there is no request in flight.
    int status = 0;       ///< 0 until the head of the response has arrived.
    time_point head_received_at{};
    time_point last_byte_at{}; ///< Of the response.
    std::string body;
};

/// How far the records of one group are synchronised with the store.
struct group_sync
{
    record_group group{};
    sync_stage stage = sync_stage::idle;
    pending_request request;
    time_point requested_at{}; ///< When the last request was sent.
    time_point next_request{}; ///< When the next request is due, while idle.
    /// All changes up to this revision are applied. 0 if the next request is a
    /// list, as it always is for routers.
    revision synced_to = 0;
    /// Revision of the newest change received.
    revision newest_revision = 0;
    /// Revision of the newest change that peers advertise.
    revision newest_peer_revision = 0;
    /// Since when peers have advertised newer changes; `never` if they do not.
    time_point lagging_since = never;
    std::uint32_t failures = 0; ///< Consecutive failures.
    /// The store may not respond, or the watch may be dead. The next watch is
    /// a short one.
    bool suspected_dead = false;
    list_consistency consistency = list_consistency::current;
    std::set<std::string> listed_keys; ///< Keys in the pages read so far.
    revision list_revision = 0;        ///< Revision of the list's first page.
    std::string page_cursor;           ///< The next page starts after this key.
    std::uint64_t listed_bytes = 0;    ///< Size of the pages read so far.
    std::uint64_t state_bytes = 0;     ///< Size of the last complete list.
};

/// The stored status of a rollout whose order is in force.
struct rollout_sync
{
    decisions::status_record record;
    pending_request request;
    /// When the last request was sent or, before the first one, the order was
    /// first seen.
    time_point requested_at{};
};

/// Read of the order of a service that has held servers.
struct order_check
{
    pending_request request;
    revision newest_entry = 0; ///< Of the held servers, when it was sent.
    std::uint32_t failures = 0;
    time_point next_call{};
};

struct store_state
{
    store_options options;
    http::client_ptr client;
    store_transport transport;
    std::uint64_t era = 0; ///< Of the store; 0: it has stated none.
    decisions::discovery discovery;
    telemetry telemetry_sink;
    kernel::address<store_message> self;
    kernel::address<front_message> front;
    kernel::address<routing_message> routing;
    kernel::address<admin_message> admin;
    kernel::address<peers_message> peers;
    runtime_clock const* clock = nullptr;
    std::mt19937_64 random;
    std::uint64_t last_request_id = 0;

    /// Indexed by `record_group`. The routers are first listed once this router
    /// is registered.
    std::array<group_sync, enum_names(record_group{}).size()> syncs{
        group_sync{.group = record_group::rules},
        group_sync{.group = record_group::servers},
        group_sync{.group = record_group::routers, .next_request = never}};
    known_revisions advertised_revisions; ///< Last sent to the peers service.

    registration_stage registration = registration_stage::unregistered;
    pending_request lease_request;   ///< Also the write of the router's record.
    std::uint64_t lease = 0;         ///< 0 until a lease has been granted.
    time_point next_lease_request{}; ///< When the next request is due.
    bool draining = false;

    std::map<service_id, rollout_sync> rollouts; ///< Orders in force.
    std::map<service_id, order_check> order_checks;
};

using store_service = kernel::service<store_state, store_message>;

store_service make_store_service(store_options options);

} // namespace bramleyarch::services

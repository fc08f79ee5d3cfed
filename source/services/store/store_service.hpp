/// The store service: follows the records of a platform's store by list and
/// watch, and keeps this router listed there.
#pragma once

#include "decisions/discovery.hpp"
#include "http/client.hpp"
#include "kernel/service.hpp"
#include "services/messages/front.hpp"
#include "services/messages/peers.hpp"
#include "services/messages/routing.hpp"
#include "services/messages/store.hpp"
#include "services/store/store_codec.hpp"
#include "services/telemetry/telemetry.hpp"

#include <cstdint>
#include <random>
#include <set>
#include <string>

namespace bramleyarch::services
{

/// What the service needs of an HTTP client.
struct store_transport
{
    std::function<void(http::client_request)> open;
    std::function<void(std::uint64_t id)> close;
};

struct store_options
{
    net::loop_ptr loop; ///< Null: a loop of its own.
    endpoint address;
    store_codec codec;
    decisions::listed_router self;
    std::uint64_t seed = 0;
    decisions::discovery_options discovery;
    /// Replaces the HTTP client; tests only.
    store_transport transport;
    duration connect_limit = std::chrono::milliseconds{600};
    /// For an answer that does not wait; some hundred times the usual 4 ms.
    duration call_limit = std::chrono::milliseconds{1500};
    /// A watch without changes returns after this. A connection that went
    /// silent is noticed within this and `watch_slack`.
    duration watch_wait = std::chrono::milliseconds{2500};
    duration watch_slack = std::chrono::milliseconds{900};
    duration first_retry = std::chrono::milliseconds{100};
    duration last_retry = std::chrono::milliseconds{800};
    duration lease_ttl = std::chrono::seconds{12};
    duration lease_renewal = std::chrono::seconds{4};
};

/// What the one call that follows the records is doing.
enum class follow_stage
{
    idle, ///< Waits to try again.
    listing,
    watching,
};

constexpr auto enum_names(follow_stage)
{
    using f = follow_stage;
    using row = enum_name<follow_stage>;
    return std::array{row{f::idle, "idle"}, row{f::listing, "listing"},
                      row{f::watching, "watching"}};
}

/// What the call that keeps this router listed is doing.
enum class listing_stage
{
    unlisted,
    leasing,
    writing,
    listed,
    renewing,
    ending,
};

constexpr auto enum_names(listing_stage)
{
    using l = listing_stage;
    using row = enum_name<listing_stage>;
    return std::array{row{l::unlisted, "unlisted"}, row{l::leasing, "leasing"},
                      row{l::writing, "writing"},   row{l::listed, "listed"},
                      row{l::renewing, "renewing"}, row{l::ending, "ending"}};
}

/// A call under way; id 0: none.
struct running_call
{
    std::uint64_t id = 0;
    int status = 0;
    std::string body;
};

struct store_state
{
    store_options options;
    http::client_ptr client;
    store_transport transport;
    decisions::discovery found;
    telemetry counted;
    kernel::address<store_message> self;
    kernel::address<front_message> front;
    kernel::address<routing_message> routing;
    kernel::address<admin_message> admin;
    kernel::address<peers_message> peers;
    runtime_clock const* clock = nullptr;
    std::mt19937_64 random;
    std::uint64_t last_id = 0;

    follow_stage stage = follow_stage::idle;
    running_call follow;
    revision as_of = 0;           ///< Watch from here; 0: list first.
    std::set<std::string> listed; ///< Keys of the list so far.
    revision list_as_of = 0;      ///< Of its first page.
    std::string page_after;
    std::uint32_t failures = 0; ///< In a row.
    time_point retry_at{};

    listing_stage listing = listing_stage::unlisted;
    running_call keep;
    std::uint64_t lease = 0;
    time_point keep_at{}; ///< Next call for the lease.
    bool draining = false;
};

using store_service = kernel::service<store_state, store_message>;

store_service make_store_service(store_options options);

/// An event of the service's HTTP calls; tests deliver them here.
void handle_store_event(store_state& state, http::client_event event);

} // namespace bramleyarch::services

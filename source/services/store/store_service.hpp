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

#include <array>
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
    /// Called once with what takes the events; may be empty.
    std::function<void(std::function<void(http::client_event)>)> subscribe;
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
    /// A watch without changes returns after this. That the store has gone
    /// silent meanwhile is noticed by renewals and by what peers know.
    duration watch_wait = std::chrono::seconds{10};
    /// The same for a watch that finds out whether the store answers.
    duration short_watch_wait = std::chrono::milliseconds{500};
    /// For the answer of a watch beyond its wait.
    duration watch_slack = std::chrono::milliseconds{900};
    /// Between a watch that saw changes and the next one: those that come
    /// close together cost one call.
    duration watch_pause = std::chrono::milliseconds{500};
    /// A peer may know of a change this much longer than this router: its
    /// own watch may pause meanwhile, and its answer takes a while.
    duration behind_limit = std::chrono::seconds{1};
    /// Between readings of the list of routers: peers that start make
    /// themselves known by their beats, only those that left wait for it.
    duration routers_interval = std::chrono::seconds{15};
    duration first_retry = std::chrono::milliseconds{100};
    duration last_retry = std::chrono::milliseconds{800};
    duration lease_ttl = std::chrono::seconds{12};
    /// Renewals also tell whether the store answers; each is a tenth of a call.
    duration lease_renewal = std::chrono::milliseconds{1500};
    duration renewal_limit = std::chrono::seconds{1};
};

/// What the call that follows a group of records is doing.
enum class follow_stage
{
    idle, ///< The next call is not due yet.
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

/// No time.
constexpr time_point never = time_point::max();

/// A call under way; id 0: none.
struct running_call
{
    std::uint64_t id = 0;
    int status = 0;
    std::string body;
};

/// The records of one group, as far as they are read.
struct followed_group
{
    record_group group{};
    follow_stage stage = follow_stage::idle;
    running_call call;
    time_point called_at{};
    time_point due{};           ///< Next call, while idle.
    revision as_of = 0;         ///< All changes up to it are known; 0: none.
    revision changed = 0;       ///< Newest change seen.
    revision peers_changed = 0; ///< Newest change that peers know of.
    time_point behind_since = never;
    std::uint32_t failures = 0; ///< In a row.
    bool doubted = false;       ///< The store may not answer.
    list_consistency age = list_consistency::current;
    std::set<std::string> listed; ///< Keys of the list so far.
    revision list_as_of = 0;      ///< Of its first page.
    std::string page_after;
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

    std::array<followed_group, enum_names(record_group{}).size()> groups{
        followed_group{.group = record_group::rules},
        followed_group{.group = record_group::servers},
        followed_group{.group = record_group::routers, .due = never}};
    known_revisions told; ///< Last told to the peers.

    listing_stage listing = listing_stage::unlisted;
    running_call keep;
    std::uint64_t lease = 0;
    time_point keep_at{}; ///< Next call for the lease.
    bool draining = false;
};

using store_service = kernel::service<store_state, store_message>;

store_service make_store_service(store_options options);

} // namespace bramleyarch::services

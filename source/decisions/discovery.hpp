/// What is known of a deployment from the records of a store that can be away,
/// forget its history and hold records of other writers.
#pragma once

#include "config/deployment.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace bramleyarch::decisions
{

/// Another router, as it listed itself.
struct listed_router
{
    router_id id;
    endpoint heartbeat;
    domain_id domain;

    bool operator==(listed_router const&) const = default;
};

/// A backend server's own entry, with what orders entries of one server.
struct server_entry
{
    config::listed_server server;
    std::uint64_t sequence = 0; ///< Rises within one start of the server.
};

/// A key of a server that names no server to use.
struct unusable_entry
{
    server_id id;
    std::string reason;
};

/// A record that says nothing here, or that can't be read.
struct ignored_record
{
    std::string reason; ///< Empty: of no concern.
};

struct domain_taken_out
{
    domain_id domain;
};

using store_record =
    std::variant<ignored_record, std::shared_ptr<config::routing_rules const>,
                 server_entry, unusable_entry, domain_taken_out, listed_router>;

/// One key as it was written, or its removal.
struct record_change
{
    std::string key;
    revision changed = 0;
    bool removed = false;
    store_record content; ///< Also of a removal: what the key named.
};

struct discovery_options
{
    /// Servers whose entries lapsed while the store was away are listed again
    /// within about two seconds of its return; the rest covers late timers.
    duration recovery_grace = std::chrono::milliseconds{2300};
    /// Part of a service's servers that must go at once to be taken for a
    /// lapse. A store that was away lets nearly all lapse; fewer have left
    /// while this router alone could not reach the store.
    double mass_expiry_share = 0.5;
};

struct discovery
{
    discovery_options options;
    config::deployment deployment;
    std::map<std::string, revision> applied_revisions; ///< Per key.
    std::map<server_id, std::uint64_t> sequences;
    std::map<std::string, listed_router> routers; ///< By key.
    /// Servers whose entries went while the store was away.
    std::map<server_id, time_point> deferred_removals;
    bool store_unavailable = false;
    std::optional<time_point> available_since;
    bool mass_expiry = false; ///< Entries lapsed while the store was away.
};

/// What an applied change touched.
struct discovery_effect
{
    bool deployment_changed = false;
    bool routers_changed = false;
    std::string log_text; ///< For the log; empty: nothing to say.
};

/// The store gives no answers.
void record_store_unavailable(discovery& d);

/// The store answers again.
void record_store_available(discovery& d, time_point at);

/// Looks at changes that arrived together, before each is applied: whether
/// their removals are a lapse.
void detect_mass_expiry(discovery& d,
                        std::vector<record_change> const& changes);

/// Applies a change; older ones than what is known of its key have no effect.
discovery_effect apply_change(discovery& d, record_change const& change,
                              time_point at);

/// Keys that were known and are missing from a whole list.
std::vector<std::string> missing_keys(discovery const& d,
                                      std::set<std::string> const& listed);

/// Drops the servers whose entries did not come back in time.
discovery_effect remove_expired_servers(discovery& d, time_point at);

} // namespace bramleyarch::decisions

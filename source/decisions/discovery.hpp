/// Deployment as read from the records of a store.
///
/// The store may be unavailable, may lose its history, and may hold records
/// of other writers.
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

/// Another router, as registered by itself.
struct listed_router
{
    router_id id;
    endpoint heartbeat;
    domain_id domain;

    bool operator==(listed_router const&) const = default;
};

/// Entry that a backend server wrote about itself.
struct server_entry
{
    config::listed_server server;
    /// Orders the entries of one server; increases within one start of it.
    std::uint64_t sequence = 0;
};

/// Record of a server whose value can't be used; the server gets no requests.
struct unusable_entry
{
    server_id id;
    std::string reason;
};

/// A record that has no effect on the deployment.
struct ignored_record
{
    std::string reason; ///< Written to the log; empty: nothing is written.
    /// True for the order of a rollout that can't be used; it is counted.
    bool is_order = false;
};

struct domain_taken_out
{
    domain_id domain;
};

using store_record =
    std::variant<ignored_record, std::shared_ptr<config::routing_rules const>,
                 server_entry, unusable_entry, domain_taken_out, listed_router,
                 config::rollout_order>;

/// One key as it was written, or its removal.
struct record_change
{
    std::string key;
    revision changed = 0; ///< Revision of the store at this change.
    bool removed = false;
    /// Value of the key. Of a removal: a record of the kind that the key
    /// names, with the id from the key.
    store_record content;
};

struct discovery_options
{
    /// Time for which servers are kept whose entries expired while the store
    /// was unavailable. Servers register again within about two seconds; the
    /// rest allows for late timers.
    duration recovery_grace = std::chrono::milliseconds{2300};
    /// Removing more than this share of a service's servers at once counts as
    /// a mass expiry. During an outage of the store nearly all entries expire.
    /// Fewer removals are servers that left while only this router could not
    /// reach the store.
    double mass_expiry_share = 0.5;
    /// Time for which runs of servers that were removed are remembered; many
    /// times the age of a copy from which the store may come back.
    duration ended_run_retention = std::chrono::minutes{2};
};

/// The last known entry of a run of a server that was removed.
struct ended_run
{
    std::uint64_t born = 0;
    std::uint64_t sequence = 0;
    bool leaving = false;
    time_point at{};
};

/// A server whose version no server in use has. It gets no requests until it is
/// known whether an order names the version.
struct held_server
{
    record_change change; ///< The newest entry.
    service_id service;
};

struct discovery
{
    discovery_options options;
    config::deployment deployment;
    /// Newest applied revision of each key.
    std::map<std::string, revision> applied_revisions;
    /// Sequence of the entry in use of each server.
    std::map<server_id, std::uint64_t> sequences;
    std::map<std::string, listed_router> routers; ///< By key.
    /// Newest valid order of each service, also of services that the rules do
    /// not name. Those of named services are in force.
    std::map<service_id, config::rollout_order> orders;
    std::map<server_id, held_server> held_servers;
    /// All operators' records up to this revision are applied.
    revision operators_read = 0;
    /// The order of a service is known as of this revision. Missing: as of
    /// `operators_read`.
    std::map<service_id, revision> orders_read;
    /// Servers whose entries were removed in connection with an outage of the
    /// store, with the time at which they are removed here.
    std::map<server_id, time_point> deferred_removals;
    /// Domains whose records are missing in an older copy of the store, with
    /// the time at which they return here.
    std::map<domain_id, time_point> deferred_returns;
    std::map<server_id, ended_run> ended_runs;
    bool store_unavailable = false;
    /// End of the last outage of the store, if there was one.
    std::optional<time_point> available_since;
    /// When it was noticed that the store came back from an older copy.
    std::optional<time_point> restored_at;
    /// True if a mass expiry was detected since the end of the last outage.
    bool mass_expiry = false;
};

/// What an applied change affected.
struct discovery_effect
{
    bool deployment_changed = false;
    bool routers_changed = false;
    bool order_ignored = false; ///< An order is malformed or not in force.
    std::string log_text;       ///< Empty: nothing to log.
};

/// Records that the store does not answer.
void record_store_unavailable(discovery& state);

/// Records that the store answers again, and extends deferred removals.
void record_store_available(discovery& state, time_point at);

/// Records that the store came back from an older copy: changes are missing
/// until they are written again, and revisions are given out again. The records
/// are to be listed next. What the copy lacks is kept for `recovery_grace`;
/// entries of runs of servers that have ended, and lower versions of the rules,
/// are ignored.
void record_store_restored(discovery& state, time_point at);

/// Checks whether the removals among changes that arrived together are a mass
/// expiry. To be called before these changes are applied.
void detect_mass_expiry(discovery& state,
                        std::vector<record_change> const& changes);

/// Applies a change unless it is older than the last change of its key.
discovery_effect apply_change(discovery& state, record_change const& change,
                              time_point at);

/// Returns the keys that were known and are missing from a complete list.
std::vector<std::string> missing_keys(discovery const& state,
                                      std::set<std::string> const& listed);

/// Records the status that is stored for the order in force of its service.
/// Any other status is ignored.
discovery_effect record_rollout_status(discovery& state,
                                       config::rollout_status const& status);

/// Records that all operators' records up to a revision are applied, and puts
/// the held servers with older entries in use.
discovery_effect record_operators_read(discovery& state, revision read_to,
                                       time_point at);

/// Records that the order of a service is known as of a revision, and puts the
/// held servers with older entries in use.
discovery_effect record_order_read(discovery& state, service_id const& service,
                                   revision read_to, time_point at);

/// Returns the services that have held servers, with the revision of the newest
/// entry of these.
std::map<service_id, revision>
services_with_held_servers(discovery const& state);

/// Returns the number of servers of a service by version.
std::map<std::string, std::size_t>
server_versions(config::deployment const& deployment,
                service_id const& service);

/// Removes the servers that did not register again in time, and returns the
/// domains whose records were not written again. Does neither while the store
/// is unavailable.
discovery_effect apply_due_removals(discovery& state, time_point at);

} // namespace bramleyarch::decisions

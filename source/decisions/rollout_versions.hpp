/// Which versions of a service a request may run at.
#pragma once

#include "common/enum_names.hpp"
#include "common/time.hpp"
#include "config/deployment.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace bramleyarch::decisions
{

/// Whether a request may run at a version.
enum class version_use : std::uint8_t
{
    allowed,
    new_version, ///< As far as the steps of the rollout allow.
    held,        ///< Its order may not have been read yet.
    barred,      ///< No order in force allows it.
};

constexpr auto enum_names(version_use)
{
    using u = version_use;
    using row = enum_name<version_use>;
    return std::array{row{u::allowed, "allowed"},
                      row{u::new_version, "new_version"}, row{u::held, "held"},
                      row{u::barred, "barred"}};
}

/// An unfamiliar version, which may belong to an order that was not read yet.
struct held_version
{
    revision entry = 0; ///< Of the first server entry with the version.
    time_point seen_at{};
};

struct service_versions_options
{
    /// An unfamiliar version is held for this time at most. The order is
    /// written before its servers start, so it is late only by the delay
    /// between two reads from the store.
    duration max_hold = std::chrono::seconds{2};
};

/// What a router knows of the versions of one service.
struct service_versions
{
    service_versions_options options;
    std::set<std::string> familiar;
    std::map<std::string, held_version> held;
    /// New versions of orders that were withdrawn or replaced before they
    /// succeeded.
    std::set<std::string> barred;
    std::optional<config::rollout_order> order;
    std::optional<config::rollout_status> status;
};

/// Returns the state of the order in force, running if no status belongs to
/// it.
config::rollout_state state_of_order(service_versions const& versions);

/// Returns whether the known status belongs to the order in force.
bool is_status_of_order(service_versions const& versions);

/// Replaces the order in force, or removes it. The version of an order that
/// ends without success is barred until an order names it again.
void apply_order(service_versions& versions,
                 std::optional<config::rollout_order> const& order);

/// Applies a status as the store holds it. A final state of an order never
/// changes, and a status of an older order replaces none of a newer one.
void apply_status(service_versions& versions,
                  config::rollout_status const& status);

/// Records a server entry. `is_first` says that it belongs to the first
/// deployment that this router has read, which includes the orders.
void note_version(service_versions& versions, std::string const& version,
                  revision entry, bool is_first, time_point at);

/// Ends the hold of versions whose entries are not newer than
/// `records_revision`, the revision up to which the operators' records are
/// known, and of those that were held for the longest time.
void release_held_versions(service_versions& versions,
                           revision records_revision, time_point at);

/// Returns whether a request may run at `version`.
version_use allows_version(service_versions const& versions,
                           std::string const& version);

} // namespace bramleyarch::decisions

/// Adoption of configuration documents: checks a document, brings it into force
/// and sends it to the other services.
#pragma once

#include "common/counters.hpp"
#include "decisions/config_distribution.hpp"
#include "kernel/registry.hpp"
#include "services/messages/backend.hpp"
#include "services/messages/claims.hpp"
#include "services/messages/front.hpp"
#include "services/messages/link.hpp"
#include "services/messages/members.hpp"
#include "services/messages/owner.hpp"
#include "services/messages/routing.hpp"
#include "services/messages/timeline.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace bramleyarch::services
{

/// Addresses of the services that receive each adopted configuration.
struct config_receivers
{
    kernel::address<front_message> front;
    kernel::address<admin_message> admin;
    kernel::address<routing_message> routing;
    kernel::address<owner_message> owner;
    kernel::address<backend_message> backend;
    kernel::address<link_message> link;
    kernel::address<members_message> members;
    kernel::address<claims_message> claims;
};

/// Result of offering a document for adoption.
enum class offer_result : std::uint8_t
{
    adopted,
    ignored, ///< The version is not above the one in force.
    faulty,  ///< The document is not valid JSON or failed a check.
};

/// The configuration in force and where its changes are reported.
struct adoption_state
{
    config_snapshot in_force; ///< Null until a document is adopted.
    /// Version and digest of `in_force`.
    std::optional<decisions::config_identity> identity;
    std::string sealed; ///< Text of `in_force` with its digest, for peers.
    /// Cause of the last report since the last adoption. A report with the same
    /// cause is not repeated.
    std::string last_ignored_cause;
    counter_set counters;
    config_receivers receivers;
    kernel::address<timeline_message> timeline;
    kernel::address<metrics_message> metrics;
};

/// Looks up the receivers and the timeline and metrics services by name.
void find_receivers(adoption_state& state, kernel::registry const& names);

/// Checks the JSON text of a document and adopts it if its version is above the
/// one in force. `source` names its origin in reports. If
/// `unversioned_is_first` is set, a document without a version counts as
/// version 1.
offer_result offer_document(adoption_state& state, std::string_view json,
                            std::string_view source,
                            bool unversioned_is_first = false);

/// Counts a document, or an attempt to read one, that was ignored. Unless the
/// cause is the same as that of the last report, also records a timeline event
/// and writes a log line. `version` is 0 if it is not known.
void report_ignored(adoption_state& state, revision version,
                    std::string const& cause);

/// Returns the version in force, or 0 if no document has been adopted.
revision version_in_force(adoption_state const& state);

} // namespace bramleyarch::services

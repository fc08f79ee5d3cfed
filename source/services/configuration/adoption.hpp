/// Checks documents, brings them into force and tells the other services.
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

/// Services that work with the configuration.
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

/// What became of a document.
enum class offer_result : std::uint8_t
{
    adopted,
    ignored, ///< Not newer than the one in force.
    faulty,
};

struct adoption_state
{
    config_snapshot in_force; ///< Null: none yet.
    std::optional<decisions::config_identity> stamp;
    std::string sealed;  ///< `in_force` as it is handed to peers.
    std::string ignored; ///< Text of the last report; not repeated.
    counter_set counters;
    config_receivers receivers;
    kernel::address<timeline_message> timeline;
    kernel::address<metrics_message> metrics;
};

/// Looks up the receivers.
void find_receivers(adoption_state& state, kernel::registry const& names);

/// Checks the JSON text of a document and brings it into force if it is newer.
/// `source` names where it came from in reports.
offer_result offer_document(adoption_state& state, std::string_view json,
                            std::string_view source,
                            bool unversioned_is_first = false);

/// Reports once, as event, counter and log line, that something is not
/// believed.
void report_ignored(adoption_state& state, revision version,
                    std::string const& cause);

/// Version in force; 0: none.
revision version_in_force(adoption_state const& state);

} // namespace bramleyarch::services

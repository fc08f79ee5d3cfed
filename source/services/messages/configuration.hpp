/// Messages of the configuration service.
#pragma once

#include "services/messages/platform.hpp"
#include "services/messages/shared.hpp"

#include <string>
#include <variant>
#include <vector>

namespace bramleyarch::services
{

/// A configuration document arrived from the platform, a file or a peer.
struct document_received
{
    /// JSON text. A document from a peer has the form that `config::seal`
    /// makes.
    std::string json;
    router_id from; ///< Empty for the platform or a file.
};

/// A peer requested the document in force, if it is newer than `newer_than`.
struct config_requested
{
    router_id requester;
    revision newer_than = 0;
};

/// A peer advertised the version that it holds.
struct peer_version_advertised
{
    router_id peer;
    revision version = 0;
};

/// Reply of the platform service to a conditional read of the document.
struct document_read_reply
{
    result<kv_transaction_reply> reply = fail(error_kind::platform_timeout, "");
};

/// The watch of the document's key reported a changed entry.
struct document_entry_changed
{
    kv_entry entry;
};

/// Delivered by the configuration service's own timers.
struct configuration_tick
{
};

using configuration_message =
    std::variant<document_received, config_requested, peer_version_advertised,
                 members_changed, drain_started, status_query,
                 configuration_tick, document_read_reply,
                 document_entry_changed>;

} // namespace bramleyarch::services

/// Names under which the services of a router find each other.
#pragma once

#include "common/enum_names.hpp"

namespace bramleyarch::services
{

enum class service_name
{
    front,         ///< HTTP server for callers.
    admin,         ///< HTTP server for operators: health, metrics, status.
    routing,       ///< Routes every request that this router received.
    owner,         ///< Admission to the backend servers owned by this router.
    backend,       ///< HTTP client to backend servers.
    link,          ///< TCP links to other routers.
    members,       ///< Membership: heartbeats and the list of routers.
    configuration, ///< Adopts configuration documents, sends them to peers.
    claims,        ///< At-most-once claims in the key-value service.
    platform,      ///< Client of the platform's key-value service.
    timeline,      ///< Ring of events.
    metrics,       ///< Counters of all services.
    log,           ///< Structured log lines on standard output.
    store,         ///< Client of the store that lists servers and rules.
    peers,         ///< Heartbeats of routers that admit requests themselves.
    lifecycle,     ///< Graceful stop, reload of the settings.
};

constexpr auto enum_names(service_name)
{
    using n = service_name;
    using row = enum_name<service_name>;
    return std::array{
        row{n::front, "front"},       row{n::admin, "admin"},
        row{n::routing, "routing"},   row{n::owner, "owner"},
        row{n::backend, "backend"},   row{n::link, "link"},
        row{n::members, "members"},   row{n::configuration, "configuration"},
        row{n::claims, "claims"},     row{n::platform, "platform"},
        row{n::timeline, "timeline"}, row{n::metrics, "metrics"},
        row{n::log, "log"},           row{n::store, "store"},
        row{n::peers, "peers"},       row{n::lifecycle, "lifecycle"},
    };
}

} // namespace bramleyarch::services

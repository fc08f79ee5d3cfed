/// Messages of the link service, which holds the TCP links to other routers.
#pragma once

#include "services/messages/owner.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace bramleyarch::services
{

/// Sends an owner request to another router.
struct send_owner_request
{
    router_id to;
    owner_request request;
};

/// Sends an owner reply to another router.
struct send_owner_reply
{
    router_id to;
    owner_reply reply;
};

/// Requests the configuration of a peer, if it is newer than `newer_than`.
struct fetch_config
{
    router_id from;
    revision newer_than = 0;
};

/// Sends a configuration document to a peer that requested it.
struct send_config
{
    router_id to;
    std::string json;
};

/// Delivered by the link service's own timers.
struct link_tick
{
};

/// The link service answers `idle_query` with true once it has written
/// everything that it was asked to send.
using link_message =
    std::variant<send_owner_request, send_owner_reply, fetch_config,
                 config_changed, members_changed, drain_started, status_query,
                 idle_query, link_tick, send_config>;

} // namespace bramleyarch::services

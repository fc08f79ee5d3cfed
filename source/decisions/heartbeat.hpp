/// Content of a heartbeat: what one router reports to another about the fleet.
///
/// Routers, servers and teams are identified by 32 bits of the hash of their
/// name. A router is identified by 32 bits of its incarnation as well, so two
/// routers are confused only if 64 bits are equal.
#pragma once

#include "common/digest.hpp"
#include "common/enum_names.hpp"
#include "common/ids.hpp"
#include "common/member.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace bramleyarch::decisions
{

/// Low 32 bits of the hash of a name.
constexpr std::uint32_t short_hash(std::string_view name)
{
    return static_cast<std::uint32_t>(name_hash(name));
}

/// Short form of a router at one incarnation.
struct router_ref
{
    std::uint32_t name = 0;    ///< Short hash of the router's id.
    std::uint32_t started = 0; ///< Low 32 bits of the incarnation.

    auto operator<=>(router_ref const&) const = default;
};

inline router_ref make_router_ref(router_id const& id, incarnation started)
{
    return {.name = short_hash(id.value),
            .started = static_cast<std::uint32_t>(started)};
}

enum class heartbeat_kind : std::uint8_t
{
    ping,
    ack,   ///< Replies to a ping.
    relay, ///< Forwards evidence to the router that asked for a probe.
};

constexpr auto enum_names(heartbeat_kind)
{
    return std::array{
        enum_name<heartbeat_kind>{heartbeat_kind::ping, "ping"},
        enum_name<heartbeat_kind>{heartbeat_kind::ack, "ack"},
        enum_name<heartbeat_kind>{heartbeat_kind::relay, "relay"},
    };
}

/// Unit of the ages in a heartbeat.
constexpr duration age_step = std::chrono::milliseconds{100};

/// Full record of a router, with the endpoints at which it can be reached.
struct full_member_update
{
    member info;
    std::uint64_t sequence = 0;  ///< Of the router's newest known heartbeat.
    std::uint32_t age_steps = 0; ///< Age of that heartbeat.
};

/// Newest evidence of a router whose full record the receiver has.
struct compact_member_update
{
    router_ref router;
    member_state state = member_state::live;
    std::uint64_t sequence = 0;  ///< Of the router's newest known heartbeat.
    std::uint32_t age_steps = 0; ///< Age of that heartbeat.
    revision config = 0;         ///< Highest version that the router has.
};

/// Load of one backend server.
struct compact_load
{
    std::uint32_t server = 0; ///< Short hash of the server's id.
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0; ///< Maximum that the owner admits.
    bool cold = false;
    bool usable = true; ///< False: breaker open, or dead.
};

/// Loads of the servers of one owner, as counted by that owner.
struct load_update
{
    router_ref owner;
    /// Increases with each update of the owner within one start.
    std::uint64_t sequence = 0;
    std::uint32_t age_steps = 0; ///< Time since the owner counted.
    std::vector<compact_load> loads;
};

/// Rate of the requests of one team.
struct compact_demand
{
    std::uint32_t team = 0;       ///< Short hash of the team's id.
    std::uint32_t rate_milli = 0; ///< Thousandths of a request per second.
};

/// A request body that is suspected of crashing backend servers, or is
/// quarantined for it.
struct compact_quarantine
{
    std::uint64_t body_fingerprint = 0;
    std::uint32_t server = 0; ///< Short hash of the server's id; 0: none.
    bool quarantined = false; ///< False: suspect only.
    std::uint32_t ttl_ms = 0; ///< Remaining time to live.
};

struct heartbeat
{
    heartbeat_kind kind = heartbeat_kind::ping;
    full_member_update sender;
    std::vector<full_member_update> joined;
    std::vector<compact_member_update> members;
    std::vector<load_update> loads;
    std::vector<compact_demand> demand; ///< Seen by the sender itself.
    std::vector<compact_quarantine> quarantine;
    /// Routers that the receiver is asked to ping.
    std::vector<router_ref> probe_requests;
};

/// Time from `since` to `now` in steps of `age_step`, rounded up.
constexpr std::uint32_t age_in_steps(time_point since, time_point now)
{
    auto const age = now > since ? now - since : duration::zero();
    return static_cast<std::uint32_t>((age + age_step - duration{1}) /
                                      age_step);
}

} // namespace bramleyarch::decisions

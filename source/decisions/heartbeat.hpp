/// Content of a heartbeat: what one router tells another about the fleet.
///
/// Routers, servers and teams are named by 32 bits of the hash of their name.
/// A router is known by that and 32 bits of its incarnation, so a mistaken
/// match takes 64 equal bits.
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

/// Short form of a name.
constexpr std::uint32_t short_hash(std::string_view name)
{
    return static_cast<std::uint32_t>(name_hash(name));
}

/// Short form of a router at one incarnation.
struct router_ref
{
    std::uint32_t name = 0;
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
    ack,   ///< Answers a ping.
    relay, ///< Passes on evidence that was asked for; not answered.
};

constexpr auto enum_names(heartbeat_kind)
{
    return std::array{
        enum_name<heartbeat_kind>{heartbeat_kind::ping, "ping"},
        enum_name<heartbeat_kind>{heartbeat_kind::ack, "ack"},
        enum_name<heartbeat_kind>{heartbeat_kind::relay, "relay"},
    };
}

/// Ages travel in steps of this, rounded up.
constexpr duration age_step = std::chrono::milliseconds{100};

/// A router with all that is needed to talk to it.
struct full_member_update
{
    member info;
    std::uint64_t sequence = 0;  ///< Number of its newest heartbeat heard of.
    std::uint32_t age_steps = 0; ///< Since it was heard, in steps.
};

/// Newest evidence of a router that the receiver knows already.
struct compact_member_update
{
    router_ref router;
    member_state state = member_state::live;
    std::uint64_t sequence = 0;
    std::uint32_t age_steps = 0; ///< Since it was heard, in steps.
    revision config = 0;
};

struct compact_load
{
    std::uint32_t server = 0; ///< Short hash.
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0;
    bool cold = false;
    bool usable = true;
};

/// Loads of the servers of one owner, as that owner counted them.
struct load_update
{
    router_ref owner;
    std::uint64_t sequence = 0;  ///< Of the owner; the higher is the newer.
    std::uint32_t age_steps = 0; ///< Since the owner counted, in steps.
    std::vector<compact_load> loads;
};

struct compact_demand
{
    std::uint32_t team = 0; ///< Short hash.
    std::uint32_t rate_milli = 0;
};

struct compact_quarantine
{
    std::uint64_t body_fingerprint = 0;
    std::uint32_t server = 0; ///< Short hash; 0: none.
    bool quarantined = false;
    std::uint32_t ttl_ms = 0; ///< Left.
};

struct heartbeat
{
    heartbeat_kind kind = heartbeat_kind::ping;
    full_member_update sender;
    std::vector<full_member_update> joined;
    std::vector<compact_member_update> members;
    std::vector<load_update> loads;
    std::vector<compact_demand> demand; ///< Of the sender itself.
    std::vector<compact_quarantine> quarantine;
    std::vector<router_ref>
        probe_requests; ///< Routers that the receiver is to ping.
};

/// Age in steps, rounded up.
constexpr std::uint32_t age_in_steps(time_point since, time_point now)
{
    auto const age = now > since ? now - since : duration::zero();
    return static_cast<std::uint32_t>((age + age_step - duration{1}) /
                                      age_step);
}

} // namespace bramleyarch::decisions

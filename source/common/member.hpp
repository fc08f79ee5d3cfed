/// Routers of the fleet as one router sees them, and what they tell each
/// other about load and demand.
#pragma once

#include "common/enum_names.hpp"
#include "common/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleyarch
{

enum class member_state : std::uint8_t
{
    live,
    suspect, ///< Not heard from; still counted until gone.
    leaving, ///< Draining; owns nothing. Never undone within an incarnation.
    gone,
    joining, ///< Has started and does not know its peers yet; owns nothing.
};

constexpr auto enum_names(member_state)
{
    return std::array{
        enum_name<member_state>{member_state::live, "live"},
        enum_name<member_state>{member_state::suspect, "suspect"},
        enum_name<member_state>{member_state::leaving, "leaving"},
        enum_name<member_state>{member_state::gone, "gone"},
        enum_name<member_state>{member_state::joining, "joining"},
    };
}

/// One router as this router sees it.
struct member
{
    router_id id;
    domain_id domain;
    incarnation started = 0;
    member_state state = member_state::live;
    endpoint link;       ///< TCP, fleet link.
    endpoint heartbeat;  ///< UDP.
    endpoint admin;      ///< HTTP, for operators.
    revision config = 0; ///< Highest version that it is known to have.
};

/// All known routers, this one included, ordered by id.
struct member_view
{
    router_id self;
    domain_id self_domain;
    incarnation self_incarnation = 0;
    std::vector<member> members;
    /// Domains whose own routers have all left, or have all been gone for
    /// the stated time: their backend servers are owned by other domains.
    std::vector<domain_id> abandoned;
};

/// Load of one backend server as its owner counts it.
struct server_load
{
    server_id server;
    std::uint32_t in_flight = 0; ///< Requests admitted and not finished.
    std::uint32_t queued = 0;
    std::uint32_t limit = 0; ///< Most that the owner admits now.
    bool cold = false;
    bool usable = true; ///< False: breaker open, or dead.
};

/// Requests per second that one router saw from one team.
struct team_demand
{
    team_id team;
    std::uint32_t rate_milli = 0; ///< Thousandths of a request per second.
};

} // namespace bramleyarch

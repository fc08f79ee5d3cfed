/// Assignment of backend servers to the routers that own them.
///
/// Uses rendezvous hashing with a cap: each backend server is owned by the
/// router of its own failure domain with the highest weight, unless that
/// router already owns as many servers with higher weights as the cap allows.
/// The result depends only on the configuration and the member view, so
/// routers with the same configuration and view compute the same owners.
#pragma once

#include "common/ids.hpp"
#include "common/member.hpp"
#include "config/model.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace bramleyarch::decisions
{

struct ownership_options
{
    /// Maximum number of servers of a domain that one router owns, in percent
    /// of the mean over the routers of the domain.
    std::uint32_t cap_percent = 125;
};

/// Owner of each backend server; servers without an owner are absent.
struct ownership
{
    std::unordered_map<server_id, router_id> owners;
};

/// True if a router in this state may own backend servers.
constexpr bool may_own(member_state state)
{
    return state == member_state::live || state == member_state::suspect;
}

/// Assigns the servers of `config` to routers. Servers of a domain without a
/// router that may own them are assigned to routers of other domains if the
/// view lists the domain as abandoned: to those of the same region if there
/// are any, else to all. Otherwise these servers have no owner.
ownership assign_owners(config::document const& config, member_view const& view,
                        ownership_options const& options = {});

/// Returns the owner of `server`, or std::nullopt if it has none.
std::optional<router_id> owner_of(ownership const& assigned,
                                  server_id const& server);

} // namespace bramleyarch::decisions

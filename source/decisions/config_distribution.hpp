/// Distribution of the configuration to all routers: which routers watch the
/// platform, which documents are adopted, and from which peer a newer document
/// is fetched.
#pragma once

#include "common/enum_names.hpp"
#include "common/ids.hpp"
#include "common/member.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bramleyarch::decisions
{

/// Version and digest of a document.
struct config_identity
{
    revision version = 0;
    std::string digest;

    bool operator==(config_identity const&) const = default;
};

enum class adoption : std::uint8_t
{
    adopt,
    ignore_same,
    ignore_older,
    /// Same version, other content: routers that adopted it would differ from
    /// those that have the first document of that version.
    ignore_conflict,
};

constexpr auto enum_names(adoption)
{
    using a = adoption;
    using row = enum_name<adoption>;
    return std::array{
        row{a::adopt, "adopt"},
        row{a::ignore_same, "ignore_same"},
        row{a::ignore_older, "ignore_older"},
        row{a::ignore_conflict, "ignore_conflict"},
    };
}

/// Decides whether a document that passed its checks is adopted. Only a
/// version above the one in force is.
adoption decide_adoption(std::optional<config_identity> const& in_force,
                         config_identity const& offered);

/// Number of routers in each failure domain that watch the platform.
constexpr std::size_t watchers_per_domain = 2;

/// True if this router has one of the `count` highest rendezvous weights among
/// the routers of its failure domain that may watch the platform.
bool is_watcher(member_view const& view,
                std::size_t count = watchers_per_domain);

/// A router from which the configuration can be fetched.
struct config_peer
{
    revision version = 0;           ///< Highest version that it advertised.
    std::uint64_t last_request = 0; ///< Number of the last request; 0: none.
};

struct config_fetch_options
{
    /// Time without a reply after which another peer is asked.
    duration timeout = std::chrono::seconds{1};
};

/// State of fetching from peers. At most one request is open.
struct config_fetch_state
{
    config_fetch_options options;
    router_id self;
    std::map<router_id, config_peer> peers;
    std::optional<time_point> requested_at; ///< Set while a request is open.
    std::uint64_t requests = 0;             ///< Number of requests so far.
};

/// Records that `peer` has a version. A lower one than recorded before has no
/// effect, since messages may arrive out of order.
void record_peer_version(config_fetch_state& fetch, router_id const& peer,
                         revision version);

/// Removes the peers that are gone in `view` or absent from it, and records the
/// versions of the others.
void update_peers(config_fetch_state& fetch, member_view const& view);

/// Closes the open request, which was answered.
void finish_request(config_fetch_state& fetch);

/// Selects the peer to ask for a version above `in_force` and opens a request
/// to it. Of the peers that have such a version, selects the one that was asked
/// least recently; among equals, the one with the highest rendezvous weight for
/// this router, so that the routers ask different peers. Returns std::nullopt
/// if no peer has such a version, or while a request is open that has not timed
/// out.
std::optional<router_id> select_peer(config_fetch_state& fetch,
                                     revision in_force, time_point at);

} // namespace bramleyarch::decisions

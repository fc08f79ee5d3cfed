/// How a configuration reaches every router: who watches the platform, what
/// is adopted, and which peer is asked.
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

/// A document by its version and its digest.
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
    ignore_conflict, ///< Same version, other content: never two truths.
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

/// Whether a document that passed its checks comes into force. Versions only
/// rise.
adoption decide_adoption(std::optional<config_identity> const& in_force,
                         config_identity const& offered);

/// Watchers of the platform in each failure domain.
constexpr std::size_t watchers_per_domain = 2;

/// Whether this router is among the first `count` of its failure domain by
/// rendezvous weight over the routers that may watch.
bool is_watcher(member_view const& view,
                std::size_t count = watchers_per_domain);

/// What is known of a peer's configuration.
struct config_peer
{
    revision version = 0;
    std::uint64_t asked = 0; ///< Number of the last request to it; 0: none.
};

struct config_fetch_options
{
    duration timeout = std::chrono::seconds{1}; ///< Before another is asked.
};

/// State of fetching from peers. At most one request is open.
struct config_fetch_state
{
    config_fetch_options options;
    router_id self;
    std::map<router_id, config_peer> peers;
    std::optional<time_point> asked_at;
    std::uint64_t requests = 0;
};

/// Notes a version that `peer` holds; lower ones than known are late news.
void record_peer_version(config_fetch_state& fetch, router_id const& peer,
                         revision version);

/// Forgets peers that are not in `view` or are gone there, and notes the
/// versions of the others.
void update_peers(config_fetch_state& fetch, member_view const& view);

/// The open request was answered.
void finish_request(config_fetch_state& fetch);

/// The peer to ask now for a version above `in_force`: of those that hold one,
/// the one asked longest ago, spread over peers by the weight of this router.
/// Nothing while a request is open and its time has not passed.
std::optional<router_id> select_peer(config_fetch_state& fetch,
                                     revision in_force, time_point at);

} // namespace bramleyarch::decisions

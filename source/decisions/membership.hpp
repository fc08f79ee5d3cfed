/// Which routers are members, as one router sees it.
///
/// A member is known by the newest evidence of it: the sequence number of its
/// heartbeats and the time at which anyone is known to have heard it. A probe
/// that failed, here or elsewhere, makes it suspect unless that evidence is
/// fresh; a suspect that nobody hears becomes gone. Newer evidence undoes
/// both. Leaving is never undone within an incarnation; a router that joins is
/// live once it says so.
#pragma once

#include "common/ids.hpp"
#include "common/member.hpp"
#include "common/time.hpp"
#include "config/model.hpp"
#include "decisions/heartbeat.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace bramleyarch::decisions
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

struct membership_options
{
    /// Evidence younger than this outweighs a failed probe.
    duration suspect_after = milliseconds{800};
    /// From suspect to gone.
    duration gone_after = seconds{2};
    /// From gone to the service of a domain by routers of other domains.
    duration abandon_after = seconds{5};
    /// Time for which a gone member is remembered and probed.
    duration gone_retention = minutes{30};
    /// Age at which the platform's list says nothing any more.
    duration list_validity = seconds{30};
};

/// Another router.
struct member_record
{
    member info; ///< Its state is kept by the functions below.
    router_ref ref;
    std::uint64_t sequence = 0;
    time_point last_seen_at{};
    time_point known_since{};  ///< Since when this incarnation is known.
    time_point suspected_at{}; ///< For suspect and gone.
    time_point gone_at{};      ///< For gone.
    bool leaving = false;
    bool joining = false;
};

struct membership
{
    member self;
    time_point started_at{};
    std::map<router_id, member_record> others;
    std::set<domain_id> listed_domains; ///< In the platform's list.
    std::optional<time_point> listed_at;
};

/// What evidence did to the record of a member.
enum class evidence_result : std::uint8_t
{
    stale,        ///< Nothing new.
    fresh,        ///< Newer evidence; the view stays as it is.
    newer_config, ///< The router has adopted a higher version.
    changed,      ///< The router's state changed.
    joined,       ///< A router or an incarnation that was not known.
};

constexpr auto enum_names(evidence_result)
{
    using r = evidence_result;
    return std::array{
        enum_name<evidence_result>{r::stale, "stale"},
        enum_name<evidence_result>{r::fresh, "fresh"},
        enum_name<evidence_result>{r::newer_config, "newer_config"},
        enum_name<evidence_result>{r::changed, "changed"},
        enum_name<evidence_result>{r::joined, "joined"},
    };
}

/// Takes in a full record, from the router itself (age 0) or relayed.
evidence_result merge_evidence(membership& m, full_member_update const& news,
                               time_point now);

/// Takes in brief evidence; of an unknown router it says nothing.
evidence_result merge_evidence(membership& m, compact_member_update const& news,
                               membership_options const& options,
                               time_point now);

/// A probe of `id` failed. True when it became suspect.
bool suspect_member(membership& m, router_id const& id,
                    membership_options const& options, time_point now);

/// Turns suspects into gone members and forgets old ones; true when the view
/// changed.
bool expire_members(membership& m, membership_options const& options,
                    time_point now);

/// True while this router has not heard of its peers.
bool is_joining(membership const& m);

/// This router knows its peers and may own backend servers.
void set_self_live(membership& m);

/// This router leaves.
void set_self_leaving(membership& m);

/// Record of a router named in a heartbeat; null when it is not known.
member_record* find_member(membership& m, router_ref const& router);

/// Domains of `config` that other domains have to serve.
std::vector<domain_id> abandoned_domains(membership const& m,
                                         config::document const& config,
                                         membership_options const& options,
                                         time_point now);

/// All routers, this one included, ordered by id; `config` may be null.
member_view make_member_view(membership const& m,
                             config::document const* config,
                             membership_options const& options, time_point now);

} // namespace bramleyarch::decisions

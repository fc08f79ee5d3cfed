/// Members of the fleet, as seen by one router.
///
/// The evidence of a member is the sequence number of its newest heartbeat and
/// the time at which any router received that heartbeat. A failed probe, by
/// this router or another, makes the member suspect unless its evidence is
/// recent. A suspect without newer evidence becomes gone. Newer evidence makes
/// a suspect or gone member live again. A router that leaves does not become
/// live again within its incarnation. A router that joins becomes live when it
/// reports that state.
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
    /// A failed probe has no effect while the evidence is younger than this.
    duration suspect_after = milliseconds{800};
    /// Time after which a suspect becomes gone.
    duration gone_after = seconds{2};
    /// Time after which a failure domain whose routers are all gone is served
    /// by routers of other domains.
    duration abandon_after = seconds{5};
    /// Time for which the record of a gone member is kept and it is probed.
    duration gone_retention = minutes{30};
    /// Time for which the platform's list of routers is valid.
    duration list_validity = seconds{30};
};

/// Another router.
struct member_record
{
    member info; ///< Its state is computed by the functions below.
    router_ref ref;
    std::uint64_t sequence = 0; ///< Of its newest known heartbeat.
    /// Time at which any router received that heartbeat.
    time_point last_seen_at{};
    /// Time at which this incarnation was first known here.
    time_point known_since{};
    /// Time at which a probe failed. The member is suspected if this is later
    /// than `last_seen_at`.
    time_point suspected_at{};
    time_point gone_at{}; ///< Valid in the state gone.
    bool leaving = false; ///< It reported that it leaves.
    bool joining = false; ///< It has not reported that it is live.
};

struct membership
{
    member self;
    time_point started_at{};
    std::map<router_id, member_record> others;
    /// Failure domains with a router in the platform's list that does not
    /// leave.
    std::set<domain_id> listed_domains;
    /// Time at which the platform's list was received.
    std::optional<time_point> listed_at;
};

/// Effect of evidence on the record of a member.
enum class evidence_result : std::uint8_t
{
    stale,        ///< Not newer than the known evidence, or not usable.
    fresh,        ///< Newer, without an effect on the member view.
    newer_config, ///< The member has adopted a higher version.
    changed,      ///< The state of the member changed.
    joined,       ///< The member or its incarnation was not known before.
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

/// Merges a full record, sent by the router itself (age 0) or by another one.
evidence_result merge_evidence(membership& members,
                               full_member_update const& update,
                               time_point now);

/// Merges compact evidence. It has no effect if the router is not known.
evidence_result merge_evidence(membership& members,
                               compact_member_update const& update,
                               membership_options const& options,
                               time_point now);

/// Suspects a member after a failed probe. A member that leaves or joins keeps
/// its state. Returns false, without an effect, if the member is not known, is
/// suspected or gone already, or has recent evidence.
bool suspect_member(membership& members, router_id const& id,
                    membership_options const& options, time_point now);

/// Makes members gone that have been suspected for `gone_after`, and removes
/// members that have been gone for `gone_retention`. True if the member view
/// changed.
bool expire_members(membership& members, membership_options const& options,
                    time_point now);

/// True if this router has not finished joining: it may not know its peers yet.
bool is_joining(membership const& members);

/// Makes this router live if it is joining, so that it may own backend servers.
void set_self_live(membership& members);

/// Changes the state of this router to leaving.
void set_self_leaving(membership& members);

/// Returns the record of another router, or null if it is not known.
member_record* find_member(membership& members, router_ref const& router);

/// Returns the failure domains of `config` that routers of other domains have
/// to serve.
std::vector<domain_id> abandoned_domains(membership const& members,
                                         config::document const& config,
                                         membership_options const& options,
                                         time_point now);

/// Returns all known routers, including this one, ordered by id. The view has
/// no abandoned domains if `config` is null.
member_view make_member_view(membership const& members,
                             config::document const* config,
                             membership_options const& options, time_point now);

} // namespace bramleyarch::decisions

#include "decisions/membership.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

/// Ages above this (one hour) carry no further information and are treated as
/// this one.
constexpr std::uint32_t max_age_steps = 36'000;

/// Returns the time that was `age_steps` steps of `age_step` before `now`.
time_point time_before(std::uint32_t age_steps, time_point now)
{
    return now - std::min(age_steps, max_age_steps) * age_step;
}

/// Sets the state that follows from the evidence; true if it changed.
bool update_state(member_record& record)
{
    auto& state = record.info.state;
    auto const before = state;
    bool const down =
        state == member_state::suspect || state == member_state::gone;
    if (down && record.last_seen_at > record.suspected_at)
        state = member_state::live;
    bool const up = state == member_state::live ||
                    state == member_state::suspect ||
                    state == member_state::joining;
    if (record.leaving && up)
        state = member_state::leaving;
    else if (record.joining && up)
        state = member_state::joining;
    else if (state == member_state::joining)
        state = member_state::live;
    return state != before;
}

member_record make_record(full_member_update const& update, time_point now)
{
    member_record record{
        .info = update.info,
        .ref = make_router_ref(update.info.id, update.info.started),
        .sequence = update.sequence,
        .last_seen_at = time_before(update.age_steps, now),
        .known_since = now,
        .suspected_at = time_before(update.age_steps, now)};
    record.leaving = update.info.state == member_state::leaving;
    record.joining = update.info.state == member_state::joining;
    return record;
}

/// Updates the record of an incarnation that is already known.
evidence_result update_evidence(member_record& record, std::uint64_t sequence,
                                time_point last_seen_at, member_state reported,
                                revision config)
{
    bool const newer = sequence > record.sequence;
    bool const leaving = reported == member_state::leaving;
    bool const starts_leaving = leaving && !record.leaving;
    if (!newer && !starts_leaving)
        return evidence_result::stale;
    record.leaving = record.leaving || leaving;
    bool const newer_config = newer && config > record.info.config;
    if (newer)
    {
        record.joining = record.joining && reported != member_state::live;
        record.sequence = sequence;
        record.last_seen_at = std::max(record.last_seen_at, last_seen_at);
        record.info.config = std::max(record.info.config, config);
    }
    if (update_state(record) || starts_leaving)
        return evidence_result::changed;
    return newer_config ? evidence_result::newer_config
                        : evidence_result::fresh;
}

bool is_listed(membership const& members, domain_id const& domain,
               membership_options const& options, time_point now)
{
    bool const valid =
        members.listed_at && now - *members.listed_at < options.list_validity;
    return valid && members.listed_domains.contains(domain);
}

/// States of the routers of one failure domain.
struct domain_evidence
{
    bool served = false;  ///< The domain has a live or suspect router.
    bool leaving = false; ///< The domain has a router that leaves.
    /// Time at which the last router became gone, or the start of this router
    /// if that was later.
    time_point gone_at{};
};

domain_evidence collect_evidence(membership const& members,
                                 domain_id const& domain)
{
    domain_evidence found{.gone_at = members.started_at};
    if (members.self.domain == domain)
    {
        found.served = members.self.state == member_state::live;
        found.leaving = members.self.state == member_state::leaving;
    }
    for (auto const& [id, record] : members.others)
    {
        if (record.info.domain != domain)
            continue;
        auto const state = record.info.state;
        found.served = found.served || state == member_state::live ||
                       state == member_state::suspect;
        found.leaving = found.leaving || record.leaving;
        if (state == member_state::gone)
            found.gone_at = std::max(found.gone_at, record.gone_at);
    }
    return found;
}

} // namespace

evidence_result merge_evidence(membership& members,
                               full_member_update const& update, time_point now)
{
    auto const& info = update.info;
    if (info.id == members.self.id || info.state == member_state::gone)
        return evidence_result::stale;
    auto const known = members.others.find(info.id);
    if (known == members.others.end() ||
        known->second.info.started < info.started)
    {
        members.others.insert_or_assign(info.id, make_record(update, now));
        update_state(members.others.at(info.id));
        return evidence_result::joined;
    }
    auto& record = known->second;
    if (record.info.started > info.started)
        return evidence_result::stale;
    return update_evidence(record, update.sequence,
                           time_before(update.age_steps, now), info.state,
                           info.config);
}

evidence_result merge_evidence(membership& members,
                               compact_member_update const& update,
                               membership_options const& options,
                               time_point now)
{
    auto* record = find_member(members, update.router);
    if (!record)
        return evidence_result::stale;
    auto const result = update_evidence(*record, update.sequence,
                                        time_before(update.age_steps, now),
                                        update.state, update.config);
    bool const suspected = update.state == member_state::suspect ||
                           update.state == member_state::gone;
    if (suspected && suspect_member(members, record->info.id, options, now))
        return evidence_result::changed;
    return result;
}

bool suspect_member(membership& members, router_id const& id,
                    membership_options const& options, time_point now)
{
    auto const found = members.others.find(id);
    if (found == members.others.end())
        return false;
    auto& record = found->second;
    bool const down = record.info.state == member_state::suspect ||
                      record.info.state == member_state::gone;
    bool const suspected = record.suspected_at > record.last_seen_at;
    if (down || suspected || now - record.last_seen_at < options.suspect_after)
        return false;
    record.suspected_at = now;
    if (!record.leaving && !record.joining)
        record.info.state = member_state::suspect;
    return true;
}

bool expire_members(membership& members, membership_options const& options,
                    time_point now)
{
    bool changed = false;
    for (auto& [id, record] : members.others)
    {
        bool const suspected = record.suspected_at > record.last_seen_at ||
                               record.info.state == member_state::suspect;
        bool const due = now - record.suspected_at >= options.gone_after;
        if (!suspected || !due || record.info.state == member_state::gone)
            continue;
        record.info.state = member_state::gone;
        record.gone_at = now;
        changed = true;
    }
    auto const removed =
        std::erase_if(members.others,
                      [&](auto const& entry)
                      {
                          auto const& record = entry.second;
                          return record.info.state == member_state::gone &&
                                 now - record.gone_at > options.gone_retention;
                      });
    return changed || removed > 0;
}

bool is_joining(membership const& members)
{
    return members.self.state == member_state::joining;
}

void set_self_live(membership& members)
{
    if (is_joining(members))
        members.self.state = member_state::live;
}

void set_self_leaving(membership& members)
{
    members.self.state = member_state::leaving;
}

member_record* find_member(membership& members, router_ref const& router)
{
    for (auto& [id, record] : members.others)
    {
        if (record.ref == router)
            return &record;
    }
    return nullptr;
}

std::vector<domain_id> abandoned_domains(membership const& members,
                                         config::document const& config,
                                         membership_options const& options,
                                         time_point now)
{
    std::vector<domain_id> abandoned;
    for (auto const& domain : config.domains)
    {
        auto const found = collect_evidence(members, domain.id);
        if (found.served)
            continue;
        bool const waited = now - found.gone_at >= options.abandon_after;
        bool const listed = is_listed(members, domain.id, options, now);
        if (found.leaving || (waited && !listed))
            abandoned.push_back(domain.id);
    }
    return abandoned;
}

member_view make_member_view(membership const& members,
                             config::document const* config,
                             membership_options const& options, time_point now)
{
    member_view view{.self = members.self.id,
                     .self_domain = members.self.domain,
                     .self_incarnation = members.self.started};
    view.members.push_back(members.self);
    for (auto const& [id, record] : members.others)
        view.members.push_back(record.info);
    std::ranges::sort(view.members, {}, &member::id);
    if (config)
        view.abandoned = abandoned_domains(members, *config, options, now);
    return view;
}

} // namespace bramleyarch::decisions

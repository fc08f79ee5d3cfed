#include "decisions/membership.hpp"

#include <algorithm>

namespace bramleyarch::decisions
{

namespace
{

/// Ages beyond this say nothing more.
constexpr std::uint32_t max_age_steps = 36'000;

time_point time_of(std::uint32_t age, time_point now)
{
    return now - std::min(age, max_age_steps) * age_step;
}

/// State that the evidence supports; true when it changed.
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

member_record make_record(full_member_update const& news, time_point now)
{
    member_record record{.info = news.info,
                         .ref =
                             make_router_ref(news.info.id, news.info.started),
                         .sequence = news.sequence,
                         .last_seen_at = time_of(news.age_steps, now),
                         .known_since = now,
                         .suspected_at = time_of(news.age_steps, now)};
    record.leaving = news.info.state == member_state::leaving;
    record.joining = news.info.state == member_state::joining;
    return record;
}

/// Evidence of the incarnation that is known already.
evidence_result renew(member_record& record, std::uint64_t sequence,
                      time_point last_seen_at, member_state said,
                      revision config)
{
    bool const newer = sequence > record.sequence;
    bool const leaving = said == member_state::leaving;
    bool const starts_leaving = leaving && !record.leaving;
    if (!newer && !starts_leaving)
        return evidence_result::stale;
    record.leaving = record.leaving || leaving;
    bool const newer_config = newer && config > record.info.config;
    if (newer)
    {
        record.joining = record.joining && said != member_state::live;
        record.sequence = sequence;
        record.last_seen_at = std::max(record.last_seen_at, last_seen_at);
        record.info.config = std::max(record.info.config, config);
    }
    if (update_state(record) || starts_leaving)
        return evidence_result::changed;
    return newer_config ? evidence_result::newer_config
                        : evidence_result::fresh;
}

bool is_listed(membership const& m, domain_id const& domain,
               membership_options const& options, time_point now)
{
    bool const valid =
        m.listed_at && now - *m.listed_at < options.list_validity;
    return valid && m.listed_domains.contains(domain);
}

/// Evidence about the routers of one domain.
struct domain_evidence
{
    bool served = false;  ///< A live or suspect router, or this one.
    bool leaving = false; ///< A router that leaves in good order.
    time_point gone_at{}; ///< When the last one was gone.
};

domain_evidence evidence_of(membership const& m, domain_id const& domain)
{
    domain_evidence found{.gone_at = m.started_at};
    if (m.self.domain == domain)
    {
        found.served = m.self.state == member_state::live;
        found.leaving = m.self.state == member_state::leaving;
    }
    for (auto const& [id, record] : m.others)
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

evidence_result merge_evidence(membership& m, full_member_update const& news,
                               time_point now)
{
    auto const& info = news.info;
    if (info.id == m.self.id || info.state == member_state::gone)
        return evidence_result::stale;
    auto const known = m.others.find(info.id);
    if (known == m.others.end() || known->second.info.started < info.started)
    {
        m.others.insert_or_assign(info.id, make_record(news, now));
        update_state(m.others.at(info.id));
        return evidence_result::joined;
    }
    auto& record = known->second;
    if (record.info.started > info.started)
        return evidence_result::stale;
    return renew(record, news.sequence, time_of(news.age_steps, now),
                 info.state, info.config);
}

evidence_result merge_evidence(membership& m, compact_member_update const& news,
                               membership_options const& options,
                               time_point now)
{
    auto* record = find_member(m, news.router);
    if (!record)
        return evidence_result::stale;
    auto const taken =
        renew(*record, news.sequence, time_of(news.age_steps, now), news.state,
              news.config);
    bool const doubted =
        news.state == member_state::suspect || news.state == member_state::gone;
    if (doubted && suspect_member(m, record->info.id, options, now))
        return evidence_result::changed;
    return taken;
}

bool suspect_member(membership& m, router_id const& id,
                    membership_options const& options, time_point now)
{
    auto const found = m.others.find(id);
    if (found == m.others.end())
        return false;
    auto& record = found->second;
    bool const down = record.info.state == member_state::suspect ||
                      record.info.state == member_state::gone;
    bool const doubted = record.suspected_at > record.last_seen_at;
    if (down || doubted || now - record.last_seen_at < options.suspect_after)
        return false;
    record.suspected_at = now;
    if (!record.leaving && !record.joining)
        record.info.state = member_state::suspect;
    return true;
}

bool expire_members(membership& m, membership_options const& options,
                    time_point now)
{
    bool changed = false;
    for (auto& [id, record] : m.others)
    {
        bool const doubted = record.suspected_at > record.last_seen_at ||
                             record.info.state == member_state::suspect;
        bool const due = now - record.suspected_at >= options.gone_after;
        if (!doubted || !due || record.info.state == member_state::gone)
            continue;
        record.info.state = member_state::gone;
        record.gone_at = now;
        changed = true;
    }
    auto const forgotten =
        std::erase_if(m.others,
                      [&](auto const& entry)
                      {
                          auto const& record = entry.second;
                          return record.info.state == member_state::gone &&
                                 now - record.gone_at > options.gone_retention;
                      });
    return changed || forgotten > 0;
}

bool is_joining(membership const& m)
{
    return m.self.state == member_state::joining;
}

void set_self_live(membership& m)
{
    if (is_joining(m))
        m.self.state = member_state::live;
}

void set_self_leaving(membership& m)
{
    m.self.state = member_state::leaving;
}

member_record* find_member(membership& m, router_ref const& router)
{
    for (auto& [id, record] : m.others)
    {
        if (record.ref == router)
            return &record;
    }
    return nullptr;
}

std::vector<domain_id> abandoned_domains(membership const& m,
                                         config::document const& config,
                                         membership_options const& options,
                                         time_point now)
{
    std::vector<domain_id> abandoned;
    for (auto const& domain : config.domains)
    {
        auto const found = evidence_of(m, domain.id);
        if (found.served)
            continue;
        bool const waited = now - found.gone_at >= options.abandon_after;
        bool const listed = is_listed(m, domain.id, options, now);
        if (found.leaving || (waited && !listed))
            abandoned.push_back(domain.id);
    }
    return abandoned;
}

member_view make_member_view(membership const& m,
                             config::document const* config,
                             membership_options const& options, time_point now)
{
    member_view view{.self = m.self.id,
                     .self_domain = m.self.domain,
                     .self_incarnation = m.self.started};
    view.members.push_back(m.self);
    for (auto const& [id, record] : m.others)
        view.members.push_back(record.info);
    std::ranges::sort(view.members, {}, &member::id);
    if (config)
        view.abandoned = abandoned_domains(m, *config, options, now);
    return view;
}

} // namespace bramleyarch::decisions

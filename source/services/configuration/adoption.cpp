#include "services/configuration/adoption.hpp"

#include "common/digest.hpp"
#include "config/checks.hpp"
#include "config/document_json.hpp"
#include "config/sealed_document.hpp"
#include "services/messages/names.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <utility>

namespace bramleyarch::services
{

namespace
{

/// Most faults that one report names; `bramleyctl check` names all.
constexpr std::size_t max_reported_faults = 5;

void record(adoption_state& state, event_kind kind, revision version,
            std::string cause)
{
    send(state.timeline,
         record_event{
             {.kind = kind, .config = version, .cause = std::move(cause)}});
}

config::domain_state state_of(config_snapshot const& config,
                              domain_id const& id)
{
    if (config)
    {
        for (auto const& domain : config->domains)
        {
            if (domain.id == id)
                return domain.state;
        }
    }
    return config::domain_state::in_service;
}

void record_domains(adoption_state& state, config_snapshot const& before)
{
    for (auto const& domain : state.in_force->domains)
    {
        if (domain.state == state_of(before, domain.id))
            continue;
        auto const kind = domain.state == config::domain_state::taken_out
                              ? event_kind::domain_taken_out
                              : event_kind::domain_returned;
        record(state, kind, state.in_force->version, domain.id.value);
    }
}

void tell_receivers(adoption_state const& state)
{
    config_changed const changed{state.in_force};
    auto const& to = state.receivers;
    send(to.front, changed);
    send(to.admin, changed);
    send(to.routing, changed);
    send(to.owner, changed);
    send(to.backend, changed);
    send(to.link, changed);
    send(to.members, changed);
    send(to.claims, changed);
}

void adopt(adoption_state& state, config::document document,
           decisions::config_identity stamp, std::string const& json,
           std::string_view source)
{
    auto const before = std::exchange(
        state.in_force,
        std::make_shared<config::document const>(std::move(document)));
    state.stamp = std::move(stamp);
    state.sealed = config::seal(json);
    state.ignored.clear();
    add(state.counters, counter::config_adopted);
    auto const cause = fmt::format("from {}", source);
    record(state, event_kind::config_adopted, state.stamp->version, cause);
    record_domains(state, before);
    fmt::print(stderr, "configuration {} adopted {}\n", state.stamp->version,
               cause);
    tell_receivers(state);
}

std::string text_of_faults(std::vector<config::fault> const& faults)
{
    auto text = fmt::format("{} faults", faults.size());
    for (std::size_t i = 0; i < faults.size() && i < max_reported_faults; ++i)
        text += "; " + describe(faults[i]);
    return text;
}

std::string text_of(decisions::adoption decision, revision offered,
                    revision in_force)
{
    if (decision == decisions::adoption::ignore_conflict)
        return fmt::format("another document with version {} (remedy: submit "
                           "with the version in force)",
                           offered);
    return fmt::format("version {} is below {} in force (remedy: submit the "
                       "configuration in force to the platform again)",
                       offered, in_force);
}

} // namespace

void find_receivers(adoption_state& state, kernel::registry const& names)
{
    using n = service_name;
    auto& to = state.receivers;
    to.front = names.find<front_message>(to_name(n::front));
    to.admin = names.find<admin_message>(to_name(n::admin));
    to.routing = names.find<routing_message>(to_name(n::routing));
    to.owner = names.find<owner_message>(to_name(n::owner));
    to.backend = names.find<backend_message>(to_name(n::backend));
    to.link = names.find<link_message>(to_name(n::link));
    to.members = names.find<members_message>(to_name(n::members));
    to.claims = names.find<claims_message>(to_name(n::claims));
    state.timeline = names.find<timeline_message>(to_name(n::timeline));
    state.metrics = names.find<metrics_message>(to_name(n::metrics));
}

revision version_in_force(adoption_state const& state)
{
    return state.stamp ? state.stamp->version : 0;
}

void report_ignored(adoption_state& state, revision version,
                    std::string const& cause)
{
    add(state.counters, counter::config_stale_ignored);
    if (state.ignored == cause)
        return;
    state.ignored = cause;
    record(state, event_kind::config_ignored, version, cause);
    fmt::print(stderr, "configuration ignored: {}\n", cause);
}

offer_result offer_document(adoption_state& state, std::string_view json,
                            std::string_view source, bool unversioned_is_first)
{
    auto parsed = config::parse_document(json);
    auto faults = std::move(parsed.faults);
    auto& document = parsed.value;
    if (faults.empty())
        faults = config::check_relations(document);
    if (!faults.empty())
    {
        report_ignored(state, document.version,
                       fmt::format("{}: {}", source, text_of_faults(faults)));
        return offer_result::faulty;
    }
    if (unversioned_is_first && document.version == 0)
        document.version = 1;
    auto const text = config::to_canonical_json(document);
    decisions::config_identity stamp{document.version, sha256_hex(text)};
    auto const decision = decisions::decide_adoption(state.stamp, stamp);
    if (decision == decisions::adoption::ignore_same)
        return offer_result::ignored;
    if (decision != decisions::adoption::adopt)
    {
        report_ignored(state, stamp.version,
                       fmt::format("{}: {}", source,
                                   text_of(decision, stamp.version,
                                           version_in_force(state))));
        return offer_result::ignored;
    }
    adopt(state, std::move(document), std::move(stamp), text, source);
    return offer_result::adopted;
}

} // namespace bramleyarch::services

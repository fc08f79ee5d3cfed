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

/// Largest number of faults listed in one report; `bramleyctl check` lists all.
constexpr std::size_t max_reported_faults = 5;

void record_config_event(adoption_state& state, event_kind kind,
                         revision version, std::string cause)
{
    send(state.timeline,
         record_event{
             {.kind = kind, .config = version, .cause = std::move(cause)}});
}

/// Returns the state of a failure domain, or `in_service` if the configuration
/// is null or does not contain it.
config::domain_state domain_state_in(config_snapshot const& config,
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

/// Records an event for each failure domain whose state differs from the one in
/// the previous configuration.
void record_domain_changes(adoption_state& state, config_snapshot const& before)
{
    for (auto const& domain : state.in_force->domains)
    {
        if (domain.state == domain_state_in(before, domain.id))
            continue;
        auto const kind = domain.state == config::domain_state::taken_out
                              ? event_kind::domain_taken_out
                              : event_kind::domain_returned;
        record_config_event(state, kind, state.in_force->version,
                            domain.id.value);
    }
}

/// Sends the configuration in force to all receivers.
void send_to_receivers(adoption_state const& state)
{
    config_changed const changed{state.in_force};
    auto const& receivers = state.receivers;
    send(receivers.front, changed);
    send(receivers.admin, changed);
    send(receivers.routing, changed);
    send(receivers.owner, changed);
    send(receivers.backend, changed);
    send(receivers.link, changed);
    send(receivers.members, changed);
    send(receivers.claims, changed);
}

/// Brings a checked document into force, records the change and sends the
/// configuration to the receivers.
void adopt(adoption_state& state, config::document document,
           decisions::config_identity identity, std::string const& json,
           std::string_view source)
{
    auto const before = std::exchange(
        state.in_force,
        std::make_shared<config::document const>(std::move(document)));
    state.identity = std::move(identity);
    state.sealed = config::seal(json);
    state.last_ignored_cause.clear();
    add(state.counters, counter::config_adopted);
    auto const cause = fmt::format("from {}", source);
    record_config_event(state, event_kind::config_adopted,
                        state.identity->version, cause);
    record_domain_changes(state, before);
    fmt::print(stderr, "configuration {} adopted {}\n", state.identity->version,
               cause);
    send_to_receivers(state);
}

std::string describe_faults(std::vector<config::fault> const& faults)
{
    auto text = fmt::format("{} faults", faults.size());
    for (std::size_t i = 0; i < faults.size() && i < max_reported_faults; ++i)
        text += "; " + describe(faults[i]);
    return text;
}

/// Describes why a document was ignored, with the remedy. `decision` is
/// `ignore_conflict` or `ignore_older`.
std::string describe_ignored(decisions::adoption decision, revision offered,
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
    using name = service_name;
    auto& receivers = state.receivers;
    receivers.front = names.find<front_message>(to_name(name::front));
    receivers.admin = names.find<admin_message>(to_name(name::admin));
    receivers.routing = names.find<routing_message>(to_name(name::routing));
    receivers.owner = names.find<owner_message>(to_name(name::owner));
    receivers.backend = names.find<backend_message>(to_name(name::backend));
    receivers.link = names.find<link_message>(to_name(name::link));
    receivers.members = names.find<members_message>(to_name(name::members));
    receivers.claims = names.find<claims_message>(to_name(name::claims));
    state.timeline = names.find<timeline_message>(to_name(name::timeline));
    state.metrics = names.find<metrics_message>(to_name(name::metrics));
}

revision version_in_force(adoption_state const& state)
{
    return state.identity ? state.identity->version : 0;
}

void report_ignored(adoption_state& state, revision version,
                    std::string const& cause)
{
    add(state.counters, counter::config_stale_ignored);
    if (state.last_ignored_cause == cause)
        return;
    state.last_ignored_cause = cause;
    record_config_event(state, event_kind::config_ignored, version, cause);
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
                       fmt::format("{}: {}", source, describe_faults(faults)));
        return offer_result::faulty;
    }
    if (unversioned_is_first && document.version == 0)
        document.version = 1;
    auto const text = config::to_canonical_json(document);
    decisions::config_identity identity{document.version, sha256_hex(text)};
    auto const decision = decisions::decide_adoption(state.identity, identity);
    if (decision == decisions::adoption::ignore_same)
        return offer_result::ignored;
    if (decision != decisions::adoption::adopt)
    {
        report_ignored(state, identity.version,
                       fmt::format("{}: {}", source,
                                   describe_ignored(decision, identity.version,
                                                    version_in_force(state))));
        return offer_result::ignored;
    }
    adopt(state, std::move(document), std::move(identity), text, source);
    return offer_result::adopted;
}

} // namespace bramleyarch::services

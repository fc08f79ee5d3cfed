/// Lists and watches of the groups of records.
#include "services/store/store_parts.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace bramleyarch::services
{

namespace
{

/// Failures in a row after which the store counts as away: one may be a watch
/// or a kept connection that was cut.
constexpr std::uint32_t failures_for_away = 2;

void publish_deployment(store_state& state)
{
    deployment_changed const message{
        std::make_shared<config::deployment const>(state.found.deployment)};
    send(state.front, message);
    send(state.routing, message);
    send(state.admin, message);
}

void publish_routers(store_state& state)
{
    routers_listed message;
    for (auto const& [key, router] : state.found.routers)
    {
        if (router.id != state.options.self.id)
            message.routers.push_back(router);
    }
    send(state.peers, std::move(message));
}

void publish(store_state& state, decisions::discovery_effect const& effect)
{
    if (!effect.log_text.empty())
        log(state.counted, log_severity::info, "discovery", effect.log_text);
    if (effect.deployment_changed)
        publish_deployment(state);
    if (effect.routers_changed)
        publish_routers(state);
}

void publish(store_state& state,
             std::vector<decisions::record_change> const& changes)
{
    decisions::detect_mass_expiry(state.found, changes);
    decisions::discovery_effect all;
    for (auto const& change : changes)
    {
        auto const effect =
            decisions::apply_change(state.found, change, now_of(state));
        all.deployment_changed =
            all.deployment_changed || effect.deployment_changed;
        all.routers_changed = all.routers_changed || effect.routers_changed;
        if (!effect.log_text.empty())
            log(state.counted, log_severity::info, "discovery",
                fmt::format("{} revision={}", effect.log_text, change.changed));
    }
    publish(state, all);
}

/// Tells the peers of the newest changes, so that one whose watch is dead
/// learns that it missed some.
void tell_changes(store_state& state)
{
    known_revisions const known{
        .rules = group_of(state, record_group::rules).changed,
        .servers = group_of(state, record_group::servers).changed};
    if (known == state.told)
        return;
    state.told = known;
    send(state.peers, known);
}

void take(store_state& state, followed_group& g, record_batch const& seen)
{
    publish(state, seen.changes);
    for (auto const& change : seen.changes)
        g.changed = std::max(g.changed, change.changed);
    tell_changes(state);
}

void list_anew(followed_group& g)
{
    g.as_of = 0;
    g.listed.clear();
    g.page_after.clear();
}

void call_later(followed_group& g, time_point due)
{
    g.stage = follow_stage::idle;
    g.due = due;
}

void note_answer(store_state& state, followed_group& g)
{
    g.failures = 0;
    g.doubted = false;
    if (!state.found.store_unavailable)
        return;
    decisions::record_store_available(state.found, now_of(state));
    log(state.counted, log_severity::info, "dependency_regained",
        "dependency=store");
}

/// Everything is listed: what is missing is gone, unless it is newer than the
/// list.
void finish_list(store_state& state, followed_group& g)
{
    std::vector<decisions::record_change> gone;
    for (auto const& key : decisions::missing_keys(state.found, g.listed))
    {
        if (state.options.codec.group_of(key) != g.group ||
            state.found.applied_revisions.at(key) > g.list_as_of)
            continue;
        gone.push_back(
            {.key = key,
             .changed = g.list_as_of,
             .removed = true,
             .content = state.options.codec.decode_removed_key(key)});
    }
    publish(state, gone);
    for (auto const& change : gone)
        state.found.applied_revisions.erase(change.key);
    if (g.group == record_group::routers)
        publish_routers(state);
    g.listed.clear();
    g.page_after.clear();
}

void take_list(store_state& state, followed_group& g, record_batch const& page)
{
    // Changes after the first page are seen again by the watch.
    if (g.listed.empty() && g.page_after.empty())
        g.list_as_of = page.as_of;
    take(state, g, page);
    for (auto const& change : page.changes)
        g.listed.insert(change.key);
    g.page_after = page.last_key;
    if (page.has_more)
    {
        follow(state, g);
        return;
    }
    finish_list(state, g);
    if (g.group == record_group::routers)
    {
        g.age = list_consistency::allow_stale;
        call_later(g, now_of(state) + state.options.routers_interval);
        return;
    }
    g.as_of = g.list_as_of;
    follow(state, g);
}

void take_watch(store_state& state, followed_group& g, record_batch const& seen,
                bool asked_again)
{
    take(state, g, seen);
    g.as_of = std::max(g.as_of, seen.as_of);
    // The store knows of nothing newer, whatever peers told.
    if (asked_again)
        g.peers_changed = std::min(g.peers_changed, g.as_of);
    if (seen.changes.empty())
        follow(state, g);
    else
        call_later(g, now_of(state) + state.options.watch_pause);
}

/// Replaces a watch that may be dead by one that answers soon.
void doubt(store_state& state, followed_group& g, std::string_view why)
{
    if (g.stage != follow_stage::watching || g.doubted)
        return;
    log(state.counted, log_severity::info, "watch_doubted",
        fmt::format("group={} revision={} waited_ms={} reason=\"{}\"",
                    to_name(g.group), g.as_of,
                    to_ms(now_of(state) - g.called_at), why));
    count(state.counted, counter::platform_watch_reopened);
    state.transport.close(g.call.id);
    g.doubted = true;
    follow(state, g);
}

/// Asks again where a watch has not told of changes that peers know.
void check_peers(store_state& state, followed_group& g)
{
    if (g.peers_changed <= g.as_of)
    {
        g.behind_since = never;
        return;
    }
    auto const at = now_of(state);
    g.behind_since = std::min(g.behind_since, at);
    if (at - std::max(g.behind_since, g.called_at) >=
        state.options.behind_limit)
        doubt(state, g, "peers know of newer changes");
}

} // namespace

followed_group& group_of(store_state& state, record_group group)
{
    return state.groups.at(static_cast<std::size_t>(group));
}

void follow(store_state& state, followed_group& g)
{
    g.call = {};
    g.called_at = now_of(state);
    if (g.as_of == 0)
    {
        g.stage = follow_stage::listing;
        g.call.id = open_call(
            state,
            state.options.codec.encode_list(g.group, g.page_after, g.age),
            state.options.call_limit);
        return;
    }
    auto const wait =
        g.doubted ? state.options.short_watch_wait : state.options.watch_wait;
    g.stage = follow_stage::watching;
    g.call.id = open_call(
        state, state.options.codec.encode_watch(g.group, g.as_of, wait),
        wait + state.options.watch_slack);
}

void follow_failed(store_state& state, followed_group& g,
                   std::string const& why)
{
    ++g.failures;
    g.doubted = true;
    count(state.counted, counter::platform_failures);
    log(state.counted, log_severity::warning, "store_call_failed",
        fmt::format("call={} group={} failures={} reason=\"{}\"",
                    to_name(g.stage), to_name(g.group), g.failures, why));
    if (g.failures >= failures_for_away && !state.found.store_unavailable)
    {
        decisions::record_store_unavailable(state.found);
        log(state.counted, log_severity::warning, "dependency_lost",
            "dependency=store");
    }
    auto const doublings = std::min(g.failures, 6U) - 1;
    auto const step = std::min(state.options.first_retry * (1U << doublings),
                               state.options.last_retry);
    // Half of the step is random, so that routers do not return together.
    std::uniform_int_distribution<std::int64_t> spread{step.count() / 2,
                                                       step.count()};
    // A page that failed is asked for again; earlier pages stay read.
    call_later(g, now_of(state) + duration{spread(state.random)});
}

void end_follow(store_state& state, followed_group& g)
{
    auto const call = std::exchange(g.call, {});
    bool const listing = g.stage == follow_stage::listing;
    if (!listing && call.status == status_history_gone)
    {
        note_answer(state, g);
        log(state.counted, log_severity::warning, "watch_history_gone",
            fmt::format("group={} revision={}", to_name(g.group), g.as_of));
        count(state.counted, counter::platform_watch_reopened);
        list_anew(g);
        follow(state, g);
        return;
    }
    if (call.status != status_ok)
    {
        follow_failed(state, g, fmt::format("status {}", call.status));
        return;
    }
    auto const read = listing ? state.options.codec.decode_list(call.body)
                              : state.options.codec.decode_watch(call.body);
    if (!read)
    {
        follow_failed(state, g, describe(read.error()));
        return;
    }
    bool const asked_again = g.doubted;
    note_answer(state, g);
    if (listing)
        take_list(state, g, read.value());
    else
        take_watch(state, g, read.value(), asked_again);
}

void follow_due(store_state& state)
{
    for (auto& g : state.groups)
    {
        check_peers(state, g);
        if (g.stage == follow_stage::idle && now_of(state) >= g.due)
            follow(state, g);
    }
}

void doubt_watches(store_state& state, std::string_view why)
{
    for (auto& g : state.groups)
        doubt(state, g, why);
}

void take_peer_changes(store_state& state, known_revisions const& known)
{
    group_of(state, record_group::rules).peers_changed = known.rules;
    group_of(state, record_group::servers).peers_changed = known.servers;
}

void expire_doubtful(store_state& state)
{
    publish(state,
            decisions::remove_expired_servers(state.found, now_of(state)));
}

} // namespace bramleyarch::services

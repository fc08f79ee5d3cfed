/// Synchronisation of the groups of records by list and watch.
#include "services/store/store_parts.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <string_view>
#include <utility>

namespace bramleyarch::services
{

namespace
{

/// Consecutive failures of a group's requests after which the store counts as
/// unavailable. A single one may come from a watch or a kept connection that
/// was cut.
constexpr std::uint32_t failures_until_unavailable = 2;

void publish_deployment(store_state& state)
{
    deployment_changed const message{
        std::make_shared<config::deployment const>(state.discovery.deployment)};
    send(state.front, message);
    send(state.routing, message);
    send(state.admin, message);
}

void publish_routers(store_state& state)
{
    routers_listed message;
    for (auto const& [key, router] : state.discovery.routers)
    {
        if (router.id != state.options.self.id)
            message.routers.push_back(router);
    }
    send(state.peers, std::move(message));
}

/// Sends the revisions of the newest changes to the peers service, so that a
/// peer whose watch is dead learns that it missed some.
void advertise_revisions(store_state& state)
{
    known_revisions const newest{
        .era = state.era,
        .rules = sync_of(state, record_group::rules).newest_revision,
        .servers = sync_of(state, record_group::servers).newest_revision};
    if (newest == state.advertised_revisions)
        return;
    state.advertised_revisions = newest;
    send(state.peers, newest);
}

/// Applies and advertises the changes of a response.
void apply_batch(store_state& state, group_sync& sync,
                 record_batch const& batch)
{
    apply_changes(state, batch.changes);
    for (auto const& change : batch.changes)
        sync.newest_revision = std::max(sync.newest_revision, change.changed);
    advertise_revisions(state);
}

/// Returns the number of changes that a later change of the same batch
/// overwrites.
std::size_t count_superseded(record_batch const& batch)
{
    std::set<std::string_view> keys;
    for (auto const& change : batch.changes)
        keys.insert(change.key);
    return batch.changes.size() - keys.size();
}

void log_read(store_state& state, group_sync const& sync,
              pending_request const& response, record_batch const& batch)
{
    if (batch.changes.empty())
        return;
    auto const at = current_time(state);
    log(state.telemetry_sink, log_severity::info, "store_read",
        fmt::format("call={} group={} revision={} bytes={} changes={} "
                    "superseded={} head_ms={} took_ms={}",
                    to_name(sync.stage), to_name(sync.group), batch.as_of,
                    response.body.size(), batch.changes.size(),
                    count_superseded(batch),
                    to_ms(response.head_received_at - sync.requested_at),
                    to_ms(at - sync.requested_at)));
}

/// Makes the next request start a new list.
void restart_list(group_sync& sync)
{
    sync.synced_to = 0;
    sync.listed_keys.clear();
    sync.page_cursor.clear();
    sync.listed_bytes = 0;
}

void schedule_request(group_sync& sync, time_point due)
{
    sync.stage = sync_stage::idle;
    sync.next_request = due;
}

/// Records that the store responded; if it was unavailable, it is available
/// again.
void record_response(store_state& state, group_sync& sync)
{
    sync.failures = 0;
    sync.suspected_dead = false;
    if (!state.discovery.store_unavailable)
        return;
    decisions::record_store_available(state.discovery, current_time(state));
    log(state.telemetry_sink, log_severity::info, "dependency_regained",
        "dependency=store");
}

/// Uses the servers that waited for the operators' records up to here.
void record_synced(store_state& state, group_sync const& sync)
{
    if (sync.group == record_group::rules)
        publish_effect(
            state, decisions::record_operators_read(
                       state.discovery, sync.synced_to, current_time(state)));
}

/// Removes the records that are missing from a complete list, except those
/// that are newer than the list.
void finish_list(store_state& state, group_sync& sync)
{
    std::vector<decisions::record_change> removals;
    for (auto const& key :
         decisions::missing_keys(state.discovery, sync.listed_keys))
    {
        if (state.options.codec.group_of(key) != sync.group ||
            state.discovery.applied_revisions.at(key) > sync.list_revision)
            continue;
        removals.push_back(
            {.key = key,
             .changed = sync.list_revision,
             .removed = true,
             .content = state.options.codec.decode_removed_key(key)});
    }
    apply_changes(state, removals);
    for (auto const& change : removals)
        state.discovery.applied_revisions.erase(change.key);
    if (sync.group == record_group::routers)
        publish_routers(state);
    sync.state_bytes = std::exchange(sync.listed_bytes, 0);
    sync.listed_keys.clear();
    sync.page_cursor.clear();
}

void handle_list_page(store_state& state, group_sync& sync,
                      record_batch const& page)
{
    // The watch starts at the revision of the first page, so that it returns
    // changes that were made while later pages were read.
    if (sync.listed_keys.empty() && sync.page_cursor.empty())
        sync.list_revision = page.as_of;
    apply_batch(state, sync, page);
    for (auto const& change : page.changes)
        sync.listed_keys.insert(change.key);
    sync.page_cursor = page.last_key;
    if (page.has_more)
    {
        send_sync_request(state, sync);
        return;
    }
    finish_list(state, sync);
    if (sync.group == record_group::routers)
    {
        sync.consistency = list_consistency::allow_stale;
        schedule_request(sync, current_time(state) +
                                   state.options.router_list_interval);
        return;
    }
    sync.synced_to = sync.list_revision;
    record_synced(state, sync);
    send_sync_request(state, sync);
}

/// Handles the response to a watch, whose head arrived at `head_received_at`.
/// `restarted` is true if the watch replaced one that failed or was suspected
/// dead.
void handle_watch_response(store_state& state, group_sync& sync,
                           record_batch const& batch,
                           time_point head_received_at, bool restarted)
{
    apply_batch(state, sync, batch);
    sync.synced_to = std::max(sync.synced_to, batch.as_of);
    record_synced(state, sync);
    // The store has nothing newer, whatever revision peers advertised.
    if (restarted)
        sync.newest_peer_revision =
            std::min(sync.newest_peer_revision, sync.synced_to);
    // The response of a slow link has taken its own pause.
    auto const due = head_received_at + state.options.watch_pause;
    if (batch.changes.empty() || due <= current_time(state))
        send_sync_request(state, sync);
    else
        schedule_request(sync, due);
}

/// Returns whether the response to the group's request is arriving.
bool is_receiving(store_state const& state, group_sync const& sync)
{
    return sync.request.status != 0 &&
           current_time(state) - sync.request.last_byte_at <
               state.options.max_peer_lag;
}

/// Replaces a watch that may be dead by a short one. A watch whose response is
/// arriving is alive, however long that takes.
void restart_watch(store_state& state, group_sync& sync,
                   std::string_view reason)
{
    if (sync.stage != sync_stage::watching || sync.suspected_dead ||
        is_receiving(state, sync))
        return;
    log(state.telemetry_sink, log_severity::info, "watch_doubted",
        fmt::format("group={} revision={} waited_ms={} reason=\"{}\"",
                    to_name(sync.group), sync.synced_to,
                    to_ms(current_time(state) - sync.requested_at), reason));
    count(state.telemetry_sink, counter::platform_watch_reopened);
    state.transport.close(sync.request.id);
    sync.suspected_dead = true;
    send_sync_request(state, sync);
}

/// Restarts the group's watch if peers have advertised newer changes for too
/// long.
void restart_lagging_watch(store_state& state, group_sync& sync)
{
    if (sync.newest_peer_revision <= sync.synced_to)
    {
        sync.lagging_since = never;
        return;
    }
    auto const at = current_time(state);
    sync.lagging_since = std::min(sync.lagging_since, at);
    if (at - std::max(sync.lagging_since, sync.requested_at) >=
        state.options.max_peer_lag)
        restart_watch(state, sync, "peers advertise newer changes");
}

} // namespace

duration backoff_delay(store_state& state, std::uint32_t failures)
{
    auto const doublings = std::clamp(failures, 1U, 6U) - 1;
    auto const backoff =
        std::min(state.options.initial_backoff * (1U << doublings),
                 state.options.max_backoff);
    std::uniform_int_distribution<std::int64_t> jittered{backoff.count() / 2,
                                                         backoff.count()};
    return duration{jittered(state.random)};
}

void apply_changes(store_state& state,
                   std::vector<decisions::record_change> const& changes)
{
    decisions::detect_mass_expiry(state.discovery, changes);
    decisions::discovery_effect combined;
    for (auto const& change : changes)
    {
        auto const effect = decisions::apply_change(state.discovery, change,
                                                    current_time(state));
        combined.deployment_changed =
            combined.deployment_changed || effect.deployment_changed;
        combined.routers_changed =
            combined.routers_changed || effect.routers_changed;
        if (effect.order_ignored)
            count(state.telemetry_sink, counter::rollout_orders_ignored);
        if (!effect.log_text.empty())
            log(state.telemetry_sink, log_severity::info, "discovery",
                fmt::format("{} revision={}", effect.log_text, change.changed));
    }
    publish_effect(state, combined);
}

void publish_effect(store_state& state,
                    decisions::discovery_effect const& effect)
{
    if (!effect.log_text.empty())
        log(state.telemetry_sink, log_severity::info, "discovery",
            effect.log_text);
    if (effect.deployment_changed)
    {
        publish_deployment(state);
        update_rollouts(state);
    }
    if (effect.routers_changed)
        publish_routers(state);
}

group_sync& sync_of(store_state& state, record_group group)
{
    return state.syncs.at(static_cast<std::size_t>(group));
}

void send_sync_request(store_state& state, group_sync& sync)
{
    sync.request = {};
    sync.requested_at = current_time(state);
    if (sync.synced_to == 0)
    {
        sync.stage = sync_stage::listing;
        sync.request.id =
            send_request(state,
                         state.options.codec.encode_list(
                             sync.group, sync.page_cursor, sync.consistency),
                         state.options.request_timeout);
        return;
    }
    auto const wait = sync.suspected_dead ? state.options.probe_watch_wait
                                          : state.options.watch_wait;
    sync.stage = sync_stage::watching;
    sync.request.id = send_request(
        state,
        state.options.codec.encode_watch(sync.group, sync.synced_to, wait),
        wait + state.options.watch_timeout_margin);
}

void replace_long_watch(store_state& state, group_sync& sync,
                        std::uint64_t bytes)
{
    if (sync.stage != sync_stage::watching ||
        sync.request.status != status_ok ||
        !decisions::should_read_state(bytes, sync.state_bytes,
                                      state.options.catch_up))
        return;
    log(state.telemetry_sink, log_severity::info, "watch_replaced",
        fmt::format("group={} revision={} bytes={} state_bytes={}",
                    to_name(sync.group), sync.synced_to, bytes,
                    sync.state_bytes));
    state.transport.close(sync.request.id);
    record_response(state, sync);
    restart_list(sync);
    send_sync_request(state, sync);
}

void handle_sync_failure(store_state& state, group_sync& sync,
                         std::string const& reason)
{
    ++sync.failures;
    sync.suspected_dead = true;
    count(state.telemetry_sink, counter::platform_failures);
    log(state.telemetry_sink, log_severity::warning, "store_call_failed",
        fmt::format("call={} group={} failures={} reason=\"{}\"",
                    to_name(sync.stage), to_name(sync.group), sync.failures,
                    reason));
    if (sync.failures >= failures_until_unavailable &&
        !state.discovery.store_unavailable)
    {
        decisions::record_store_unavailable(state.discovery);
        log(state.telemetry_sink, log_severity::warning, "dependency_lost",
            "dependency=store");
    }
    // Only the page that failed is requested again; earlier pages are kept.
    schedule_request(sync,
                     current_time(state) + backoff_delay(state, sync.failures));
}

void restart_syncs(store_state& state)
{
    for (auto& sync : state.syncs)
    {
        if (sync.request.id != 0)
            state.transport.close(sync.request.id);
        sync = {.group = sync.group,
                .next_request = never,
                .state_bytes = sync.state_bytes};
        if (sync.group != record_group::routers)
            send_sync_request(state, sync);
    }
    advertise_revisions(state);
}

void handle_sync_response(store_state& state, group_sync& sync)
{
    auto const response = std::exchange(sync.request, {});
    bool const listing = sync.stage == sync_stage::listing;
    if (!listing && response.status == status_history_gone)
    {
        record_response(state, sync);
        log(state.telemetry_sink, log_severity::warning, "watch_history_gone",
            fmt::format("group={} revision={}", to_name(sync.group),
                        sync.synced_to));
        count(state.telemetry_sink, counter::platform_watch_reopened);
        restart_list(sync);
        send_sync_request(state, sync);
        return;
    }
    if (response.status != status_ok)
    {
        handle_sync_failure(state, sync,
                            fmt::format("status {}", response.status));
        return;
    }
    auto const batch = listing
                           ? state.options.codec.decode_list(response.body)
                           : state.options.codec.decode_watch(response.body);
    if (!batch)
    {
        handle_sync_failure(state, sync, describe(batch.error()));
        return;
    }
    log_read(state, sync, response, batch.value());
    bool const restarted = sync.suspected_dead;
    record_response(state, sync);
    if (listing)
    {
        sync.listed_bytes += response.body.size();
        handle_list_page(state, sync, batch.value());
    }
    else
        handle_watch_response(state, sync, batch.value(),
                              response.head_received_at, restarted);
}

void send_due_sync_requests(store_state& state)
{
    for (auto& sync : state.syncs)
    {
        restart_lagging_watch(state, sync);
        if (sync.stage == sync_stage::idle &&
            current_time(state) >= sync.next_request)
            send_sync_request(state, sync);
    }
}

void restart_watches(store_state& state, std::string_view reason)
{
    for (auto& sync : state.syncs)
        restart_watch(state, sync, reason);
}

void record_peer_revisions(store_state& state, known_revisions const& newest)
{
    if (newest.era > state.era && state.era != 0)
        restart_watches(state, "peers know that the store was restored");
    if (newest.era != state.era)
        return;
    sync_of(state, record_group::rules).newest_peer_revision = newest.rules;
    sync_of(state, record_group::servers).newest_peer_revision = newest.servers;
}

void apply_due_removals(store_state& state)
{
    publish_effect(state, decisions::apply_due_removals(state.discovery,
                                                        current_time(state)));
}

} // namespace bramleyarch::services

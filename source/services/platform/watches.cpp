#include "services/platform/watches.hpp"

#include <algorithm>

namespace bramleyarch::services
{

namespace
{

constexpr int status_ok = 200;
/// This module detects silent watches itself, so the HTTP client's limit is
/// far above `watch_options::silence_limit`.
constexpr duration client_silence_limit = std::chrono::hours{1};

void open_watch(watch& watched, call_table& calls, time_point at)
{
    auto request =
        make_request(calls, etcd::encode_watch(watched.key, watched.range_end,
                                               watched.next_revision));
    request.silence_limit = client_silence_limit;
    watched.request = request.id;
    watched.last_received_at = at;
    watched.decoder = {};
    calls.transport.open(std::move(request));
}

duration reopen_delay(watch_options const& options, watch const& watched)
{
    constexpr std::uint32_t max_doublings = 8;
    auto const doublings = std::min(watched.failures, max_doublings);
    return std::min(options.min_reopen_delay * (1U << doublings),
                    options.max_reopen_delay);
}

/// Closes the open request and schedules reopening the watch.
void schedule_reopen(watch_table const& table, watch& watched,
                     call_table& calls, time_point at)
{
    if (watched.request != 0)
        calls.transport.close(watched.request);
    watched.request = 0;
    watched.reopen_at = at + reopen_delay(table.options, watched);
    ++watched.failures;
    count(calls.telemetry_sink, counter::platform_watch_reopened);
}

/// Returns whether the service's revision is lower than one already received,
/// as after a restore from an old backup. A watch from a future revision would
/// receive no changes.
bool has_revision_regressed(watch const& watched,
                            etcd::watch_message const& message)
{
    return message.created && watched.next_revision > message.revision + 1;
}

/// Applies one message. Returns false if the watch has to be reopened.
bool apply_message(watch& watched, etcd::watch_message const& message)
{
    if (has_revision_regressed(watched, message))
    {
        watched.next_revision = 0;
        return false;
    }
    if (message.canceled)
    {
        watched.next_revision = message.compact_revision;
        return false;
    }
    watched.failures = 0;
    auto const first_revision = watched.next_revision;
    for (auto const& entry : message.entries)
    {
        if (entry.mod_revision >= first_revision)
            watched.changed(entry);
        watched.next_revision =
            std::max(watched.next_revision, entry.mod_revision + 1);
    }
    if (message.created && watched.next_revision == 0)
        watched.next_revision = message.revision + 1;
    return true;
}

void handle_bytes(watch_table const& table, watch& watched, call_table& calls,
                  std::string const& bytes, time_point at)
{
    watched.last_received_at = at;
    count(calls.telemetry_sink, counter::control_bytes_received, bytes.size());
    for (auto const& message : etcd::decode(watched.decoder, bytes))
    {
        record_reachability(calls, true, {});
        if (!apply_message(watched, message))
        {
            schedule_reopen(table, watched, calls, at);
            return;
        }
    }
    if (watched.decoder.broken)
        schedule_reopen(table, watched, calls, at);
}

watch* find_watch(watch_table& table, std::uint64_t request)
{
    for (auto& [key, watched] : table.watches)
    {
        if (watched.request == request)
            return &watched;
    }
    return nullptr;
}

} // namespace

void add_watch(watch_table& table, call_table& calls, watch added,
               time_point at)
{
    remove_watch(table, calls, added.key);
    added.reopen_at = at;
    auto const key = added.key;
    table.watches.emplace(key, std::move(added));
    tick_watches(table, calls, at);
}

void remove_watch(watch_table& table, call_table& calls, std::string const& key)
{
    auto const node = table.watches.extract(key);
    if (node && node.mapped().request != 0)
        calls.transport.close(node.mapped().request);
}

void handle_watch_event(watch_table& table, call_table& calls,
                        http::client_event const& event, time_point at)
{
    auto const id = std::visit([](auto const& e) { return e.id; }, event);
    auto* const watched = find_watch(table, id);
    if (!watched)
        return;
    if (auto const* bytes = std::get_if<http::response_bytes>(&event))
    {
        handle_bytes(table, *watched, calls, bytes->bytes, at);
        return;
    }
    auto const* head = std::get_if<http::response_head>(&event);
    bool const refused = head && head->status != status_ok;
    auto const* failed = std::get_if<http::response_failed>(&event);
    if (failed)
        record_reachability(calls, false, "watch: " + failed->cause.detail);
    bool const ended = failed || std::get_if<http::response_end>(&event);
    if (ended)
        watched->request = 0;
    if (refused || ended)
        schedule_reopen(table, *watched, calls, at);
}

void tick_watches(watch_table& table, call_table& calls, time_point at)
{
    for (auto& [key, watched] : table.watches)
    {
        if (watched.request != 0 &&
            at >= watched.last_received_at + table.options.silence_limit)
            schedule_reopen(table, watched, calls, at);
        if (watched.request == 0 && at >= watched.reopen_at &&
            acquire_call_token(calls, at))
            open_watch(watched, calls, at);
    }
}

} // namespace bramleyarch::services

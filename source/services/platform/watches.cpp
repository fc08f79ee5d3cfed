#include "services/platform/watches.hpp"

#include <algorithm>

namespace bramleyarch::services
{

namespace
{

constexpr int status_ok = 200;
/// Silence is judged by this module, so the client's limit lies beyond.
constexpr duration client_silence_limit = std::chrono::hours{1};

void open_watch(watch& w, call_table& calls, time_point at)
{
    auto request = make_request(
        calls, etcd::encode_watch(w.key, w.range_end, w.next_revision));
    request.silence_limit = client_silence_limit;
    w.request = request.id;
    w.heard_at = at;
    w.decoder = {};
    calls.transport.open(std::move(request));
}

duration reopen_delay(watch_options const& options, watch const& w)
{
    constexpr std::uint32_t max_doublings = 8;
    auto const doublings = std::min(w.failures, max_doublings);
    return std::min(options.min_reopen_delay * (1U << doublings),
                    options.max_reopen_delay);
}

/// Gives the open request up and lets the watch be opened again.
void retire(watch_table const& table, watch& w, call_table& calls,
            time_point at)
{
    if (w.request != 0)
        calls.transport.close(w.request);
    w.request = 0;
    w.reopen_at = at + reopen_delay(table.options, w);
    ++w.failures;
    count(calls.counts, counter::platform_watch_reopened);
}

/// Whether the service has gone back behind what was seen, as after being
/// restored from an old copy. A watch from a later revision would stay silent.
bool has_gone_back(watch const& w, etcd::watch_message const& message)
{
    return message.created && w.next_revision > message.revision + 1;
}

/// Takes one message; false when the watch has to be opened again.
bool take_message(watch& w, etcd::watch_message const& message)
{
    if (has_gone_back(w, message))
    {
        w.next_revision = 0;
        return false;
    }
    if (message.canceled)
    {
        w.next_revision = message.compact_revision;
        return false;
    }
    w.failures = 0;
    auto const first = w.next_revision;
    for (auto const& entry : message.entries)
    {
        if (entry.mod_revision >= first)
            w.changed(entry);
        w.next_revision = std::max(w.next_revision, entry.mod_revision + 1);
    }
    if (message.created && w.next_revision == 0)
        w.next_revision = message.revision + 1;
    return true;
}

void take_bytes(watch_table const& table, watch& w, call_table& calls,
                std::string const& bytes, time_point at)
{
    w.heard_at = at;
    count(calls.counts, counter::control_bytes_received, bytes.size());
    for (auto const& message : etcd::decode(w.decoder, bytes))
    {
        note_reachable(calls, true, {});
        if (!take_message(w, message))
        {
            retire(table, w, calls, at);
            return;
        }
    }
    if (w.decoder.broken)
        retire(table, w, calls, at);
}

watch* find_watch(watch_table& table, std::uint64_t request)
{
    for (auto& [key, w] : table.watches)
    {
        if (w.request == request)
            return &w;
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
    auto* const w = find_watch(table, id);
    if (!w)
        return;
    if (auto const* bytes = std::get_if<http::response_bytes>(&event))
    {
        take_bytes(table, *w, calls, bytes->bytes, at);
        return;
    }
    auto const* head = std::get_if<http::response_head>(&event);
    bool const refused = head && head->status != status_ok;
    auto const* failed = std::get_if<http::response_failed>(&event);
    if (failed)
        note_reachable(calls, false, "watch: " + failed->cause.detail);
    bool const ended = failed || std::get_if<http::response_end>(&event);
    if (ended)
        w->request = 0;
    if (refused || ended)
        retire(table, *w, calls, at);
}

void tick_watches(watch_table& table, call_table& calls, time_point at)
{
    for (auto& [key, w] : table.watches)
    {
        if (w.request != 0 && at >= w.heard_at + table.options.silence_limit)
            retire(table, w, calls, at);
        if (w.request == 0 && at >= w.reopen_at && take_call(calls, at))
            open_watch(w, calls, at);
    }
}

} // namespace bramleyarch::services

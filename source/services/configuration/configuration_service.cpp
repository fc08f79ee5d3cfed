#include "services/configuration/configuration_service.hpp"

#include "config/schema.hpp"
#include "config/sealed_document.hpp"
#include "services/messages/names.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <system_error>

namespace bramleyarch::services
{

namespace
{

using context = kernel::context<configuration_message>;
using state = configuration_state;

constexpr duration counters_interval = std::chrono::seconds{1};

bool uses_platform(state const& s)
{
    return s.options.mode == config::platform_mode::etcd;
}

/// Reads the file if it changed since the last look.
void look_at_file(state& s, time_point at)
{
    if (at < s.file.next_at)
        return;
    s.file.next_at = at + s.options.read_interval;
    std::error_code failed;
    auto const modified =
        std::filesystem::last_write_time(s.options.config_file, failed);
    auto const bytes =
        failed ? 0 : std::filesystem::file_size(s.options.config_file, failed);
    if (failed || bytes > config::max_document_bytes)
    {
        report_ignored(s.adopted, 0,
                       fmt::format("file {} can't be read or is too long "
                                   "(remedy: correct config_file)",
                                   s.options.config_file));
        return;
    }
    if (modified == s.file.modified && bytes == s.file.bytes)
        return;
    std::ifstream stream{s.options.config_file, std::ios::binary};
    std::string const json{std::istreambuf_iterator<char>{stream}, {}};
    s.file.modified = modified;
    s.file.bytes = bytes;
    offer_document(s.adopted, json, "file", true);
}

/// Time until the next read of the key.
duration read_delay(state const& s)
{
    if (s.reading.watcher && s.adopted.in_force)
        return s.options.read_interval;
    auto const doublings = std::min(s.reading.failures, 8U);
    auto const delay = s.options.read_interval * (1U << doublings);
    return std::min(delay, s.options.max_read_interval);
}

/// Reads the key if its entry is another than the one seen last.
void read_key(state& s, context& ctx)
{
    bool const wanted = s.reading.watcher || !s.adopted.in_force;
    if (!wanted || s.reading.open || now(ctx) < s.reading.next_at)
        return;
    auto const& key = s.options.document_key;
    kv_transaction transaction{
        .conditions = {{.key = key,
                        .target = kv_compare_target::mod_revision,
                        .number = s.reading.mod_revision}},
        .on_failure = {{.action = kv_action::range, .key = key}}};
    run_kv_transaction call{
        .transaction = std::move(transaction),
        .timeout = s.options.call_timeout,
        .reply = [to = ctx.self](result<kv_transaction_reply> reply)
        { send(to, document_read_reply{std::move(reply)}); }};
    s.reading.open = send(s.platform, std::move(call));
    s.reading.next_at = now(ctx) + read_delay(s);
}

void take_entry(state& s, kv_entry const& entry)
{
    s.reading.mod_revision = entry.mod_revision;
    if (entry.create_revision == 0)
        report_ignored(s.adopted, 0,
                       "platform: the document was erased (remedy: submit the "
                       "configuration in force again)");
    else
        offer_document(s.adopted, entry.value, "platform");
}

void receive_one(state& s, context& ctx, document_read_reply const& message)
{
    s.reading.open = false;
    if (!message.reply)
    {
        ++s.reading.failures;
        s.reading.next_at = now(ctx) + read_delay(s);
        return;
    }
    s.reading.failures = 0;
    auto const& reply = message.reply.value();
    if (reply.succeeded || reply.ranges.empty())
        return;
    if (!reply.ranges.front().empty())
        take_entry(s, reply.ranges.front().front());
    else
        take_entry(s, {});
}

void receive_one(state& s, context&, document_entry_changed const& message)
{
    take_entry(s, message.entry);
}

/// Starts or ends the watch of the key.
void set_watcher(state& s, context& ctx, bool watcher)
{
    if (watcher == s.reading.watcher)
        return;
    s.reading.watcher = watcher;
    auto const& key = s.options.document_key;
    if (!watcher)
    {
        send(s.platform, unwatch_kv_range{key});
        return;
    }
    send(s.platform,
         watch_kv_range{.key = key, .changed = [to = ctx.self](kv_entry entry) {
                            send(to, document_entry_changed{std::move(entry)});
                        }});
    s.reading.next_at = now(ctx);
}

void ask_peer(state& s, context& ctx)
{
    auto const known = std::max(version_in_force(s.adopted), s.refused);
    if (auto const peer = decisions::select_peer(s.fetch, known, now(ctx)))
        send(s.link, fetch_config{.from = *peer,
                                  .newer_than = version_in_force(s.adopted)});
}

void take_from_peer(state& s, document_received const& message)
{
    auto const source = "router " + message.from.value;
    auto const json = config::unseal(message.json);
    if (!json)
    {
        report_ignored(s.adopted, 0,
                       source + ": the digest does not match its document");
        return;
    }
    auto const result = offer_document(s.adopted, *json, source);
    if (result == offer_result::adopted)
        add(s.adopted.counters, counter::config_fetched_from_peer);
    // The same faults would be found in every peer's copy.
    if (result == offer_result::faulty)
        s.refused = std::max(s.refused, s.fetch.peers[message.from].version);
}

void receive_one(state& s, context& ctx, document_received const& message)
{
    if (message.from.empty())
    {
        offer_document(s.adopted, message.json, "platform");
        return;
    }
    decisions::finish_request(s.fetch);
    take_from_peer(s, message);
    ask_peer(s, ctx);
}

void receive_one(state& s, context&, config_requested const& message)
{
    if (version_in_force(s.adopted) > message.newer_than)
        send(s.link,
             send_config{.to = message.requester, .json = s.adopted.sealed});
}

void receive_one(state& s, context& ctx, peer_version_advertised const& message)
{
    decisions::record_peer_version(s.fetch, message.peer, message.version);
    ask_peer(s, ctx);
}

void receive_one(state& s, context& ctx, members_changed const& message)
{
    decisions::update_peers(s.fetch, *message.view);
    if (uses_platform(s))
        set_watcher(s, ctx, decisions::is_watcher(*message.view));
    ask_peer(s, ctx);
}

void receive_one(state& s, context& ctx, drain_started const&)
{
    if (uses_platform(s))
        set_watcher(s, ctx, false);
}

void receive_one(state& s, context&, status_query const& message)
{
    auto const& stamp = s.adopted.stamp;
    nlohmann::json const status{
        {"version", version_in_force(s.adopted)},
        {"digest", stamp ? stamp->digest : ""},
        {"watcher", s.reading.watcher},
        {"read_failures", s.reading.failures},
        {"ignored", s.adopted.ignored},
    };
    message.reply(status.dump());
}

void send_counters(state& s, time_point at)
{
    if (at < s.counters_sent_at + counters_interval)
        return;
    s.counters_sent_at = at;
    send(s.adopted.metrics,
         counters_added{std::exchange(s.adopted.counters, {})});
}

void receive_one(state& s, context& ctx, configuration_tick const&)
{
    if (uses_platform(s))
        read_key(s, ctx);
    else
        look_at_file(s, now(ctx));
    ask_peer(s, ctx);
    send_counters(s, now(ctx));
    schedule(ctx, s.options.tick, configuration_tick{});
}

void start(state& s, context& ctx)
{
    find_receivers(s.adopted, *ctx.names);
    s.link = s.adopted.receivers.link;
    s.platform =
        ctx.names->find<platform_message>(to_name(service_name::platform));
    s.fetch.self = s.options.self;
    s.fetch.options = s.options.fetch;
    s.counters_sent_at = now(ctx);
    receive_one(s, ctx, configuration_tick{});
}

void receive(state& s, context& ctx, configuration_message message)
{
    std::visit([&](auto const& one) { receive_one(s, ctx, one); }, message);
}

} // namespace

kernel::service<configuration_state, configuration_message>
make_configuration_service(configuration_options options)
{
    return {.name = std::string{to_name(service_name::configuration)},
            .state = {.options = std::move(options)},
            .start = start,
            .receive = receive};
}

} // namespace bramleyarch::services

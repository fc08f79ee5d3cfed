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

/// Limit of the exponent of the backoff, so that the shift can't overflow.
constexpr std::uint32_t max_doublings = 8;

constexpr duration counters_interval = std::chrono::seconds{1};

bool uses_platform(state const& service)
{
    return service.options.mode == config::platform_mode::etcd;
}

/// Reads the file and offers its document if the modification time or the size
/// changed since the last read.
void read_changed_file(state& service, time_point at)
{
    if (at < service.file.next_at)
        return;
    service.file.next_at = at + service.options.read_interval;
    std::error_code error;
    auto const modified =
        std::filesystem::last_write_time(service.options.config_file, error);
    auto const bytes =
        error ? 0
              : std::filesystem::file_size(service.options.config_file, error);
    if (error || bytes > config::max_document_bytes)
    {
        report_ignored(service.adoption, 0,
                       fmt::format("file {} can't be read or is too long "
                                   "(remedy: correct config_file)",
                                   service.options.config_file));
        return;
    }
    if (modified == service.file.modified && bytes == service.file.bytes)
        return;
    std::ifstream stream{service.options.config_file, std::ios::binary};
    std::string const json{std::istreambuf_iterator<char>{stream}, {}};
    service.file.modified = modified;
    service.file.bytes = bytes;
    offer_document(service.adoption, json, "file", true);
}

/// Returns the time until the next read of the key: the read interval for a
/// watcher that has a configuration, otherwise an exponential backoff.
duration read_delay(state const& service)
{
    if (service.reading.watcher && service.adoption.in_force)
        return service.options.read_interval;
    auto const doublings = std::min(service.reading.failures, max_doublings);
    auto const delay = service.options.read_interval * (1U << doublings);
    return std::min(delay, service.options.max_read_interval);
}

/// Sends a conditional read of the key if one is due. The reply contains the
/// entry only if its modification revision differs from the last one received.
/// Only watchers, and routers without a configuration, read the key.
void read_key(state& service, context& ctx)
{
    bool const wanted = service.reading.watcher || !service.adoption.in_force;
    if (!wanted || service.reading.pending ||
        now(ctx) < service.reading.next_at)
        return;
    auto const& key = service.options.document_key;
    kv_transaction transaction{
        .conditions = {{.key = key,
                        .target = kv_compare_target::mod_revision,
                        .number = service.reading.mod_revision}},
        .on_failure = {{.action = kv_action::range, .key = key}}};
    run_kv_transaction call{
        .transaction = std::move(transaction),
        .timeout = service.options.call_timeout,
        .reply = [to = ctx.self](result<kv_transaction_reply> reply)
        { send(to, document_read_reply{std::move(reply)}); }};
    service.reading.pending = send(service.platform, std::move(call));
    service.reading.next_at = now(ctx) + read_delay(service);
}

/// Offers the document of an entry received from the platform. An entry
/// with creation revision 0 does not exist: the document was deleted. This is
/// reported, and the configuration in force stays.
void handle_entry(state& service, kv_entry const& entry)
{
    service.reading.mod_revision = entry.mod_revision;
    if (entry.create_revision == 0)
        report_ignored(service.adoption, 0,
                       "platform: the document was deleted (remedy: submit the "
                       "configuration in force again)");
    else
        offer_document(service.adoption, entry.value, "platform");
}

void handle(state& service, context& ctx, document_read_reply const& message)
{
    service.reading.pending = false;
    if (!message.reply)
    {
        ++service.reading.failures;
        service.reading.next_at = now(ctx) + read_delay(service);
        return;
    }
    service.reading.failures = 0;
    auto const& reply = message.reply.value();
    if (reply.succeeded || reply.ranges.empty())
        return;
    if (!reply.ranges.front().empty())
        handle_entry(service, reply.ranges.front().front());
    else
        handle_entry(service, {});
}

void handle(state& service, context&, document_entry_changed const& message)
{
    handle_entry(service, message.entry);
}

/// Starts or stops watching the key.
void set_watcher(state& service, context& ctx, bool watcher)
{
    if (watcher == service.reading.watcher)
        return;
    service.reading.watcher = watcher;
    auto const& key = service.options.document_key;
    if (!watcher)
    {
        send(service.platform, unwatch_kv_range{key});
        return;
    }
    send(service.platform,
         watch_kv_range{.key = key, .changed = [to = ctx.self](kv_entry entry) {
                            send(to, document_entry_changed{std::move(entry)});
                        }});
    service.reading.next_at = now(ctx);
}

/// Requests the configuration from a peer that advertises a newer version which
/// has not been found faulty, unless a request is open.
void fetch_from_peer(state& service, context& ctx)
{
    auto const known =
        std::max(version_in_force(service.adoption), service.faulty_version);
    if (auto const peer =
            decisions::select_peer(service.fetch, known, now(ctx)))
        send(service.link,
             fetch_config{.from = *peer,
                          .newer_than = version_in_force(service.adoption)});
}

/// Verifies the digest of a document that a peer sent and offers the document.
void handle_peer_document(state& service, document_received const& message)
{
    auto const source = "router " + message.from.value;
    auto const json = config::unseal(message.json);
    if (!json)
    {
        report_ignored(service.adoption, 0,
                       source + ": the digest does not match its document");
        return;
    }
    auto const result = offer_document(service.adoption, *json, source);
    if (result == offer_result::adopted)
        add(service.adoption.counters, counter::config_fetched_from_peer);
    // Every peer has the same document of this version, so it is not fetched
    // from another one.
    if (result == offer_result::faulty)
        service.faulty_version = std::max(
            service.faulty_version, service.fetch.peers[message.from].version);
}

void handle(state& service, context& ctx, document_received const& message)
{
    if (message.from.empty())
    {
        offer_document(service.adoption, message.json, "platform");
        return;
    }
    decisions::finish_request(service.fetch);
    handle_peer_document(service, message);
    fetch_from_peer(service, ctx);
}

void handle(state& service, context&, config_requested const& message)
{
    if (version_in_force(service.adoption) > message.newer_than)
        send(service.link, send_config{.to = message.requester,
                                       .json = service.adoption.sealed});
}

void handle(state& service, context& ctx,
            peer_version_advertised const& message)
{
    decisions::record_peer_version(service.fetch, message.peer,
                                   message.version);
    fetch_from_peer(service, ctx);
}

void handle(state& service, context& ctx, members_changed const& message)
{
    decisions::update_peers(service.fetch, *message.view);
    if (uses_platform(service))
        set_watcher(service, ctx, decisions::is_watcher(*message.view));
    fetch_from_peer(service, ctx);
}

void handle(state& service, context& ctx, drain_started const&)
{
    if (uses_platform(service))
        set_watcher(service, ctx, false);
}

void handle(state& service, context&, status_query const& message)
{
    auto const& identity = service.adoption.identity;
    nlohmann::json const status{
        {"version", version_in_force(service.adoption)},
        {"digest", identity ? identity->digest : ""},
        {"watcher", service.reading.watcher},
        {"read_failures", service.reading.failures},
        {"ignored", service.adoption.last_ignored_cause},
    };
    message.reply(status.dump());
}

/// Sends the counters to the metrics service at most once per interval.
void send_counters(state& service, time_point at)
{
    if (at < service.counters_sent_at + counters_interval)
        return;
    service.counters_sent_at = at;
    send(service.adoption.metrics,
         counters_added{std::exchange(service.adoption.counters, {})});
}

void handle(state& service, context& ctx, configuration_tick const&)
{
    if (uses_platform(service))
        read_key(service, ctx);
    else
        read_changed_file(service, now(ctx));
    fetch_from_peer(service, ctx);
    send_counters(service, now(ctx));
    schedule(ctx, service.options.tick, configuration_tick{});
}

void start(state& service, context& ctx)
{
    find_receivers(service.adoption, *ctx.names);
    service.link = service.adoption.receivers.link;
    service.platform =
        ctx.names->find<platform_message>(to_name(service_name::platform));
    service.fetch.self = service.options.self;
    service.fetch.options = service.options.fetch;
    service.counters_sent_at = now(ctx);
    handle(service, ctx, configuration_tick{});
}

void receive(state& service, context& ctx, configuration_message message)
{
    std::visit([&](auto const& alternative)
               { handle(service, ctx, alternative); },
               message);
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

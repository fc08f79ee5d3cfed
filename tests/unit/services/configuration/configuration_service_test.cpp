/// Tests of the configuration service with fakes of the platform, link, routing
/// and timeline services, on a clock that the test advances.
#include "config/document_json.hpp"
#include "config/sealed_document.hpp"
#include "kernel/kernel.hpp"
#include "services/configuration/configuration_service.hpp"
#include "services/messages/names.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <optional>
#include <random>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace std::chrono_literals;

namespace
{

config::document make_document(revision version, std::string domain = "a")
{
    config::document doc;
    doc.version = version;
    doc.domains = {{.id = {std::move(domain)}, .region = {"west"}}};
    return doc;
}

std::string json_of(config::document const& doc)
{
    return config::to_canonical_json(doc);
}

/// Platform with one key. Calls fail while `available` is false.
struct fake_platform
{
    kv_entry entry;
    bool available = true;
    int reads = 0;  ///< Number of transactions received.
    int ranges = 0; ///< Number of replies that contained a range.
    std::function<void(kv_entry)> changed; ///< Set while the key is watched.
    std::vector<run_kv_transaction> unanswered;
};

void platform_receive(fake_platform*& platform,
                      kernel::context<platform_message>&,
                      platform_message message)
{
    if (auto* const watch = std::get_if<watch_kv_range>(&message))
        platform->changed = watch->changed;
    if (std::get_if<unwatch_kv_range>(&message))
        platform->changed = nullptr;
    auto* const call = std::get_if<run_kv_transaction>(&message);
    if (!call)
        return;
    ++platform->reads;
    if (!platform->available)
    {
        call->reply(fail(error_kind::platform_unavailable, "down"));
        return;
    }
    kv_transaction_reply reply;
    reply.succeeded =
        call->transaction.conditions[0].number == platform->entry.mod_revision;
    if (!reply.succeeded)
    {
        ++platform->ranges;
        reply.ranges.emplace_back();
        if (platform->entry.create_revision != 0)
            reply.ranges[0].push_back(platform->entry);
    }
    call->reply(std::move(reply));
}

/// Link that records the messages that it is asked to send.
struct fake_link
{
    std::vector<fetch_config> fetches;
    std::vector<send_config> sent;
};

void link_receive(fake_link*& link, kernel::context<link_message>&,
                  link_message message)
{
    if (auto* const fetch = std::get_if<fetch_config>(&message))
        link->fetches.push_back(*fetch);
    if (auto* const sent = std::get_if<send_config>(&message))
        link->sent.push_back(*sent);
}

/// Routing service that records the configurations that it receives.
struct fake_routing
{
    std::vector<config_snapshot> adopted;
};

void routing_receive(fake_routing*& routing, kernel::context<routing_message>&,
                     routing_message message)
{
    if (auto* const changed = std::get_if<config_changed>(&message))
        routing->adopted.push_back(changed->config);
}

void timeline_receive(std::vector<event>*& events,
                      kernel::context<timeline_message>&,
                      timeline_message message)
{
    if (auto* const recorded = std::get_if<record_event>(&message))
        events->push_back(recorded->new_event);
}

template <class State, class Message>
kernel::service<State, Message>
make_fake(service_name name, State state,
          void (*receive)(State&, kernel::context<Message>&, Message))
{
    return {
        .name = std::string{to_name(name)}, .state = state, .receive = receive};
}

/// The configuration service and the fakes that it exchanges messages with.
struct fixture
{
    fake_platform platform;
    fake_link link;
    fake_routing routing;
    std::vector<event> events;
    kernel::kernel test_kernel{kernel::run_mode::stepped};
    kernel::address<configuration_message> configuration;

    void start(configuration_options options)
    {
        options.self = {"r1"};
        options.domain = {"a"};
        options.document_key = "config";
        configuration =
            test_kernel.add(make_configuration_service(std::move(options)));
        test_kernel.add(
            make_fake(service_name::platform, &platform, platform_receive));
        test_kernel.add(make_fake(service_name::link, &link, link_receive));
        test_kernel.add(
            make_fake(service_name::routing, &routing, routing_receive));
        test_kernel.add(
            make_fake(service_name::timeline, &events, timeline_receive));
        test_kernel.start();
        test_kernel.run_until_idle();
    }

    void start_with_platform()
    {
        start({.mode = config::platform_mode::etcd});
    }

    void store(config::document const& doc, std::int64_t mod_revision)
    {
        platform.entry = {.key = "config",
                          .value = json_of(doc),
                          .create_revision = 1,
                          .mod_revision = mod_revision,
                          .version = 1};
    }

    template <class Message>
    void deliver(Message message)
    {
        send(configuration, std::move(message));
        test_kernel.run_until_idle();
    }

    void set_members(std::vector<member> members)
    {
        auto view = std::make_shared<member_view>();
        view->self = {"r1"};
        view->self_domain = {"a"};
        view->members = std::move(members);
        deliver(members_changed{std::move(view)});
    }

    /// Makes this router the only one of its failure domain, which makes it a
    /// watcher.
    void make_watcher()
    {
        set_members({{.id = {"r1"}, .domain = {"a"}}});
    }

    [[nodiscard]] revision in_force() const
    {
        return routing.adopted.empty() ? 0 : routing.adopted.back()->version;
    }

    [[nodiscard]] int count(event_kind kind) const
    {
        return static_cast<int>(std::ranges::count(events, kind, &event::kind));
    }
};

document_received from_peer(config::document const& doc, std::string peer)
{
    return {.json = config::seal(json_of(doc)), .from = {std::move(peer)}};
}

/// Path in the temporary directory. The destructor removes the file.
struct temporary_file
{
    std::string path = std::filesystem::temp_directory_path() /
                       ("bramley_" + std::to_string(std::random_device{}()));

    void write(std::string const& text) const
    {
        std::ofstream{path} << text;
    }

    ~temporary_file()
    {
        std::remove(path.c_str());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_service, fixture)

BOOST_AUTO_TEST_CASE(document_of_the_platform_is_adopted_at_start)
{
    store(make_document(3), 10);
    start_with_platform();
    BOOST_TEST(in_force() == 3U);
    BOOST_TEST(count(event_kind::config_adopted) == 1);
}

BOOST_AUTO_TEST_CASE(stale_and_repeated_deliveries_are_ignored)
{
    store(make_document(3), 10);
    start_with_platform();
    for (revision const version : {2U, 3U, 1U})
        deliver(document_received{json_of(make_document(version)), {}});
    BOOST_TEST(routing.adopted.size() == 1U);
    deliver(document_received{json_of(make_document(5)), {}});
    deliver(document_received{json_of(make_document(4)), {}});
    BOOST_TEST(routing.adopted.size() == 2U);
    BOOST_TEST(in_force() == 5U);
}

BOOST_AUTO_TEST_CASE(same_version_with_other_content_is_reported)
{
    store(make_document(3), 10);
    start_with_platform();
    deliver(document_received{json_of(make_document(3, "b")), {}});
    BOOST_TEST(routing.adopted.size() == 1U);
    BOOST_TEST(count(event_kind::config_ignored) == 1);
}

BOOST_AUTO_TEST_CASE(lower_version_from_platform_is_ignored)
{
    store(make_document(7), 10);
    start_with_platform();
    make_watcher();
    store(make_document(4), 2); // Platform restored from an old backup.
    test_kernel.advance(10s);
    BOOST_TEST(in_force() == 7U);
    BOOST_TEST(count(event_kind::config_ignored) == 1);
    store(make_document(8), 3);
    test_kernel.advance(3s);
    BOOST_TEST(in_force() == 8U);
}

BOOST_AUTO_TEST_CASE(deleted_document_keeps_configuration_in_force)
{
    store(make_document(7), 10);
    start_with_platform();
    make_watcher();
    platform.entry = {};
    test_kernel.advance(5s);
    BOOST_TEST(in_force() == 7U);
    BOOST_TEST(count(event_kind::config_ignored) == 1);
}

BOOST_AUTO_TEST_CASE(invalid_document_is_ignored_and_reported_once)
{
    store(make_document(3), 10);
    start_with_platform();
    auto invalid = make_document(4);
    invalid.domains.push_back(invalid.domains[0]);
    deliver(document_received{json_of(invalid), {}});
    deliver(document_received{json_of(invalid), {}});
    deliver(document_received{"{", {}});
    BOOST_TEST(in_force() == 3U);
    BOOST_TEST(count(event_kind::config_ignored) == 2);
}

BOOST_AUTO_TEST_CASE(watcher_adopts_document_from_watch)
{
    store(make_document(3), 10);
    start_with_platform();
    BOOST_TEST(!platform.changed);
    make_watcher();
    BOOST_TEST_REQUIRE(static_cast<bool>(platform.changed));
    store(make_document(4), 11);
    platform.changed(platform.entry);
    test_kernel.run_until_idle();
    BOOST_TEST(in_force() == 4U);
}

BOOST_AUTO_TEST_CASE(watcher_with_silent_watch_adopts_document_from_read)
{
    store(make_document(3), 10);
    start_with_platform();
    make_watcher();
    store(make_document(4), 11);
    test_kernel.advance(2500ms);
    BOOST_TEST(in_force() == 4U);
    // A read of an unchanged entry returns no document.
    auto const ranges = platform.ranges;
    auto const reads = platform.reads;
    test_kernel.advance(20s);
    BOOST_TEST(platform.ranges == ranges);
    BOOST_TEST(platform.reads - reads <= 11);
}

BOOST_AUTO_TEST_CASE(router_that_is_no_watcher_does_not_read_platform)
{
    store(make_document(3), 10);
    start_with_platform();
    make_watcher();
    BOOST_TEST_REQUIRE(static_cast<bool>(platform.changed));
    std::vector<member> members;
    for (int i = 1; i <= 40; ++i)
        members.push_back({.id = {"r" + std::to_string(i)}, .domain = {"a"}});
    set_members(members);
    BOOST_TEST(!platform.changed);
    auto const reads = platform.reads;
    test_kernel.advance(20s);
    BOOST_TEST(platform.reads == reads);
}

BOOST_AUTO_TEST_CASE(higher_version_of_a_peer_is_fetched)
{
    store(make_document(3), 10);
    start_with_platform();
    deliver(peer_version_advertised{{"r2"}, 3});
    BOOST_TEST(link.fetches.empty());
    deliver(peer_version_advertised{{"r2"}, 5});
    BOOST_TEST_REQUIRE(link.fetches.size() == 1U);
    BOOST_TEST(link.fetches[0].from.value == "r2");
    BOOST_TEST(link.fetches[0].newer_than == 3U);
    deliver(from_peer(make_document(5), "r2"));
    BOOST_TEST(in_force() == 5U);
    test_kernel.advance(5s);
    BOOST_TEST(link.fetches.size() == 1U);
}

BOOST_AUTO_TEST_CASE(document_is_fetched_from_another_peer_after_timeout)
{
    start_with_platform();
    deliver(peer_version_advertised{{"r2"}, 5});
    deliver(peer_version_advertised{{"r3"}, 5});
    BOOST_TEST(link.fetches.size() == 1U);
    test_kernel.advance(1250ms);
    BOOST_TEST_REQUIRE(link.fetches.size() == 2U);
    BOOST_TEST(link.fetches[0].from.value != link.fetches[1].from.value);
}

BOOST_AUTO_TEST_CASE(document_with_wrong_digest_is_fetched_from_another_peer)
{
    start_with_platform();
    deliver(peer_version_advertised{{"r2"}, 5});
    deliver(peer_version_advertised{{"r3"}, 5});
    auto damaged = from_peer(make_document(5), link.fetches[0].from.value);
    damaged.json.back() = ' ';
    deliver(damaged);
    BOOST_TEST(in_force() == 0U);
    BOOST_TEST_REQUIRE(link.fetches.size() == 2U);
    BOOST_TEST(link.fetches[0].from.value != link.fetches[1].from.value);
    deliver(from_peer(make_document(5), link.fetches[1].from.value));
    BOOST_TEST(in_force() == 5U);
}

BOOST_AUTO_TEST_CASE(faulty_document_of_peers_is_not_fetched_again)
{
    start_with_platform();
    deliver(peer_version_advertised{{"r2"}, 5});
    deliver(document_received{config::seal("{}"), {"r2"}});
    test_kernel.advance(10s);
    BOOST_TEST(link.fetches.size() == 1U);
    deliver(peer_version_advertised{{"r2"}, 6});
    BOOST_TEST(link.fetches.size() == 2U);
}

BOOST_AUTO_TEST_CASE(router_started_during_platform_outage_fetches_from_peer)
{
    platform.available = false;
    store(make_document(9), 10);
    start_with_platform();
    test_kernel.advance(5s);
    BOOST_TEST(in_force() == 0U);
    set_members({{.id = {"r1"}, .domain = {"a"}},
                 {.id = {"r2"}, .domain = {"a"}, .config = 8}});
    BOOST_TEST_REQUIRE(link.fetches.size() == 1U);
    deliver(from_peer(make_document(8), "r2"));
    BOOST_TEST(in_force() == 8U);
    platform.available = true;
    test_kernel.advance(11s);
    BOOST_TEST(in_force() == 9U);
}

BOOST_AUTO_TEST_CASE(failing_reads_without_a_configuration_back_off)
{
    platform.available = false;
    start_with_platform();
    test_kernel.advance(100s);
    BOOST_TEST(platform.reads <= 15);
    BOOST_TEST(platform.reads >= 9);
}

BOOST_AUTO_TEST_CASE(peer_receives_only_newer_document)
{
    store(make_document(3), 10);
    start_with_platform();
    deliver(config_requested{{"r2"}, 3});
    BOOST_TEST(link.sent.empty());
    deliver(config_requested{{"r2"}, 2});
    BOOST_TEST_REQUIRE(link.sent.size() == 1U);
    BOOST_TEST(link.sent[0].to.value == "r2");
    auto const json = config::unseal(link.sent[0].json);
    BOOST_TEST_REQUIRE(json.has_value());
    BOOST_TEST(*json == json_of(make_document(3)));
}

BOOST_AUTO_TEST_CASE(domain_taken_out_and_returned_are_recorded)
{
    store(make_document(3), 10);
    start_with_platform();
    auto out = make_document(4);
    out.domains[0].state = config::domain_state::taken_out;
    deliver(document_received{json_of(out), {}});
    BOOST_TEST(count(event_kind::domain_taken_out) == 1);
    deliver(document_received{json_of(make_document(5)), {}});
    BOOST_TEST(count(event_kind::domain_returned) == 1);
}

BOOST_AUTO_TEST_CASE(embedded_mode_reads_the_file_and_its_changes)
{
    temporary_file const file;
    file.write(json_of(make_document(0)));
    start({.config_file = file.path});
    BOOST_TEST(in_force() == 1U);
    file.write(config::to_pretty_json(make_document(2)));
    test_kernel.advance(3s);
    BOOST_TEST(in_force() == 2U);
    file.write("{}");
    test_kernel.advance(3s);
    BOOST_TEST(in_force() == 2U);
    BOOST_TEST(count(event_kind::config_ignored) == 1);
}

BOOST_AUTO_TEST_CASE(embedded_mode_reads_file_created_after_start)
{
    temporary_file const file;
    start({.config_file = file.path});
    test_kernel.advance(10s);
    BOOST_TEST(in_force() == 0U);
    BOOST_TEST(count(event_kind::config_ignored) == 1);
    file.write(json_of(make_document(1)));
    test_kernel.advance(3s);
    BOOST_TEST(in_force() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

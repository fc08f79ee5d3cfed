/// Fixture for tests of the store service: a fake transport and codec, fake
/// services that record what they receive, and a stepped kernel with a manual
/// clock.
#pragma once

#include "../recorder.hpp"

#include "kernel/kernel.hpp"
#include "services/messages/names.hpp"
#include "services/store/store_service.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bramleyarch::test
{

using namespace bramleyarch::services;
using namespace std::chrono_literals;
using decisions::record_change;

/// Decoded responses; the body of a fake response is an index into them.
inline std::vector<record_batch>& decoded_responses()
{
    static std::vector<record_batch> responses;
    return responses;
}

inline result<record_batch> fake_decode(std::string_view body)
{
    return decoded_responses().at(std::stoul(std::string{body}));
}

/// Stored statuses; the body of a fake response is an index into them.
inline std::vector<decisions::stored_status>& decoded_statuses()
{
    static std::vector<decisions::stored_status> statuses;
    return statuses;
}

/// Fails for a body that is no index, as for a malformed response.
inline result<decisions::stored_status> fake_status(std::string_view body)
{
    if (body.empty() || body[0] < '0' || body[0] > '9')
        return fail(error_kind::platform_unavailable, "malformed");
    return decoded_statuses().at(std::stoul(std::string{body}));
}

inline store_request fake_request(std::string target)
{
    return {.method = "GET", .target = std::move(target)};
}

inline record_group fake_group_of(std::string_view key)
{
    return from_name<record_group>(key.substr(0, key.find('/')))
        .value_or(record_group::routers);
}

inline decisions::store_record fake_record(std::string_view key)
{
    std::string const name{key.substr(key.find('/') + 1)};
    switch (fake_group_of(key))
    {
    case record_group::servers:
        return decisions::server_entry{
            .server = {.id = {name}, .service = {"desk"}, .born = 1}};
    case record_group::routers:
        return decisions::listed_router{{name}, {"10.0.0.9", 7340}};
    case record_group::rules:
        if (name.starts_with("rollout-"))
            return config::rollout_order{
                .service = {name.substr(name.find('-') + 1)},
                .to_version = "v2",
                .length = 12s};
        break;
    }
    return decisions::domain_taken_out{{name}};
}

inline store_codec fake_codec()
{
    return {
        .group_of = fake_group_of,
        .encode_list =
            [](record_group group, std::string_view after,
               list_consistency consistency)
        {
            return fake_request(fmt::format(
                "list {} {}{}", to_name(group), after,
                consistency == list_consistency::allow_stale ? " stale" : ""));
        },
        .decode_list = fake_decode,
        .encode_watch =
            [](record_group group, revision after, duration wait)
        {
            return fake_request(fmt::format("watch {} {} {}", to_name(group),
                                            after, to_ms(wait)));
        },
        .decode_watch = fake_decode,
        .decode_era = [](std::vector<header_field> const& headers)
        { return std::uint64_t{find_header(headers, "era").size()}; },
        .encode_lease_grant = [](duration) { return fake_request("grant"); },
        .decode_lease_grant = [](std::string_view) -> result<std::uint64_t>
        { return 7; },
        .encode_lease_renewal = [](std::uint64_t)
        { return fake_request("renew"); },
        .encode_lease_revocation = [](std::uint64_t)
        { return fake_request("revoke"); },
        .encode_registration =
            [](decisions::listed_router const&, std::uint64_t)
        { return fake_request("register"); },
        .decode_removed_key = fake_record,
        .encode_order_read = [](service_id const& service)
        { return fake_request("order " + service.value); },
        .decode_order_read = fake_decode,
        .encode_status_read = [](service_id const& service)
        { return fake_request("read " + service.value); },
        .decode_status_read = fake_status,
        .encode_status_write =
            [](config::rollout_status const& status, revision expected)
        {
            return fake_request(fmt::format(
                "write {} {} {} {} if {}", status.service.value, status.order,
                status.to_version, to_name(status.state), expected));
        },
        .decode_status_write = [](std::string_view body) -> result<revision>
        { return std::stoull(std::string{body}); },
        .decode_status_conflict = fake_status};
}

struct store_fixture
{
    kernel::kernel runtime{kernel::run_mode::stepped};
    std::vector<http::client_request> requests; ///< All that were sent.
    std::vector<std::uint64_t> closed;          ///< IDs of abandoned requests.
    std::function<void(http::client_event)> deliver_event;
    std::shared_ptr<std::vector<peers_message>> peers =
        add_recorder<peers_message>(runtime, service_name::peers);
    std::shared_ptr<std::vector<routing_message>> routing =
        add_recorder<routing_message>(runtime, service_name::routing);
    kernel::address<store_message> store;
    std::size_t era = 0; ///< Of the store, in all of its responses.

    store_fixture()
    {
        decoded_responses().clear();
        decoded_statuses().clear();
        store = runtime.add(make_store_service(
            {.codec = fake_codec(),
             .self = {{"r1"}, {"10.0.0.1", 7340}},
             .transport = {
                 .open = [this](http::client_request request)
                 { requests.push_back(std::move(request)); },
                 .close = [this](std::uint64_t id) { closed.push_back(id); },
                 .subscribe =
                     [this](std::function<void(http::client_event)> handler)
                 { deliver_event = std::move(handler); }}}));
        runtime.start();
        runtime.run_until_idle();
    }

    /// Returns the number of requests whose target starts with `prefix`.
    std::size_t count(std::string_view prefix) const
    {
        return static_cast<std::size_t>(
            std::count_if(requests.begin(), requests.end(),
                          [&](auto const& request)
                          { return request.target.starts_with(prefix); }));
    }

    /// Returns the latest request whose target starts with `prefix`.
    http::client_request last(std::string_view prefix) const
    {
        auto const found =
            std::find_if(requests.rbegin(), requests.rend(),
                         [&](auto const& request)
                         { return request.target.starts_with(prefix); });
        BOOST_REQUIRE(found != requests.rend());
        return *found;
    }

    /// Returns the head of a response, which states the era `era`, if it is not
    /// 0, by the length of a header.
    http::response_head head_of(std::uint64_t id, int status) const
    {
        http::response_head head{.id = id, .status = status};
        if (era > 0)
            head.headers.push_back({"era", std::string(era, 'x')});
        return head;
    }

    /// Delivers a complete response to the latest request whose target starts
    /// with `prefix`. Its body has at least `size` bytes.
    void respond(std::string_view prefix, record_batch batch, int status = 200,
                 std::size_t size = 0)
    {
        auto const id = last(prefix).id;
        decoded_responses().push_back(std::move(batch));
        deliver_event(head_of(id, status));
        auto body = std::to_string(decoded_responses().size() - 1);
        // The decoder stops at the first space.
        body.resize(std::max(size, body.size()), ' ');
        deliver_event(http::response_bytes{id, std::move(body)});
        deliver_event(http::response_end{id});
        runtime.run_until_idle();
    }

    /// Delivers a complete response with this body.
    void respond_text(std::string_view prefix, int status, std::string body)
    {
        auto const id = last(prefix).id;
        deliver_event(head_of(id, status));
        deliver_event(http::response_bytes{id, std::move(body)});
        deliver_event(http::response_end{id});
        runtime.run_until_idle();
    }

    /// Responds with the status that the store holds: to a read (200), or to a
    /// write whose condition did not hold (412).
    void respond_stored(std::string_view prefix, int status,
                        decisions::stored_status stored)
    {
        decoded_statuses().push_back(std::move(stored));
        respond_text(prefix, status,
                     std::to_string(decoded_statuses().size() - 1));
    }

    /// Delivers the head of a response to the latest request whose target
    /// starts with `prefix`.
    void begin_response(std::string_view prefix, std::uint64_t length)
    {
        deliver_event(http::response_head{
            .id = last(prefix).id, .status = 200, .length = length});
        runtime.run_until_idle();
    }

    /// Lets the latest request whose target starts with `prefix` time out.
    void time_out(std::string_view prefix)
    {
        deliver_event(http::response_failed{
            .id = last(prefix).id,
            .cause = {error_kind::server_silent, "no response"}});
        runtime.run_until_idle();
    }

    /// Completes the start: rules and servers are listed at revision 10 and
    /// watched, this router is registered, and the routers are listed.
    void complete_start()
    {
        respond("list rules", {.as_of = 10});
        respond("list servers", {.changes = {change("servers/i-1", 8),
                                             change("servers/i-2", 9)},
                                 .as_of = 10});
        respond("grant", {});
        respond("register", {});
        respond("list routers",
                {.changes = {change("routers/r2", 5)}, .as_of = 10});
    }

    static record_change change(std::string const& key, revision changed)
    {
        return {.key = key, .changed = changed, .content = fake_record(key)};
    }

    static record_change removal(std::string const& key, revision changed)
    {
        return {.key = key,
                .changed = changed,
                .removed = true,
                .content = fake_record(key)};
    }

    /// Returns the number of servers in the last published deployment.
    std::size_t server_count() const
    {
        auto const published = received<deployment_changed>(*routing);
        return published.empty() ? 0
                                 : published.back().deployment->servers.size();
    }

    /// Returns the number of routers in the last published list.
    std::size_t router_count() const
    {
        auto const published = received<routers_listed>(*peers);
        return published.empty() ? 0 : published.back().routers.size();
    }
};

} // namespace bramleyarch::test

/// A store service over a fake transport and codec, between recording
/// services, on a stepped kernel with a paused clock.
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

/// Answers that bodies name by their position.
inline std::vector<record_batch>& prepared_answers()
{
    static std::vector<record_batch> answers;
    return answers;
}

inline result<record_batch> read_prepared(std::string_view body)
{
    return prepared_answers().at(std::stoul(std::string{body}));
}

inline store_request fake_call(std::string target)
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
        break;
    }
    return decisions::domain_taken_out{{name}};
}

inline store_codec fake_codec()
{
    return {
        .group_of = fake_group_of,
        .encode_list =
            [](record_group group, std::string_view after, list_consistency age)
        {
            return fake_call(fmt::format(
                "list {} {}{}", to_name(group), after,
                age == list_consistency::allow_stale ? " of any age" : ""));
        },
        .decode_list = read_prepared,
        .encode_watch =
            [](record_group group, revision after, duration wait)
        {
            return fake_call(fmt::format("watch {} {} {}", to_name(group),
                                         after, to_ms(wait)));
        },
        .decode_watch = read_prepared,
        .encode_lease_grant = [](duration) { return fake_call("grant"); },
        .decode_lease_grant = [](std::string_view) -> result<std::uint64_t>
        { return 7; },
        .encode_lease_renewal = [](std::uint64_t)
        { return fake_call("renew"); },
        .encode_lease_revocation = [](std::uint64_t)
        { return fake_call("end"); },
        .encode_registration = [](decisions::listed_router const&,
                                  std::uint64_t) { return fake_call("write"); },
        .decode_removed_key = fake_record};
}

struct store_bench
{
    kernel::kernel k{kernel::run_mode::stepped};
    std::vector<http::client_request> calls; ///< All that were made.
    std::vector<std::uint64_t> closed;
    std::function<void(http::client_event)> deliver;
    std::shared_ptr<std::vector<peers_message>> peers =
        add_recorder<peers_message>(k, service_name::peers);
    std::shared_ptr<std::vector<routing_message>> routing =
        add_recorder<routing_message>(k, service_name::routing);
    kernel::address<store_message> store;

    store_bench()
    {
        prepared_answers().clear();
        store = k.add(make_store_service(
            {.codec = fake_codec(),
             .self = {{"r1"}, {"10.0.0.1", 7340}},
             .transport = {
                 .open = [this](http::client_request request)
                 { calls.push_back(std::move(request)); },
                 .close = [this](std::uint64_t id) { closed.push_back(id); },
                 .subscribe =
                     [this](std::function<void(http::client_event)> take)
                 { deliver = std::move(take); }}}));
        k.start();
        k.run_until_idle();
    }

    /// Number of calls whose target begins with `text`.
    std::size_t count(std::string_view text) const
    {
        return static_cast<std::size_t>(std::count_if(
            calls.begin(), calls.end(),
            [&](auto const& call) { return call.target.starts_with(text); }));
    }

    /// The newest call whose target begins with `text`.
    http::client_request last(std::string_view text) const
    {
        auto const found = std::find_if(
            calls.rbegin(), calls.rend(),
            [&](auto const& call) { return call.target.starts_with(text); });
        BOOST_REQUIRE(found != calls.rend());
        return *found;
    }

    void answer(std::string_view text, record_batch changes, int status = 200)
    {
        auto const id = last(text).id;
        prepared_answers().push_back(std::move(changes));
        deliver(http::response_head{.id = id, .status = status});
        deliver(http::response_bytes{
            id, std::to_string(prepared_answers().size() - 1)});
        deliver(http::response_end{id});
        k.run_until_idle();
    }

    void lose(std::string_view text)
    {
        deliver(http::response_failed{
            .id = last(text).id,
            .cause = {error_kind::server_silent, "no answer"}});
        k.run_until_idle();
    }

    /// Both groups are listed as of revision 10 and watched; the router is
    /// listed.
    void settle()
    {
        answer("list rules", {.as_of = 10});
        answer("list servers",
               {.changes = {change("servers/i-1", 8), change("servers/i-2", 9)},
                .as_of = 10});
        answer("grant", {});
        answer("write", {});
        answer("list routers",
               {.changes = {change("routers/r2", 5)}, .as_of = 10});
    }

    static record_change change(std::string const& key, revision at)
    {
        return {.key = key, .changed = at, .content = fake_record(key)};
    }

    static record_change removal(std::string const& key, revision at)
    {
        return {.key = key,
                .changed = at,
                .removed = true,
                .content = fake_record(key)};
    }

    /// Servers of the last deployment that was published.
    std::size_t servers() const
    {
        auto const published = received<deployment_changed>(*routing);
        return published.empty() ? 0
                                 : published.back().deployment->servers.size();
    }

    /// Routers of the last list that was published.
    std::size_t routers() const
    {
        auto const published = received<routers_listed>(*peers);
        return published.empty() ? 0 : published.back().routers.size();
    }
};

} // namespace bramleyarch::test

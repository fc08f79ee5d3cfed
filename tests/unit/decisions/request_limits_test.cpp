/// Tests of limits that servers state on the requests of all routers together,
/// with whole fleets of routers.
#include "decisions/request_limits.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <set>
#include <string>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t run = 77; ///< Of the first server.
constexpr duration heartbeat_interval = 250ms;

struct router
{
    request_limits limits;
    bool is_alive = true;
    bool is_cut_off = false;
};

struct delayed_heartbeat
{
    std::size_t to = 0;
    time_point at{};
    std::vector<aged_server_limit> limits;
};

/// A server with a limit, and the requests that count for it.
struct limited_server
{
    /// Since when each router has read an answer with a limit.
    std::vector<std::optional<time_point>> first_read;
    /// Requests that routers sent half a second or more after that, within the
    /// last 4 s, which is what the rule counts.
    std::deque<time_point> counted;
    std::size_t most_counted = 0; ///< In any 4 s.
};

/// Routers that send far more requests than the servers take, and exchange
/// heartbeats, of which some are lost and all arrive in any order.
struct fleet
{
    std::mt19937_64 random{7};
    std::vector<router> routers;
    std::vector<limited_server> servers;
    std::vector<delayed_heartbeat> on_the_way;
    double loss = 0;
    std::optional<double> limit; ///< What each server states at present.
    std::size_t requests = 0;
    time_point at{1000s};
};

std::vector<router_id> all_but(std::size_t count, std::size_t index)
{
    std::vector<router_id> others;
    for (std::size_t i = 0; i < count; ++i)
        if (i != index)
            others.push_back({"r" + std::to_string(i)});
    return others;
}

/// Adds a router that knows `known` of all routers, itself included.
void add_router(fleet& f, std::size_t known)
{
    auto const index = f.routers.size();
    router added;
    added.limits.self = {"r" + std::to_string(index)};
    set_routers(added.limits, all_but(known, index));
    f.routers.push_back(std::move(added));
    for (auto& server : f.servers)
        server.first_read.emplace_back();
}

fleet make_fleet(std::size_t count, double limit, std::size_t servers = 1)
{
    fleet f{.limit = limit};
    f.servers.resize(servers);
    for (std::size_t i = 0; i < count; ++i)
        add_router(f, count);
    return f;
}

void count_request(fleet& f, std::size_t index, limited_server& server)
{
    ++f.requests;
    auto& read = server.first_read[index];
    if (read && f.at - *read >= 500ms && !f.routers[index].is_cut_off)
        server.counted.push_back(f.at);
    while (!server.counted.empty() && f.at - server.counted.front() > 4s)
        server.counted.pop_front();
    server.most_counted = std::max(server.most_counted, server.counted.size());
    if (f.limit && !read)
        read = f.at;
}

/// Sends a request of a router to the first server that accepts it, from a
/// random one on.
void try_to_send(fleet& f, std::size_t index)
{
    auto& limits = f.routers[index].limits;
    auto const first = f.random();
    for (std::size_t i = 0; i < f.servers.size(); ++i)
    {
        auto const server = (first + i) % f.servers.size();
        if (time_to_send(limits, run + server, f.at) != duration::zero())
            continue;
        record_send(limits, run + server, f.at);
        count_request(f, index, f.servers[server]);
        record_limit(limits, run + server, f.limit, f.at, f.at);
        return;
    }
}

std::size_t most_counted(fleet const& f)
{
    return std::ranges::max(f.servers, {}, &limited_server::most_counted)
        .most_counted;
}

void exchange_heartbeats(fleet& f)
{
    std::uniform_real_distribution<double> chance;
    std::uniform_int_distribution<std::size_t> any{0, f.routers.size() - 1};
    for (auto& from : f.routers)
    {
        if (!from.is_alive)
            continue;
        auto const limits = limits_to_send(from.limits, f.at);
        for (int i = 0; i < 16; ++i)
            if (chance(f.random) >= f.loss)
                f.on_the_way.push_back(
                    {.to = any(f.random),
                     .at = f.at + std::chrono::milliseconds{f.random() % 400},
                     .limits = limits});
    }
}

void deliver_heartbeats(fleet& f)
{
    for (auto const& arriving : f.on_the_way)
        if (arriving.at <= f.at && !f.routers[arriving.to].is_cut_off)
            record_limits(f.routers[arriving.to].limits, arriving.limits, f.at);
    std::erase_if(f.on_the_way, [&f](delayed_heartbeat const& arriving)
                  { return arriving.at <= f.at; });
}

/// Lets time pass while each router tries to send `per_s` requests a second.
void run_for(fleet& f, duration time, double per_s)
{
    constexpr duration step = 10ms;
    std::uniform_real_distribution<double> chance;
    auto const end = f.at + time;
    for (int i = 0; f.at < end; ++i)
    {
        f.at += step;
        deliver_heartbeats(f);
        if (i % (heartbeat_interval / step) == 0)
            exchange_heartbeats(f);
        for (std::size_t r = 0; r < f.routers.size(); ++r)
        {
            auto due = f.routers[r].is_alive ? per_s * 0.01 : 0;
            for (; chance(f.random) < due; due -= 1)
                try_to_send(f, r);
        }
    }
}

std::size_t allowed_in_4_s(double limit)
{
    return static_cast<std::size_t>(1.5 * 4 * limit + 5);
}

std::size_t count_aware(fleet const& f)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(f.routers, [](router const& r)
                              { return limit_of(r.limits, run).has_value(); }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_request_limits)

// Guards against routers that together exceed what a server takes, in fleets of
// all sizes, with limits far below and above one request for each router, and
// with lost, late and reordered heartbeats.
BOOST_AUTO_TEST_CASE(all_routers_together_keep_within_a_limit)
{
    constexpr std::size_t servers = 20;
    constexpr duration time = 20s;
    for (std::size_t const routers : {1, 3, 8, 80, 300})
        for (double const limit : {0.3, 2.0, 9.0, 60.0})
            for (double const loss : {0.0, 0.5})
            {
                auto f = make_fleet(routers, limit, servers);
                f.loss = loss;
                auto const accepted = servers * limit;
                run_for(f, time, 8 * accepted / static_cast<double>(routers));
                BOOST_TEST_CONTEXT("routers " << routers << " limit " << limit
                                              << " loss " << loss)
                {
                    BOOST_TEST(most_counted(f) <= allowed_in_4_s(limit));
                    // The servers get most of what they take.
                    BOOST_TEST(static_cast<double>(f.requests) >=
                               0.6 * accepted * 20);
                }
            }
}

// Guards against a limit that routers without an answer of their own do not
// know: in a large fleet each of them rarely sends to one server.
BOOST_AUTO_TEST_CASE(all_routers_know_a_limit_within_seconds)
{
    for (std::size_t const routers : {8, 80, 300})
    {
        auto f = make_fleet(routers, 5);
        f.loss = 0.2;
        record_limit(f.routers[0].limits, run, 5, f.at, f.at);
        run_for(f, 3s, 0);
        BOOST_TEST(count_aware(f) == routers);
        // The end is known as soon.
        record_limit(f.routers[1].limits, run, std::nullopt, f.at, f.at);
        run_for(f, 3s, 0);
        BOOST_TEST(count_aware(f) == 0U);
    }
}

// Guards against an excess while routers are added, or are cut off from the
// others, and after they have restarted without what they knew.
BOOST_AUTO_TEST_CASE(limit_holds_while_the_fleet_changes)
{
    for (std::size_t const routers : {8, 80, 300})
    {
        auto f = make_fleet(routers, 4);
        auto const per_router = 16.0 / static_cast<double>(routers);
        run_for(f, 6s, per_router);
        // One in eight starts again, under other names, and is not known yet.
        auto const restarted = routers / 8;
        for (std::size_t i = 0; i < restarted; ++i)
        {
            f.routers[i].is_alive = false;
            add_router(f, routers + restarted);
        }
        run_for(f, 6s, per_router);
        for (std::size_t i = 0; i < f.routers.size(); ++i)
            set_routers(f.routers[i].limits, all_but(f.routers.size(), i));
        // A third is cut off. What they send is excused, but the others do not
        // make up for it.
        for (std::size_t i = 0; i < f.routers.size(); i += 3)
            f.routers[i].is_cut_off = true;
        run_for(f, 6s, per_router);
        BOOST_TEST(most_counted(f) <= allowed_in_4_s(4));
    }
}

// Guards against an excess when a server lowers its limit, and against a limit
// that stays low when it is raised.
BOOST_AUTO_TEST_CASE(changed_limit_holds)
{
    auto f = make_fleet(8, 20);
    run_for(f, 10s, 10);
    // As with the first one, a router is bound by the new limit half a second
    // after it has read an answer with it.
    f.limit = 2;
    f.servers[0] = {};
    f.servers[0].first_read.resize(f.routers.size());
    run_for(f, 10s, 10);
    BOOST_TEST(most_counted(f) <= allowed_in_4_s(2));
    f.limit = 20;
    // Each router notices with its next request.
    run_for(f, 5s, 10);
    f.requests = 0;
    run_for(f, 10s, 10);
    BOOST_TEST(f.requests >= 150U);
}

// Guards against a server that no router asks any more, so that none notices
// that it takes requests again.
BOOST_AUTO_TEST_CASE(server_that_takes_nothing_is_asked_now_and_then)
{
    auto f = make_fleet(8, 0);
    run_for(f, 40s, 10);
    BOOST_TEST(most_counted(f) <= 5U);
    BOOST_TEST(f.requests >= 5U);
    f.limit = std::nullopt;
    run_for(f, 20s, 10);
    BOOST_TEST(count_aware(f) == 0U);
}

// Guards against statements that a heartbeat carries late: an old limit must
// not replace a new one or its end.
BOOST_AUTO_TEST_CASE(older_statement_is_ignored)
{
    request_limits limits;
    time_point const at{1000s};
    record_limit(limits, run, 8, at, at);
    record_limits(limits, {{run, true, 2, 500}}, at + 100ms);
    BOOST_TEST(limit_of(limits, run).value() == 8);
    BOOST_TEST((record_limit(limits, run, std::nullopt, at + 1s, at + 2s) ==
                limit_change::ended));
    record_limits(limits, {{run, true, 2, 2000}}, at + 2s);
    BOOST_TEST(!limit_of(limits, run));
    record_limits(limits, {{run, true, 2, 500}}, at + 2s);
    BOOST_TEST(limit_of(limits, run).value() == 2);
    // No router sends these.
    record_limits(limits, {{run, true, -1, 0}, {run, true, NAN, 0}}, at + 2s);
    BOOST_TEST(limit_of(limits, run).value() == 2);
}

// Guards against limits of servers that are gone, and of heartbeats with any
// number of them, which fill the memory.
BOOST_AUTO_TEST_CASE(limits_expire_and_are_bounded)
{
    request_limits limits;
    time_point const at{1000s};
    for (std::uint64_t i = 1; i < 10'000; ++i)
        record_limit(limits, i, 1, at, at);
    BOOST_TEST(count_limited(limits) == 2000U);
    remove_expired(limits, at + 9min);
    BOOST_TEST(count_limited(limits) == 2000U);
    record_limit(limits, 1, std::nullopt, at + 9min, at + 9min);
    remove_expired(limits, at + 10min);
    BOOST_TEST(limits.by_run.empty());
}

// Guards against limits that a heartbeat has no place for in any round.
BOOST_AUTO_TEST_CASE(heartbeats_carry_all_limits_in_turn)
{
    request_limits limits;
    time_point const at{1000s};
    for (std::uint64_t i = 1; i <= 20; ++i)
        record_limit(limits, i, 1, at, at);
    std::set<std::uint64_t> sent;
    for (int round = 0; round < 3; ++round)
    {
        auto const next = limits_to_send(limits, at);
        BOOST_TEST(next.size() == max_limits_per_heartbeat);
        for (auto const& limit : next)
            sent.insert(limit.run);
    }
    BOOST_TEST(sent.size() == 20U);
}

BOOST_AUTO_TEST_SUITE_END()

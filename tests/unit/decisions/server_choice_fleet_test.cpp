/// Simulation of fleets whose servers state their pace, each under the load
/// that the choice by expected work answers. Routers know loads from reports
/// that are up to 600 ms old, and a fifth of the heartbeats is lost. A server
/// reads prompts one after the other; meanwhile its streams stand still.
#include "common/digest.hpp"
#include "decisions/hot_prompt.hpp"
#include "decisions/server_choice.hpp"
#include "decisions/server_model.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

constexpr duration step = 5ms;
constexpr std::size_t steps_per_round = 50; // 250 ms, as in the entry service.
constexpr std::size_t max_lag_steps = 120;  // 600 ms.
constexpr std::size_t steps = 1600;         // 8 s.
constexpr std::size_t warm_up_steps = 400;
constexpr std::size_t targets_per_round = 16;
constexpr double requests_per_step = 0.04; // 8 requests/s of each router.
constexpr std::uint32_t slots = 64;
constexpr double tokens_per_ms = 50;
// Of the 500 ms that callers allow between events, less the usual gap.
constexpr double longest_stall_ms = 400;
time_point const start{1000s};

/// The load of a fleet.
struct fleet_load
{
    std::string name;
    double long_share = 0.02; ///< Requests with 10,000 own prompt tokens.
    double prefix_share = 0.6;
    double hot_share = 0;  ///< Requests with the same prefix.
    double slow_share = 0; ///< Of the servers.
    double slow_pace = 1;
    std::size_t steps_per_pace = steps; ///< Until other servers are slow.
    bool one_starts_idle = false;       ///< A server is added at half time.
};

struct figures
{
    double late = 0;       ///< Fraction of streams with a gap that is too long.
    double first_ms = 0;   ///< 99th percentile of the first event.
    double over_limit = 0; ///< Fraction of requests beyond the limit.
    std::size_t rush = 0;  ///< Most requests at one server within 250 ms.
};

struct stream
{
    std::size_t end = 0; ///< Step.
    bool late = false;
};

struct simulated_server
{
    std::uint64_t hash = 0;
    std::vector<stream> streams;
    std::set<std::uint64_t> cached;
    double busy_since_ms = 0;
    double busy_until_ms = 0;
    std::size_t round_requests = 0;
};

/// The first event of an answer, with the report of its server.
struct first_event
{
    std::size_t router = 0;
    std::size_t server = 0;
    double tokens = 0;
    server_report report;
};

struct simulated_router
{
    server_model model;
    std::vector<double> loads;  ///< As reported, and sent since.
    std::vector<double> unread; ///< Tokens of this router's requests.
};

struct fleet
{
    fleet_load load;
    bool by_work = false;
    std::mt19937_64 random{11};
    std::vector<simulated_server> servers;
    std::vector<simulated_router> routers;
    std::deque<std::vector<double>> history; ///< Loads of the last steps.
    std::vector<std::vector<first_event>> events;
    std::vector<double> first_times;
    std::size_t streams = 0, late = 0, sent = 0, over_limit = 0, rush = 0;

    fleet(fleet_load simulated, std::size_t router_count, bool use_work)
        : load(std::move(simulated)), by_work(use_work),
          servers(router_count * 9 / 8), routers(router_count),
          events(steps + 1)
    {
        for (std::size_t i = 0; i < servers.size(); ++i)
            servers[i].hash = name_hash("server-" + std::to_string(i));
        for (auto& router : routers)
        {
            router.loads.resize(servers.size());
            router.unread.resize(servers.size());
        }
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<>{}(random) < share;
    }

    double pace(std::size_t server, std::size_t at) const
    {
        auto const draw = mix(servers[server].hash, at / load.steps_per_pace);
        // The preferred server of the hot prompt is slow at first.
        bool const is_hot = load.hot_share > 0 && server == hot_server();
        return is_hot ||
                       static_cast<double>(draw % 1000) < load.slow_share * 1000
                   ? load.slow_pace
                   : 1;
    }

    std::size_t hot_server() const
    {
        auto const found = std::ranges::max_element(
            servers, {},
            [](auto const& server)
            { return prefix_weight({.key = 1}, server.hash); });
        return static_cast<std::size_t>(found - servers.begin());
    }

    void end_streams(std::size_t at)
    {
        for (auto& server : servers)
            std::erase_if(server.streams,
                          [&](stream const& each)
                          {
                              if (each.end > at)
                                  return false;
                              if (at > warm_up_steps)
                              {
                                  ++streams;
                                  late += each.late;
                              }
                              return true;
                          });
        std::vector<double> loads;
        for (auto const& server : servers)
            loads.push_back(static_cast<double>(server.streams.size()));
        history.push_front(std::move(loads));
        if (history.size() > max_lag_steps)
            history.pop_back();
    }

    void receive_first_events(std::size_t at)
    {
        for (auto const& event : events[at])
        {
            auto& router = routers[event.router];
            router.unread[event.server] -= event.tokens;
            record_report(router.model, servers[event.server].hash,
                          event.report, start + step * at);
        }
    }

    void exchange(std::size_t from, std::size_t at)
    {
        constexpr double loss = 0.2;
        auto const now = start + step * at;
        auto& router = routers[from];
        remove_expired(router.model, now);
        if (!chance(loss))
            router.loads = history[random() % history.size()];
        auto const paces = paces_to_send(router.model, now);
        for (std::size_t i = 0; i < targets_per_round; ++i)
        {
            auto& to = routers[random() % routers.size()];
            for (auto const& each : paces)
                if (&to != &router && !chance(loss))
                    record_peer_pace(to.model, each, now);
        }
    }

    std::vector<server_candidate> candidates(simulated_router const& router,
                                             std::size_t at) const
    {
        std::vector<server_candidate> found;
        for (std::size_t i = 0; i < servers.size(); ++i)
        {
            if (i == 0 && load.one_starts_idle && at < steps / 2)
                continue;
            auto const now = start + step * at;
            auto const hash = servers[i].hash;
            found.push_back(
                {.hash = hash,
                 .load = router.loads[i],
                 .slots = slots,
                 .own_domain = true,
                 .pace = pace_at(router.model, hash, now).percent / 100,
                 .expected_load =
                     load_at(router.model, hash, router.loads[i], now),
                 .unread_tokens = router.unread[i]});
        }
        return found;
    }

    /// Lets a server read a prompt; returns the time of the first event in ms.
    double read(simulated_server& server, double tokens, double pace_now,
                double now_ms)
    {
        if (server.busy_until_ms <= now_ms)
            server.busy_since_ms = server.busy_until_ms = now_ms;
        server.busy_until_ms += pace_now * tokens / tokens_per_ms;
        if (server.busy_until_ms - server.busy_since_ms > longest_stall_ms)
            for (auto& each : server.streams)
                each.late = true;
        return server.busy_until_ms - now_ms;
    }

    void submit(std::size_t from, std::size_t at)
    {
        auto& router = routers[from];
        bool const is_hot = chance(load.hot_share);
        std::optional<shared_prefix> prefix;
        expected_work work{.answer_tokens = 200, .gap_target = 500ms};
        work.prompt_tokens = chance(load.long_share) ? 10'000 : 130;
        auto const mean =
            std::accumulate(router.loads.begin(), router.loads.end(), 0.0) /
            static_cast<double>(servers.size());
        server_choice_options const options;
        if (is_hot || chance(load.prefix_share))
        {
            prefix = {.key = is_hot ? 1 : 2 + random() % (4 * servers.size()),
                      .tokens = 3000};
            work.prompt_tokens += prefix->tokens;
            prefix->replicas =
                replica_count(is_hot ? load.hot_share : 0,
                              mean * static_cast<double>(servers.size()),
                              load_bound(mean, options) - mean, {});
        }
        auto const found = candidates(router, at);
        auto const draw = random();
        auto const choice =
            by_work ? select_server_by_work(found, mean, prefix, work, options,
                                            {}, draw)
                    : select_server(found, mean, prefix, options, draw);
        auto const index = static_cast<std::size_t>(
            std::ranges::find(servers, found[choice->index].hash,
                              &simulated_server::hash) -
            servers.begin());
        auto& server = servers[index];
        // The first reader of a prefix reads it; others copy it.
        auto tokens = work.prompt_tokens - (prefix ? prefix->tokens : 0.0);
        if (prefix && server.cached.insert(prefix->key).second)
            tokens += choice->cause == choice_cause::preferred
                          ? prefix->tokens
                          : 250 + 0.1 * prefix->tokens;
        auto const now_ms = 5.0 * static_cast<double>(at);
        auto const pace_now = pace(index, at);
        auto const first = read(server, tokens, pace_now, now_ms);
        auto const first_step =
            std::min(steps, at + 1 + static_cast<std::size_t>(first / 5));
        router.loads[index] += 1;
        router.unread[index] += tokens;
        server.streams.push_back({.end = first_step + 200 + random() % 800});
        ++server.round_requests;
        events[first_step].push_back(
            {from,
             index,
             tokens,
             {.running = static_cast<std::uint32_t>(server.streams.size()),
              .slots = slots,
              .pace_percent =
                  static_cast<std::uint32_t>(100 * pace(index, first_step))}});
        if (at <= warm_up_steps)
            return;
        ++sent;
        first_times.push_back(first);
        double total = 0;
        for (auto const& each : servers)
            total += static_cast<double>(each.streams.size());
        over_limit += static_cast<double>(server.streams.size()) >
                      2 * total / static_cast<double>(servers.size()) + 3;
    }

    figures run()
    {
        for (std::size_t at = 0; at < steps; ++at)
        {
            end_streams(at);
            receive_first_events(at);
            if (at % steps_per_round == 0)
                for (auto& server : servers)
                    rush =
                        std::max(rush, std::exchange(server.round_requests, 0));
            for (std::size_t i = 0; i < routers.size(); ++i)
            {
                if ((at + 7 * i) % steps_per_round == 0)
                    exchange(i, at);
                if (chance(requests_per_step))
                    submit(i, at);
            }
        }
        std::ranges::sort(first_times);
        return {.late = static_cast<double>(late) /
                        static_cast<double>(std::max<std::size_t>(streams, 1)),
                .first_ms = first_times[first_times.size() * 99 / 100],
                .over_limit =
                    static_cast<double>(over_limit) / static_cast<double>(sent),
                .rush = rush};
    }
};

struct comparison
{
    figures today;
    figures by_work;
};

comparison compare(fleet_load const& load, std::size_t routers)
{
    comparison const found{fleet{load, routers, false}.run(),
                           fleet{load, routers, true}.run()};
    for (auto const& [name, each] :
         {std::pair{"today", found.today}, std::pair{"by work", found.by_work}})
        BOOST_TEST_MESSAGE(fmt::format(
            "{}, {} routers, {}: late {:.2f}%, first event {:.0f} ms, over "
            "limit {:.2f}%, most in 250 ms {}",
            load.name, routers, name, 100 * each.late, each.first_ms,
            100 * each.over_limit, each.rush));
    return found;
}

constexpr std::size_t fleet_sizes[]{8, 80, 300};

} // namespace

BOOST_AUTO_TEST_SUITE(decisions_server_choice_fleet)

// All routers read that a new server is idle; they must not all send it their
// requests until its load is known.
BOOST_AUTO_TEST_CASE(routers_do_not_converge_on_a_server_that_looks_idle)
{
    constexpr std::size_t most_in_a_round = 20; // The mean is 2.
    for (auto const size : fleet_sizes)
    {
        auto const found = compare({.name = "a server starts",
                                    .prefix_share = 0,
                                    .one_starts_idle = true},
                                   size);
        BOOST_TEST(found.by_work.rush <= most_in_a_round);
        BOOST_TEST(found.by_work.over_limit <= 0.001);
    }
}

// Long prompts that are read one after the other at the same server delay all
// of its streams.
BOOST_AUTO_TEST_CASE(long_prompts_delay_fewer_streams)
{
    for (auto const size : fleet_sizes)
    {
        auto const found = compare(
            {.name = "long beside short prompts", .long_share = 0.08}, size);
        BOOST_TEST(found.by_work.late <= 0.9 * found.today.late);
        BOOST_TEST(found.by_work.over_limit <= 0.001);
    }
}

// Machines that stay slow must get fewer long prompts, and the others not more
// requests than the limit allows.
BOOST_AUTO_TEST_CASE(a_third_of_the_servers_is_slow)
{
    for (auto const size : fleet_sizes)
    {
        auto const found = compare(
            {.name = "a third is slow", .slow_share = 0.33, .slow_pace = 3},
            size);
        BOOST_TEST(found.by_work.late <= 0.6 * found.today.late);
        BOOST_TEST(found.by_work.over_limit <= 0.001);
    }
}

// A pace that changes before all routers know it must still help, and must not
// set off swings of the load.
BOOST_AUTO_TEST_CASE(paces_change_every_600_ms)
{
    for (auto const size : fleet_sizes)
    {
        auto const found = compare({.name = "paces change",
                                    .slow_share = 0.15,
                                    .slow_pace = 2.5,
                                    .steps_per_pace = 600ms / step},
                                   size);
        BOOST_TEST(found.by_work.late <= 0.85 * found.today.late);
        BOOST_TEST(found.by_work.over_limit <= 0.001);
    }
}

// The requests of a hot prompt must not all wait for its slow server.
BOOST_AUTO_TEST_CASE(a_hot_prompt_prefers_a_slow_server)
{
    for (auto const size : fleet_sizes)
    {
        auto const found = compare(
            {.name = "hot prompt", .hot_share = 0.3, .slow_pace = 3}, size);
        BOOST_TEST(found.by_work.late <= 0.9 * found.today.late);
        BOOST_TEST(found.by_work.over_limit <= 0.002);
    }
}

BOOST_AUTO_TEST_SUITE_END()

/// Simulation of fleets whose routers repeat the crashes of refused requests:
/// when a router that has restarted refuses them too. One step is one round of
/// heartbeats.
#include "common/digest.hpp"
#include "decisions/crash_history.hpp"
#include "decisions/remote_loads.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

constexpr duration round_time = 250ms;
constexpr std::size_t rounds_per_repeat = 4; // As in the entry service.
constexpr double datagram_loss = 0.05;
constexpr std::uint64_t refused_requests = 8;
time_point const crashed_at{1000s};

struct router
{
    std::size_t domain = 0;
    heartbeat_rotation rotation;
    crash_history history;
    std::size_t first_repeat = 0; ///< Round of its first repetition.
};

/// A fleet all of whose routers refuse the requests, but for the first one,
/// which has restarted.
struct fleet
{
    fleet(std::size_t size, std::size_t domains, std::size_t max_repeated)
        : routers(size)
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            auto& made = routers[i];
            made.domain = i % domains;
            made.first_repeat = random() % rounds_per_repeat;
            made.history.options.max_repeated = max_repeated;
            stagger(made.rotation, mix(i, size));
            for (std::size_t other = 0; other < size; ++other)
            {
                auto& targets = other % domains == made.domain
                                    ? made.rotation.own_domain
                                    : made.rotation.other_domains;
                if (other != i)
                    targets.push_back({std::to_string(other)});
            }
        }
        for (std::size_t i = 1; i < size; ++i)
        {
            for (std::uint64_t request = 1; request <= refused_requests;
                 ++request)
                crash_three_servers(routers[i].history, request);
        }
    }

    std::mt19937_64 random{5};
    std::vector<router> routers;

    static void crash_three_servers(crash_history& history,
                                    std::uint64_t request)
    {
        for (std::uint64_t server = 1; server <= 3; ++server)
            record_crash(history, {request, server, crashed_at});
    }

    bool is_lost()
    {
        return std::uniform_real_distribution<>{0, 1}(random) < datagram_loss;
    }

    void play_round(std::size_t round, time_point at)
    {
        for (std::size_t i = 1; i < routers.size(); ++i)
        {
            auto& sender = routers[i];
            auto const targets = next_heartbeat_targets(sender.rotation, {});
            if (round % rounds_per_repeat != sender.first_repeat)
                continue;
            auto const crashes = crashes_to_repeat(sender.history, at);
            router_id const restarted{"0"};
            bool const is_target =
                std::ranges::count(targets.own_domain, restarted) > 0 ||
                std::ranges::count(targets.other_domains, restarted) > 0;
            if (!is_target || is_lost())
                continue;
            for (auto const& crash : crashes)
                record_crash(routers[0].history, crash);
        }
    }

    /// Returns the time until the restarted router refuses all requests, or
    /// std::nullopt if it does not within `limit`.
    std::optional<duration> time_until_refused(duration limit)
    {
        auto const start = crashed_at + 20s;
        duration passed{};
        for (std::size_t round = 0; passed < limit; ++round)
        {
            passed += round_time;
            play_round(round, start + passed);
            bool all = true;
            for (std::uint64_t request = 1; request <= refused_requests;
                 ++request)
                all = all && should_refuse(routers[0].history, request,
                                           start + passed);
            if (all)
                return passed;
        }
        return std::nullopt;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_history_fleets)

// Guards against a number of heartbeats that fits one size of fleet: a router
// has to refuse the requests once it is in touch, 3 s after its start.
BOOST_AUTO_TEST_CASE(restarted_router_learns_refused_requests_in_any_fleet)
{
    constexpr duration in_touch = 3s;
    for (auto const& [size, domains] :
         {std::pair<std::size_t, std::size_t>{2, 1},
          {8, 3},
          {80, 3},
          {300, 5},
          {1000, 9}})
    {
        auto const max_repeated = crash_history_options{}.max_repeated;
        auto const taken =
            fleet{size, domains, max_repeated}.time_until_refused(in_touch);
        BOOST_TEST(taken.has_value(), size << " routers");
        if (taken)
            BOOST_TEST_MESSAGE(size << " routers: " << to_ms(*taken) << " ms");
        // The fleet would not tell it by other means.
        BOOST_TEST(
            !fleet(size, domains, 0).time_until_refused(in_touch).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

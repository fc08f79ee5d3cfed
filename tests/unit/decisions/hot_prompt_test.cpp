/// Tests of the detection and distribution of hot prompts.
#include "decisions/hot_prompt.hpp"

#include "common/digest.hpp"
#include "decisions/server_choice.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <vector>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

time_point const start{100s};

/// Simulates a fleet whose routers learn each other's loads late. Returns the
/// fraction of the requests that are sent to a server above the limit.
double share_over_limit(bool distribute_hot_prompts)
{
    constexpr std::size_t routers = 64;
    constexpr std::size_t servers = 140;
    constexpr std::size_t max_running = 420;
    constexpr int requests = 16'000;
    // Half a second at 700 requests per second.
    constexpr int requests_per_report = 350;
    constexpr int hot_from = requests / 4;
    std::mt19937_64 random{3};
    std::vector<server_candidate> reported;
    for (std::size_t i = 0; i < servers; ++i)
        reported.push_back(
            {.hash = name_hash("server-" + std::to_string(i)), .slots = 32});
    std::vector<double> load(servers);
    std::vector<std::vector<double>> own(routers, std::vector<double>(servers));
    std::vector<recent_prompts> recent(routers);
    struct request
    {
        std::size_t router = 0;
        std::size_t server = 0;
    };
    std::vector<request> running;
    int over_limit = 0;
    auto at = start;
    for (int i = 0; i < requests; ++i, at += 1'400us)
    {
        auto const router = random() % routers;
        bool const hot = i > hot_from && random() % 7 == 0;
        shared_prefix prefix{.key = hot ? 1 : 2 + random() % 700,
                             .tokens = 10'000};
        auto const total = static_cast<double>(running.size());
        auto const mean = total / servers;
        record_prompt(recent[router], prefix.key, at);
        if (distribute_hot_prompts)
            prefix.replicas =
                replica_count(request_share(recent[router], prefix.key, at, {}),
                              total, load_bound(mean, {}) - mean, {});
        auto const index =
            select_server(reported, mean, prefix, {}, random())->index;
        if (i > hot_from && load[index] > 2 * mean + 3)
            ++over_limit;
        load[index] += 1;
        running.push_back({router, index});
        if (running.size() > max_running)
        {
            auto const ended = random() % running.size();
            load[running[ended].server] -= 1;
            running[ended] = running.back();
            running.pop_back();
        }
        if (i % requests_per_report == 0)
        {
            for (std::size_t s = 0; s < servers; ++s)
                reported[s].load = load[s];
        }
    }
    return static_cast<double>(over_limit) / (requests - hot_from);
}

} // namespace

BOOST_AUTO_TEST_SUITE(hot_prompts)

BOOST_AUTO_TEST_CASE(a_prompt_with_few_requests_is_not_hot)
{
    recent_prompts recent;
    for (std::uint64_t prompt = 0; prompt < 40; ++prompt)
        record_prompt(recent, prompt, start);
    record_prompt(recent, 7, start);
    BOOST_TEST(request_share(recent, 7, start, {}) == 0);
    BOOST_TEST(request_share(recent, 99, start, {}) == 0);
}

BOOST_AUTO_TEST_CASE(a_prompt_is_not_hot_after_the_window)
{
    recent_prompts recent;
    for (int i = 0; i < 20; ++i)
        record_prompt(recent, 7, start);
    BOOST_TEST(request_share(recent, 7, start, {}) > 0.5);
    for (std::uint64_t prompt = 100; prompt < 140; ++prompt)
        record_prompt(recent, prompt, start + 6s);
    BOOST_TEST(request_share(recent, 7, start + 6s, {}) == 0);
}

BOOST_AUTO_TEST_CASE(only_the_latest_requests_count)
{
    recent_prompts recent;
    for (std::uint64_t i = 0; i < 1000; ++i)
        record_prompt(recent, i % 4 == 0 ? 7 : i, start);
    auto const share = request_share(recent, 7, start, {});
    BOOST_TEST((share > 0.2 && share < 0.3));
}

BOOST_AUTO_TEST_CASE(replicas_increase_with_the_load_of_the_prompt)
{
    BOOST_TEST(replica_count(0, 400, 4, {}) == 1U);
    BOOST_TEST(replica_count(0.15, 400, 4, {}) == 30U);
    BOOST_TEST(replica_count(0.15, 4, 4, {}) == 1U);
    BOOST_TEST(replica_count(0.15, 400, 0, {}) == 60U);
}

// One subject gets a seventh of the traffic of a large fleet. Each router sees
// a small part of it and learns the loads of the others half a second late.
// Without replicas, all routers move its requests to the next server at once.
BOOST_AUTO_TEST_CASE(a_hot_prompt_keeps_servers_within_the_limit)
{
    auto const with_replicas = share_over_limit(true);
    auto const loads_alone = share_over_limit(false);
    BOOST_TEST(with_replicas <= 0.03);
    BOOST_TEST(with_replicas < loads_alone);
    BOOST_TEST_MESSAGE("over the limit: " << with_replicas
                                          << " of the requests, " << loads_alone
                                          << " by loads alone");
}

BOOST_AUTO_TEST_SUITE_END()

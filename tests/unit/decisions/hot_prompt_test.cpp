/// Tests of the spread of hot prompts.
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

/// Part of the requests that reach a server above the limit, in a fleet whose
/// routers learn of each other's requests late.
double over_limit(bool spread_hot_prompts)
{
    constexpr std::size_t routers = 64;
    constexpr std::size_t servers = 140;
    constexpr std::size_t running_at_once = 420;
    constexpr int requests = 16'000;
    constexpr int told_after = 350; // Half a second of 700 requests a second.
    constexpr int hot_from = requests / 4;
    std::mt19937_64 random{3};
    std::vector<server_candidate> told;
    for (std::size_t i = 0; i < servers; ++i)
        told.push_back(
            {.hash = name_hash("server-" + std::to_string(i)), .slots = 32});
    std::vector<double> load(servers);
    std::vector<std::vector<double>> own(routers, std::vector<double>(servers));
    std::vector<recent_prompts> heats(routers);
    struct request
    {
        std::size_t router = 0;
        std::size_t server = 0;
    };
    std::vector<request> running;
    int over = 0;
    auto at = start;
    for (int i = 0; i < requests; ++i, at += 1'400us)
    {
        auto const router = random() % routers;
        bool const hot = i > hot_from && random() % 7 == 0;
        shared_prefix prompt{.key = hot ? 1 : 2 + random() % 700,
                             .tokens = 10'000};
        auto const total = static_cast<double>(running.size());
        auto const mean = total / servers;
        record_prompt(heats[router], prompt.key, at);
        if (spread_hot_prompts)
            prompt.replicas =
                replica_count(request_share(heats[router], prompt.key, at, {}),
                              total, load_bound(mean, {}) - mean, {});
        auto const index =
            select_server(told, mean, prompt, {}, random())->index;
        if (i > hot_from && load[index] > 2 * mean + 3)
            ++over;
        load[index] += 1;
        running.push_back({router, index});
        if (running.size() > running_at_once)
        {
            auto const ended = random() % running.size();
            load[running[ended].server] -= 1;
            running[ended] = running.back();
            running.pop_back();
        }
        if (i % told_after == 0)
        {
            for (std::size_t s = 0; s < servers; ++s)
                told[s].load = load[s];
        }
    }
    return static_cast<double>(over) / (requests - hot_from);
}

} // namespace

BOOST_AUTO_TEST_SUITE(prompt_heats)

BOOST_AUTO_TEST_CASE(a_few_requests_make_no_prompt_hot)
{
    recent_prompts heat;
    for (std::uint64_t i = 0; i < 40; ++i)
        record_prompt(heat, i, start);
    record_prompt(heat, 7, start);
    BOOST_TEST(request_share(heat, 7, start, {}) == 0);
    BOOST_TEST(request_share(heat, 99, start, {}) == 0);
}

BOOST_AUTO_TEST_CASE(a_prompt_cools_down)
{
    recent_prompts heat;
    for (int i = 0; i < 20; ++i)
        record_prompt(heat, 7, start);
    BOOST_TEST(request_share(heat, 7, start, {}) > 0.5);
    for (std::uint64_t i = 100; i < 140; ++i)
        record_prompt(heat, i, start + 6s);
    BOOST_TEST(request_share(heat, 7, start + 6s, {}) == 0);
}

BOOST_AUTO_TEST_CASE(only_the_latest_requests_count)
{
    recent_prompts heat;
    for (std::uint64_t i = 0; i < 1000; ++i)
        record_prompt(heat, i % 4 == 0 ? 7 : i, start);
    auto const share = request_share(heat, 7, start, {});
    BOOST_TEST((share > 0.2 && share < 0.3));
}

BOOST_AUTO_TEST_CASE(the_spread_grows_with_the_load_of_the_prompt)
{
    BOOST_TEST(replica_count(0, 400, 4, {}) == 1U);
    BOOST_TEST(replica_count(0.15, 400, 4, {}) == 30U);
    BOOST_TEST(replica_count(0.15, 4, 4, {}) == 1U);
    BOOST_TEST(replica_count(0.15, 400, 0, {}) == 60U);
}

// Load pattern: one subject gets a seventh of the traffic of a large fleet
// whose routers each see a sliver and hear of the others half a second late.
// Without the spread all of them move to the next server at once.
BOOST_AUTO_TEST_CASE(a_hot_prompt_keeps_servers_within_the_limit)
{
    auto const spread = over_limit(true);
    auto const loads_alone = over_limit(false);
    BOOST_TEST(spread <= 0.03);
    BOOST_TEST(spread < loads_alone);
    BOOST_TEST_MESSAGE("over the limit: " << spread << " of the requests, "
                                          << loads_alone << " by loads alone");
}

BOOST_AUTO_TEST_SUITE_END()

/// Simulation of fleets of routers that tell each other of crashes and answers,
/// under a hot prompt while servers crash of other causes, and under a part
/// that crashes servers. One step is one round of heartbeats.
#include "decisions/crashing_parts.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

constexpr duration round_time = 250ms;
constexpr int rounds_per_news = 4;
constexpr std::size_t targets_per_round = 16;
constexpr std::uint64_t system_part = 1;
constexpr std::uint64_t hot_part = 2;
constexpr std::uint64_t rare_part = 3;
constexpr std::uint64_t deadly_part = 4;

template <class News>
struct pending
{
    News news;
    int rounds_left = rounds_per_news;
};

struct router
{
    crashing_parts state;
    std::vector<pending<prompt_crash>> crashes;
    std::vector<pending<part_answer>> answers;
};

struct counts
{
    std::size_t sent = 0;
    std::size_t refused = 0;
};

/// A fleet whose routers get five requests a second each.
struct fleet
{
    explicit fleet(std::size_t size)
    {
        routers.resize(size);
        for (std::size_t i = 0; i < size; ++i)
            ids.push_back({"r" + std::to_string(i)});
    }

    std::vector<router> routers;
    std::vector<router_id> ids;
    std::mt19937_64 random{7};
    time_point at{1000s};
    std::uint64_t last_server = 0;
    double crash_share = 0; ///< Of attempts, of other causes than their prompt.
    bool is_deadly = false;
    counts sound;
    counts deadly;
    std::vector<time_point> deadly_sent_at;

    double draw()
    {
        return std::uniform_real_distribution<>{0, 1}(random);
    }

    void report_crash(router& at_router, std::vector<prompt_part> const& prompt)
    {
        prompt_crash const crash{
            .server = ++last_server,
            .at = at,
            .parts = suspected_parts(at_router.state, prompt, at)};
        if (record_prompt_crash(at_router.state, crash))
            at_router.crashes.push_back({crash});
    }

    void handle_request(std::size_t index, std::uint64_t part)
    {
        auto& receiver = routers[index];
        std::vector<prompt_part> const prompt{
            {system_part, 600}, {part, 900}, {999, 9}};
        bool const crashes = part == deadly_part && is_deadly;
        auto& counted = crashes ? deadly : sound;
        if (should_refuse(receiver.state, prompt, at))
        {
            auto others = ids;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
            if (!start_trial(receiver.state, prompt, ids[index], others, at))
            {
                ++counted.refused;
                return;
            }
        }
        ++counted.sent;
        if (crashes)
            deadly_sent_at.push_back(at);
        if (crashes || draw() < crash_share)
        {
            report_crash(receiver, prompt);
            return;
        }
        for (auto const& answer :
             record_prompt_answer(receiver.state, prompt, at))
            receiver.answers.push_back({answer});
    }

    void receive(router& receiver, prompt_crash const& crash)
    {
        for (auto const& answer : answers_since(receiver.state, crash))
            receiver.answers.push_back({answer});
        if (record_prompt_crash(receiver.state, crash))
            receiver.crashes.push_back({crash});
    }

    void send_news()
    {
        auto const before = routers;
        for (auto& sender : routers)
        {
            for (auto& one : sender.crashes)
                --one.rounds_left;
            for (auto& one : sender.answers)
                --one.rounds_left;
            std::erase_if(sender.crashes,
                          [](auto const& one) { return one.rounds_left <= 0; });
            std::erase_if(sender.answers,
                          [](auto const& one) { return one.rounds_left <= 0; });
        }
        auto const targets = std::min(targets_per_round, routers.size() - 1);
        for (auto const& sender : before)
        {
            for (std::size_t i = 0; i < targets; ++i)
            {
                auto& receiver = routers[random() % routers.size()];
                for (auto const& one : sender.crashes)
                    receive(receiver, one.news);
                for (auto const& one : sender.answers)
                {
                    if (record_part_answer(receiver.state, one.news))
                        receiver.answers.push_back({one.news});
                }
            }
        }
    }

    void run(duration time, double deadly_share = 0)
    {
        for (duration passed{}; passed < time; passed += round_time)
        {
            for (std::size_t i = 0; i < routers.size(); ++i)
            {
                if (draw() < 0.25)
                    continue;
                auto const kind = draw();
                handle_request(i, kind < deadly_share          ? deadly_part
                                  : kind < deadly_share + 0.05 ? rare_part
                                                               : hot_part);
            }
            send_news();
            at += round_time;
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleets_with_crashing_servers)

// Pattern: a hot prompt in each request while servers crash of other causes.
// Guards against refusals that come with the size of the fleet.
BOOST_AUTO_TEST_CASE(sound_parts_are_served_while_servers_crash)
{
    for (std::size_t const size : {8, 80, 300})
    {
        fleet routers{size};
        routers.crash_share = 0.05;
        routers.run(10s);
        routers.crash_share = 0;
        routers.run(20s);
        BOOST_TEST(routers.sound.refused <= routers.sound.sent / 1000,
                   size << " routers: " << routers.sound.refused << " of "
                        << routers.sound.sent);
    }
}

// Pattern: requests with one part crash each server, and other servers crash.
BOOST_AUTO_TEST_CASE(deadly_part_is_stopped_also_if_it_was_sound_before)
{
    for (std::size_t const size : {8, 80, 300})
    {
        for (bool const was_sound : {false, true})
        {
            fleet routers{size};
            if (was_sound)
                routers.run(5s, 0.05);
            routers.is_deadly = true;
            routers.crash_share = 0.01;
            routers.run(60s, 0.05);
            // After the third crash, the rule leaves this time to tell all.
            BOOST_REQUIRE(routers.deadly_sent_at.size() >= 3U);
            auto const limit = routers.deadly_sent_at[2] + 3s;
            auto const late = std::ranges::count_if(routers.deadly_sent_at,
                                                    [limit](time_point sent)
                                                    { return sent > limit; });
            BOOST_TEST(late <= 3, size << " routers: " << late);
            BOOST_TEST(routers.deadly.refused > 0U);
            BOOST_TEST(routers.sound.refused <= routers.sound.sent / 1000,
                       size << " routers: " << routers.sound.refused << " of "
                            << routers.sound.sent);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

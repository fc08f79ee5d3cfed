/// Simulation of fleets of routers that tell each other of crashes and answers,
/// under a hot prompt while servers crash of other causes, and under a part
/// that crashes servers. One step is one round of heartbeats.
#include "crashing_parts_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace bramleyarch;
using namespace bramleyarch::test;

namespace
{

constexpr std::uint64_t system_part = 1;
constexpr std::uint64_t hot_part = 2;
// Each part from here up to the first document may be deadly.
constexpr std::uint64_t first_deadly_part = 3;
constexpr std::uint64_t first_document = 100;
constexpr std::uint64_t documents = 300;
constexpr double hot_share = 0.16;

/// A fleet whose routers get five requests a second each.
struct fleet : gossip_fleet
{
    using gossip_fleet::gossip_fleet;

    std::uint64_t last_server = 0;
    double crash_share = 0; ///< Of attempts, of other causes than their prompt.
    bool is_deadly = false;
    std::uint64_t deadly_parts = 1;
    std::size_t deadly_place = 1; ///< Index in the prompt, up to 2.
    request_counts sound;
    request_counts deadly;
    std::map<std::uint64_t, std::vector<time_point>> deadly_sent_at;

    std::uint64_t draw_part(double deadly_share)
    {
        auto const kind = draw();
        if (kind < deadly_share)
            return first_deadly_part + random() % deadly_parts;
        return kind < deadly_share + hot_share
                   ? hot_part
                   : first_document + random() % documents;
    }

    /// Returns a prompt with the part: after the system part all share, or in
    /// the place of deadly parts.
    std::vector<prompt_part> prompt_with(std::uint64_t part)
    {
        std::vector<prompt_part> prompt{{system_part, 600}};
        if (part < first_document && part >= first_deadly_part &&
            deadly_place != 1)
            prompt.push_back({first_document + random() % documents, 900});
        else
            prompt.push_back({part, 900});
        if (prompt.back().id != part)
            prompt.insert(prompt.begin() +
                              static_cast<std::ptrdiff_t>(deadly_place),
                          {part, 300});
        prompt.push_back({999, 9});
        return prompt;
    }

    void handle_request(std::size_t index, std::uint64_t part)
    {
        auto& receiver = routers[index];
        auto const prompt = prompt_with(part);
        bool const crashes =
            is_deadly && part >= first_deadly_part && part < first_document;
        auto& counted = crashes ? deadly : sound;
        if (should_refuse(receiver.state, prompt))
        {
            if (!start_trial(receiver.state, prompt, ids[index], others(index),
                             at))
            {
                ++counted.refused;
                return;
            }
        }
        ++counted.sent;
        if (crashes)
            deadly_sent_at[part].push_back(at);
        if (crashes || draw() < crash_share)
        {
            report_crash(receiver, ++last_server, prompt);
            return;
        }
        report_answer(receiver, prompt);
    }

    void run(duration time, double deadly_share = 0)
    {
        for (duration passed{}; passed < time; passed += round_time)
        {
            for (std::size_t i = 0; i < routers.size(); ++i)
            {
                if (draw() < 0.25)
                    continue;
                handle_request(i, draw_part(deadly_share));
            }
            send_news();
            at += round_time;
        }
    }
};

/// Plays a time in which deadly parts crash servers.
void check_deadly_parts_are_stopped(fleet& routers, double deadly_share)
{
    auto const size = routers.routers.size();
    routers.is_deadly = true;
    routers.crash_share = 0.01;
    routers.run(20s, deadly_share);
    BOOST_REQUIRE(routers.deadly_sent_at.size() == routers.deadly_parts);
    for (auto const& [part, sent_at] : routers.deadly_sent_at)
    {
        // After the third crash, the rule leaves this time to tell all.
        BOOST_REQUIRE(sent_at.size() >= 3U);
        auto const limit = sent_at[2] + 3s;
        auto const late = std::ranges::count_if(
            sent_at, [limit](time_point sent) { return sent > limit; });
        BOOST_TEST(late <= 3, size << " routers: " << late);
    }
    BOOST_TEST(routers.deadly.refused > 0U);
    BOOST_TEST(routers.sound.refused <= routers.sound.sent / 1000,
               size << " routers: " << routers.sound.refused << " of "
                    << routers.sound.sent);
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleets_with_crashing_servers)

// Pattern: a hot prompt and many documents while servers crash of other causes.
// Guards against refusals that come with the size of the fleet.
BOOST_AUTO_TEST_CASE(sound_parts_are_served_while_servers_crash)
{
    for (std::size_t const size : {8, 80, 300, 1000})
    {
        fleet routers{size};
        routers.crash_share = 0.05;
        routers.run(4s);
        routers.crash_share = 0;
        routers.run(3s);
        BOOST_TEST(routers.sound.refused <= routers.sound.sent / 1000,
                   size << " routers: " << routers.sound.refused << " of "
                        << routers.sound.sent);
    }
}

// Shows that the simulation has the fault that the answers of other routers
// prevent.
BOOST_AUTO_TEST_CASE(sound_parts_are_refused_if_no_answers_travel)
{
    for (std::size_t const size : {80, 300})
    {
        fleet routers{size};
        routers.answers_travel = false;
        routers.crash_share = 0.05;
        routers.run(4s);
        BOOST_TEST(routers.sound.refused > routers.sound.sent / 1000,
                   size << " routers: " << routers.sound.refused << " of "
                        << routers.sound.sent);
    }
}

// Pattern: requests with one part crash each server, three times a second, and
// other servers crash.
BOOST_AUTO_TEST_CASE(deadly_part_is_stopped_also_if_it_was_sound_before)
{
    for (std::size_t const size : {8, 80, 300, 1000})
    {
        for (bool const was_sound : {false, true})
        {
            // The harder case is enough for the largest fleet.
            if (size == 1000 && !was_sound)
                continue;
            auto const deadly_share = 1.0 / static_cast<double>(size);
            fleet routers{size};
            if (was_sound)
                routers.run(5s, deadly_share);
            check_deadly_parts_are_stopped(routers, deadly_share);
        }
    }
}

// Pattern: the same with the part in the first and the third place, and with
// two such parts at once.
BOOST_AUTO_TEST_CASE(deadly_parts_are_stopped_in_each_place_and_two_at_once)
{
    for (std::size_t const size : {8, 80, 300})
    {
        for (std::size_t const place : {0, 1, 2})
        {
            fleet routers{size};
            routers.deadly_place = place;
            routers.deadly_parts = place == 1 ? 2 : 1;
            check_deadly_parts_are_stopped(
                routers, static_cast<double>(routers.deadly_parts) /
                             static_cast<double>(size));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

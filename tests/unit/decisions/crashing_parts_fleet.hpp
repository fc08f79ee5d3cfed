/// Routers of a simulated fleet that tell each other of crashes and of the
/// answers that clear parts of prompts. One step is one round of heartbeats.
#pragma once

#include "decisions/crashing_parts.hpp"
#include "decisions/peer_heartbeat.hpp"

#include <algorithm>
#include <cstddef>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace bramleyarch::test
{

using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

inline constexpr duration round_time = 250ms;
inline constexpr std::size_t targets_per_round = 16; // As in the peers service.
inline constexpr int rounds_per_repeat = 4;          // As in the entry service.

template <class News>
struct pending
{
    News news;
    int rounds_left = rounds_per_suspect;
};

/// Drops the oldest news beyond the bound, and returns those of one round.
template <class News>
std::vector<News> take_round(std::vector<pending<News>>& all, std::size_t kept,
                             std::size_t sent)
{
    if (all.size() > kept)
        all.erase(all.begin(), all.end() - static_cast<std::ptrdiff_t>(kept));
    std::vector<News> round;
    for (auto& one : all)
    {
        if (round.size() == sent)
            break;
        round.push_back(one.news);
        --one.rounds_left;
    }
    std::erase_if(all, [](auto const& one) { return one.rounds_left <= 0; });
    return round;
}

struct gossip_router
{
    crashing_parts state;
    std::vector<pending<prompt_crash>> crashes;
    std::vector<pending<part_answer>> answers;
};

/// As in the peers service, an answer takes the place of an earlier one.
inline void add_answer(gossip_router& receiver, part_answer const& answer)
{
    auto const known =
        std::ranges::find_if(receiver.answers, [&answer](auto const& one)
                             { return one.news.part == answer.part; });
    if (known == receiver.answers.end())
        receiver.answers.push_back({answer});
    else
        *known = {{answer.part, std::max(known->news.at, answer.at)}};
}

/// What one router tells others in one round.
struct gossip_datagram
{
    std::size_t receiver = 0;
    int rounds_until_arrival = 0;
    std::vector<prompt_crash> crashes;
    std::vector<part_answer> answers;
};

struct gossip_fleet
{
    explicit gossip_fleet(std::size_t size)
    {
        routers.resize(size);
        for (std::size_t i = 0; i < size; ++i)
            ids.push_back({"r" + std::to_string(i)});
    }

    std::vector<gossip_router> routers;
    std::vector<router_id> ids;
    std::mt19937_64 random{7};
    time_point at{1000s};
    bool answers_travel = true;
    double datagram_loss = 0;
    double datagram_delay = 0;   ///< Share that arrives up to 2 s late.
    std::size_t cut_routers = 0; ///< The first ones reach only each other.
    std::vector<gossip_datagram> delayed;

    double draw()
    {
        return std::uniform_real_distribution<>{0, 1}(random);
    }

    /// Returns the routers that the router with this index knows of.
    std::vector<router_id> others(std::size_t index) const
    {
        auto known = ids;
        known.erase(known.begin() + static_cast<std::ptrdiff_t>(index));
        return known;
    }

    /// Suspects the parts of a prompt for a crash that a router has seen.
    void report_crash(gossip_router& reporter, std::uint64_t server,
                      std::vector<prompt_part> const& prompt)
    {
        prompt_crash const crash{
            .server = server,
            .at = at,
            .parts = suspected_parts(reporter.state, prompt, at)};
        if (record_prompt_crash(reporter.state, crash))
            reporter.crashes.push_back({crash});
    }

    void report_answer(gossip_router& reporter,
                       std::vector<prompt_part> const& prompt) const
    {
        for (auto const& answer :
             record_prompt_answer(reporter.state, prompt, at))
            add_answer(reporter, answer);
    }

    static void receive(gossip_router& receiver, prompt_crash const& crash)
    {
        for (auto const& answer : answers_since(receiver.state, crash))
            add_answer(receiver, answer);
        if (record_prompt_crash(receiver.state, crash))
            receiver.crashes.push_back({crash});
    }

    void receive(gossip_datagram const& datagram)
    {
        auto& receiver = routers[datagram.receiver];
        for (auto const& crash : datagram.crashes)
            receive(receiver, crash);
        for (auto const& answer : datagram.answers)
        {
            if (record_part_answer(receiver.state, answer))
                add_answer(receiver, answer);
        }
    }

    bool is_lost(std::size_t sender, std::size_t receiver)
    {
        return (sender < cut_routers) != (receiver < cut_routers) ||
               (datagram_loss > 0 && draw() < datagram_loss);
    }

    void deliver_delayed()
    {
        for (auto& datagram : delayed)
        {
            if (--datagram.rounds_until_arrival == 0)
                receive(datagram);
        }
        std::erase_if(delayed, [](gossip_datagram const& datagram)
                      { return datagram.rounds_until_arrival == 0; });
    }

    void send_news()
    {
        deliver_delayed();
        auto const targets = std::min(targets_per_round, routers.size() - 1);
        std::vector<gossip_datagram> news(routers.size());
        for (std::size_t i = 0; i < routers.size(); ++i)
        {
            news[i].crashes = take_round(
                routers[i].crashes, max_pending_crashes, max_pending_crashes);
            news[i].answers =
                take_round(routers[i].answers, max_pending_answers,
                           max_answers_per_heartbeat);
            if (!answers_travel)
                news[i].answers.clear();
        }
        for (std::size_t i = 0; i < routers.size(); ++i)
        {
            for (std::size_t target = 0; target < targets; ++target)
            {
                news[i].receiver = random() % routers.size();
                if (is_lost(i, news[i].receiver))
                    continue;
                if (datagram_delay > 0 && draw() < datagram_delay)
                {
                    delayed.push_back(news[i]);
                    delayed.back().rounds_until_arrival =
                        1 + static_cast<int>(random() % 8);
                    continue;
                }
                receive(news[i]);
            }
        }
    }

    /// Adds the crashes of refused parts to the next rounds of all routers.
    void repeat_crashes()
    {
        for (auto& sender : routers)
        {
            for (auto& crash : crashes_to_repeat(sender.state))
                sender.crashes.push_back({std::move(crash)});
        }
    }
};

struct request_counts
{
    std::size_t sent = 0;
    std::size_t refused = 0;
};

} // namespace bramleyarch::test

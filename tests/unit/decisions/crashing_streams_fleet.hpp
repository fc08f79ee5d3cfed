/// Simulation of a fleet with model servers that run many streams at a time. A
/// part of prompts crashes servers after the first bytes of its answers, and
/// the sound streams of these servers break off with them. One step is one
/// round of heartbeats.
#pragma once

#include "crashing_parts_fleet.hpp"

#include "common/digest.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bramleyarch::test
{

inline constexpr std::size_t servers_per_router = 2;
inline constexpr std::uint64_t system_part = 1;
inline constexpr std::uint64_t hot_part = 2;
inline constexpr std::uint64_t deadly_part = 3;
inline constexpr std::uint64_t first_document = 100;
inline constexpr std::uint64_t documents = 300;
inline constexpr double hot_share = 0.16;
inline constexpr duration time_to_first_byte = 250ms;
inline constexpr duration answer_time = 3s;
inline constexpr duration restart_time = 3s;

struct stream
{
    std::size_t router = 0;
    std::uint64_t part = 0;
    time_point sent_at{};
    answer_in_progress answer;
};

struct model_server
{
    std::uint64_t run = 0; ///< Differs for each start.
    time_point up_at{};
    std::vector<stream> streams;
};

/// A fleet whose routers get three requests a second each.
struct stream_fleet : gossip_fleet
{
    explicit stream_fleet(std::size_t size)
        : gossip_fleet(size), servers(size * servers_per_router)
    {
        for (auto& server : servers)
            server.run = ++last_run;
    }

    std::vector<model_server> servers;
    std::uint64_t last_run = 0;
    /// Suspects no parts of answers that have begun, unlike the entry service.
    bool trusts_first_bytes = false;
    /// Share of the servers that crash in a second, of other causes.
    double crash_share = 0;
    /// From the first byte of an answer with the deadly part to the crash.
    std::optional<duration> deadly_after;
    request_counts sound;
    request_counts deadly;
    std::vector<time_point> deadly_sent_at;
    std::vector<time_point> deadly_crashes;

    static std::vector<prompt_part> prompt_with(std::uint64_t part)
    {
        return {{system_part, 600}, {part, 900}, {999, 9}};
    }

    bool is_deadly(std::uint64_t part) const
    {
        return part == deadly_part && deadly_after;
    }

    /// Returns the server that has the part's cache, or one that is up.
    model_server& server_for(std::uint64_t part)
    {
        auto index = part == hot_part ? random() : mix(part, 1);
        while (servers[index % servers.size()].up_at > at)
            ++index;
        return servers[index % servers.size()];
    }

    void handle_request(std::size_t index, std::uint64_t part)
    {
        auto& receiver = routers[index];
        auto const prompt = prompt_with(part);
        auto& counted = is_deadly(part) ? deadly : sound;
        if (should_refuse(receiver.state, prompt) &&
            !start_trial(receiver.state, prompt, ids[index], others(index), at))
        {
            ++counted.refused;
            return;
        }
        ++counted.sent;
        if (is_deadly(part))
            deadly_sent_at.push_back(at);
        server_for(part).streams.push_back(
            {.router = index, .part = part, .sent_at = at});
    }

    bool is_suspect(stream const& broken) const
    {
        return trusts_first_bytes ? !broken.answer.first_byte_at
                                  : !broken.answer.is_past_start;
    }

    void crash(model_server& server)
    {
        for (auto const& broken : std::exchange(server.streams, {}))
        {
            if (is_suspect(broken))
                report_crash(routers[broken.router], server.run,
                             prompt_with(broken.part));
        }
        server.run = ++last_run;
        server.up_at = at + restart_time;
    }

    bool crashes_now(stream const& running) const
    {
        return is_deadly(running.part) &&
               at >= running.sent_at + time_to_first_byte + *deadly_after;
    }

    void run_server(model_server& server)
    {
        if (server.up_at > at)
            return;
        for (auto& running : server.streams)
        {
            if (at < running.sent_at + time_to_first_byte)
                continue;
            if (record_answer_bytes(running.answer,
                                    routers[running.router].state.options, at))
                report_answer(routers[running.router],
                              prompt_with(running.part));
        }
        std::erase_if(server.streams, [this](stream const& running)
                      { return at >= running.sent_at + answer_time; });
        bool const by_part =
            std::ranges::any_of(server.streams, [this](stream const& running)
                                { return crashes_now(running); });
        if (by_part)
            deadly_crashes.push_back(at);
        if (by_part ||
            draw() <
                crash_share * std::chrono::duration<double>{round_time}.count())
            crash(server);
    }

    std::uint64_t draw_part(double deadly_share)
    {
        auto const kind = draw();
        if (kind < deadly_share)
            return deadly_part;
        return kind < deadly_share + hot_share
                   ? hot_part
                   : first_document + random() % documents;
    }

    void run(duration time, double deadly_share = 0)
    {
        int round = 0;
        for (duration passed{}; passed < time; passed += round_time)
        {
            for (std::size_t i = 0; i < routers.size(); ++i)
            {
                if (draw() < 0.75)
                    handle_request(i, draw_part(deadly_share));
            }
            for (auto& server : servers)
                run_server(server);
            if (++round % rounds_per_repeat == 0)
                repeat_crashes();
            send_news();
            at += round_time;
        }
    }

    /// Returns the number of requests with the deadly part that were sent
    /// later than the rule allows.
    std::ptrdiff_t late_deadly_requests() const
    {
        constexpr std::size_t crashes_before_limit = 5;
        constexpr duration time_to_tell_all = 3s;
        if (deadly_crashes.size() < crashes_before_limit)
            return 0;
        auto const limit =
            deadly_crashes[crashes_before_limit - 1] + time_to_tell_all;
        return std::ranges::count_if(deadly_sent_at, [limit](time_point sent)
                                     { return sent > limit; });
    }
};

/// Returns the share of requests that makes `per_second` of a whole fleet.
inline double share_of_requests(double per_second, std::size_t size)
{
    return per_second / (3 * static_cast<double>(size));
}

/// Checks that the deadly part was stopped in time and that sound requests were
/// served.
inline void check_refusals(stream_fleet const& fleet, std::string const& what)
{
    auto const text =
        what + ", " + std::to_string(fleet.routers.size()) +
        " routers: " + std::to_string(fleet.late_deadly_requests()) +
        " late, " + std::to_string(fleet.deadly_crashes.size()) + " crashes, " +
        std::to_string(fleet.sound.refused) + " of " +
        std::to_string(fleet.sound.sent) + " sound refused";
    BOOST_TEST_MESSAGE(text);
    BOOST_TEST(fleet.late_deadly_requests() <= 3, text);
    BOOST_TEST(fleet.sound.refused <= fleet.sound.sent / 1000, text);
}

} // namespace bramleyarch::test

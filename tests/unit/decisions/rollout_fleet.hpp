/// Simulation of a fleet that moves a service to a new version.
#pragma once

#include "decisions/remote_loads.hpp"
#include "decisions/rollout.hpp"

#include "common/digest.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace bramleyarch::test
{

using namespace bramleyarch::decisions;
using namespace std::chrono_literals;
using config::rollout_state;

using seconds = std::chrono::duration<double>;

inline constexpr duration step = 25ms;
inline constexpr int steps_per_round = 10;
inline constexpr double datagram_loss = 0.05;
inline constexpr std::uint32_t bad_answers_allowed = 50;
inline time_point const ordered_at{1000s};
inline service_id const service{"chat"};

/// Requests of four routes; the last one is rare.
inline constexpr std::array<double, 4> route_shares{0.6, 0.25, 0.1, 0.05};

/// What answers of one version are like at a moment.
struct behaviour
{
    double failed = 0;
    /// Share of answers that take `slow_factor` times as long.
    double slow = 0;
    double slow_factor = 4;
    double cold_factor = 1; ///< Of all answers that are not to be compared.
};

struct moment
{
    double since_s = 0; ///< Since the order.
    std::size_t route = 0;
    double new_per_second = 0; ///< Recent requests at the new version.
};

using version_behaviour = std::function<behaviour(moment const&)>;

struct scenario
{
    std::size_t routers = 80;
    std::size_t domains = 5;
    double rate = 600;
    duration length = 20s;
    version_behaviour old_version = [](moment const&) { return behaviour{}; };
    version_behaviour new_version = old_version;
    bool has_new_servers = true;
    duration store_delay = 100ms;
    /// Routers that neither hear nor are heard from this time on.
    double cut_off_share = 0;
    duration cut_off_from = 5s;
    /// The responsible router dies at this time.
    std::optional<duration> writer_dies_at;
    std::uint64_t seed = 1;
};

struct fleet_outcome
{
    std::optional<rollout_state> state;
    duration decided{};    ///< Since the order.
    std::uint32_t all = 0; ///< Until the deadline.
    std::uint32_t at_new = 0;
    std::uint32_t late = 0; ///< Sent over 5 s after the 50th bad answer.
    std::uint32_t bad = 0;
    std::uint32_t bad_when_decided = 0;
    std::uint32_t new_when_decided = 0;
    std::uint32_t cut_off_sent = 0;  ///< By cut-off routers after 2 s.
    std::uint32_t old_in_flight = 0; ///< When the success was stored.
    std::uint32_t writers = 0;
    duration last_new{};
};

struct sim_router
{
    router_id id;
    domain_id domain;
    rollout state;
    heartbeat_rotation rotation;
    std::uint64_t sequence = 0;
    bool alive = true;
    bool cut_off = false;
};

/// Something that happens later: an answer, a heartbeat or news of the store.
struct event
{
    time_point at{};
    std::uint64_t number = 0;
    std::function<void()> act;

    bool operator<(event const& other) const
    {
        return std::tie(other.at, other.number) < std::tie(at, number);
    }
};

struct fleet
{
    explicit fleet(scenario const& s) : setup(s), random(s.seed)
    {
        std::vector<router_id> ids;
        for (std::size_t i = 0; i < s.routers; ++i)
            ids.push_back({"r" + std::to_string(i)});
        config::rollout_order const order{.service = service,
                                          .to_version = "2",
                                          .length = s.length,
                                          .changed = 77};
        for (std::size_t i = 0; i < s.routers; ++i)
        {
            auto others = ids;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
            auto const seen = ordered_at + uniform() * 200ms;
            sim_router made{.id = ids[i],
                            .domain = {std::to_string(i % s.domains)},
                            .state = make_rollout(
                                {}, order, ids[i], others,
                                time_point{std::chrono::duration_cast<duration>(
                                    seen.time_since_epoch())})};
            stagger(made.rotation, mix(i, s.routers));
            for (std::size_t other = 0; other < s.routers; ++other)
            {
                auto& targets = other % s.domains == i % s.domains
                                    ? made.rotation.own_domain
                                    : made.rotation.other_domains;
                if (other != i)
                    targets.push_back(ids[other]);
            }
            // A balancer distributes connections unevenly.
            weights.push_back(0.3 + uniform() * 1.4);
            routers.push_back(std::move(made));
        }
    }

    scenario setup;
    std::mt19937_64 random;
    std::vector<sim_router> routers;
    std::vector<double> weights;
    std::priority_queue<event> events;
    std::uint64_t next_number = 0;
    time_point at = ordered_at;
    std::optional<rollout_state> stored;
    fleet_outcome outcome;
    std::uint32_t old_in_flight = 0;
    std::uint32_t new_in_second = 0;
    double new_per_second = 0;
    std::optional<time_point> limit_of_bad;

    double uniform()
    {
        return std::uniform_real_distribution<>{0, 1}(random);
    }

    void later(duration delay, std::function<void()> act)
    {
        events.push(
            {.at = at + delay, .number = ++next_number, .act = std::move(act)});
    }

    sim_router& find(router_id const& id)
    {
        return routers[std::stoul(id.value.substr(1))];
    }

    duration since_order() const
    {
        return at - ordered_at;
    }

    bool is_cut_off(sim_router const& router) const
    {
        return router.cut_off && since_order() >= setup.cut_off_from;
    }

    void submit(std::size_t index)
    {
        auto& router = routers[index];
        auto draw = uniform();
        std::size_t route = 0;
        while (route + 1 < route_shares.size() && draw >= route_shares[route])
            draw -= route_shares[route++];
        bool const at_new = setup.has_new_servers &&
                            prefers_new_version(router.state, route + 1,
                                                route == 3, uniform(), at);
        moment const now{.since_s = seconds{since_order()}.count(),
                         .route = route,
                         .new_per_second = new_per_second};
        auto const answers =
            at_new ? setup.new_version(now) : setup.old_version(now);
        route_side const side{route + 1, at_new};
        record_event(router.state.book, side, rollout_event::sent);
        record_sent(router, at_new);
        bool const failed = uniform() < answers.failed;
        bool const slow = uniform() < answers.slow;
        auto waited = (40ms + 30ms * static_cast<double>(route)) *
                      (0.5 + uniform()) * (slow ? answers.slow_factor : 1.0);
        waited *= answers.cold_factor;
        auto const first_byte = std::chrono::duration_cast<duration>(waited);
        // The rare route streams.
        auto const rest = route == 3 ? uniform() * seconds{8} : seconds{};
        bool const comparable = answers.cold_factor <= 1;
        old_in_flight += at_new ? 0 : 1;
        later(first_byte, [=, this]
              { answer(index, side, failed, comparable, first_byte); });
        later(first_byte + std::chrono::duration_cast<duration>(rest),
              [=, this] { old_in_flight -= side.second ? 0 : 1; });
    }

    void record_sent(sim_router const& router, bool at_new)
    {
        ++outcome.all;
        if (!at_new)
            return;
        ++new_in_second;
        ++outcome.at_new;
        outcome.last_new = since_order();
        if (limit_of_bad && at > *limit_of_bad)
            ++outcome.late;
        if (is_cut_off(router) && since_order() > setup.cut_off_from + 2s)
            ++outcome.cut_off_sent;
    }

    void answer(std::size_t index, route_side side, bool failed,
                bool comparable, duration first_byte)
    {
        auto& state = routers[index].state;
        auto const limit = slow_after(state, side.first, 500ms);
        bool const slow = comparable && !failed && first_byte > limit;
        record_event(state.book, side,
                     failed ? rollout_event::failed : rollout_event::answered);
        if (!failed && comparable)
            record_first_byte(state.book, side, first_byte);
        if (slow)
            record_event(state.book, side, rollout_event::slow);
        if (side.second && (failed || slow) &&
            ++outcome.bad == bad_answers_allowed)
            limit_of_bad = at + 5s;
    }

    void send_heartbeat(sim_router& from)
    {
        peer_heartbeat heartbeat{.from = from.id,
                                 .domain = from.domain,
                                 .started = 1,
                                 .sequence = ++from.sequence};
        auto const targets = next_heartbeat_targets(from.rotation, {});
        heartbeat.rollouts = {make_evidence(from.state, service, false, at)};
        deliver(heartbeat, targets.own_domain);
        heartbeat.rollouts = {make_evidence(from.state, service, true, at)};
        deliver(heartbeat, targets.other_domains);
    }

    void deliver(peer_heartbeat const& heartbeat,
                 std::vector<router_id> const& targets)
    {
        for (auto const& target : targets)
        {
            if (uniform() < datagram_loss)
                continue;
            // Some datagrams are overtaken by those of the next round.
            auto const delay = uniform() < 0.02 ? 400ms : 5ms;
            later(delay,
                  [this, target, heartbeat]
                  {
                      auto& to = find(target);
                      if (!to.alive || is_cut_off(to))
                          return;
                      record_contact(to.state, at);
                      apply_evidence(to.state, to.domain, heartbeat,
                                     heartbeat.rollouts.front(), at);
                  });
        }
    }

    void write(rollout_state wanted)
    {
        later(setup.store_delay,
              [this, wanted]
              {
                  ++outcome.writers;
                  bool const is_final =
                      stored && *stored != rollout_state::running;
                  if (is_final || stored == wanted)
                      return;
                  stored = wanted;
                  if (wanted != rollout_state::running)
                  {
                      outcome.state = wanted;
                      outcome.decided = since_order();
                      outcome.old_in_flight = old_in_flight;
                      outcome.bad_when_decided = outcome.bad;
                      outcome.new_when_decided = outcome.at_new;
                  }
                  for (auto& router : routers)
                  {
                      if (!is_cut_off(router))
                          later(setup.store_delay,
                                [&router, wanted, this] {
                                    apply_stored_state(router.state, wanted,
                                                       at);
                                });
                  }
              });
    }

    void play_round(sim_router& router)
    {
        if (!router.alive)
            return;
        auto const checked = check(
            router.state,
            {.new_servers = setup.has_new_servers ? 4U : 0U, .streams = {4}},
            at);
        if (is_cut_off(router))
            return;
        if (checked.write)
            write(*checked.write);
        send_heartbeat(router);
    }

    void play_step(int number)
    {
        if (setup.writer_dies_at && since_order() >= *setup.writer_dies_at)
        {
            for (auto& router : routers)
                router.alive = router.alive && router.state.rank != 0;
        }
        while (!events.empty() && events.top().at <= at)
        {
            auto const act = events.top().act;
            events.pop();
            act();
        }
        for (std::size_t i = 0; i < routers.size(); ++i)
        {
            if (static_cast<int>(i) % steps_per_round ==
                number % steps_per_round)
                play_round(routers[i]);
        }
        std::discrete_distribution<std::size_t> pick(weights.begin(),
                                                     weights.end());
        std::poisson_distribution<int> arrivals{setup.rate *
                                                seconds{step}.count()};
        for (int left = arrivals(random); left > 0; --left)
        {
            auto const index = pick(random);
            if (routers[index].alive)
                submit(index);
        }
        if (number % 40 == 39)
        {
            new_per_second = new_in_second;
            new_in_second = 0;
        }
    }

    fleet_outcome play()
    {
        for (std::size_t i = 0; i < routers.size(); ++i)
            routers[i].cut_off =
                static_cast<double>(i) <
                setup.cut_off_share * static_cast<double>(routers.size());
        int number = 0;
        for (; since_order() < setup.length; at += step)
            play_step(number++);
        return outcome;
    }
};

} // namespace bramleyarch::test

/// Tests of the order in which waiting requests are sent, and of rejections.
#include "waiting_queue_load.hpp"

#include <boost/test/unit_test.hpp>

#include <iostream>
#include <numeric>
#include <set>

using namespace bramleyarch;
using namespace bramleyarch::test;

namespace
{

constexpr time_point origin{};

/// A request of 25 ms with an objective of 150 ms and a deadline of 1 s.
waiting_request make_request(std::uint64_t id, std::uint32_t rank = 0,
                             time_point since = origin, std::string team = "t")
{
    return {.id = {1, id},
            .team = {std::move(team)},
            .caller = id,
            .rank = rank,
            .work = 25ms,
            .first_byte = 25ms,
            .bytes = 100,
            .since = since,
            .objective = since + 150ms,
            .deadline = since + 1s};
}

/// Serves 240 requests/s.
constexpr serving_pace six_slots{.hold = 25ms, .slots = 6};

std::uint64_t next_id(waiting_queue& queue, time_point at = origin)
{
    auto const next = dequeue(queue, at);
    return next ? next->id.sequence : 0;
}

std::vector<load> named_loads()
{
    traffic const urgent{.team = "a", .rank = 0, .rate = 70};
    traffic const usual{.team = "b", .rank = 2, .rate = 100};
    traffic const heavy{
        .team = "c", .rank = 2, .rate = 12, .work = 100, .objective = 600};
    auto const with_burst = [](traffic t, double burst)
    {
        t.burst = burst;
        return t;
    };
    return {
        {"calm", {urgent, usual}},
        {"burst", {with_burst(urgent, 2.4), with_burst(usual, 2.4), heavy}},
        {"lost_server", {urgent, usual, heavy}, 6, 4},
        {"overload", {urgent, with_burst(usual, 4), heavy}, 6, 5},
        {"mixed_deadlines",
         {{.team = "a", .rate = 100, .deadline = 600, .burst = 2},
          {.team = "b",
           .rate = 60,
           .objective = 500,
           .deadline = 1500,
           .burst = 2},
          heavy}},
    };
}

double value_of(load const& l, rule const& by = nullptr)
{
    double value = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
        value += sum(serve(l, seed, by)).value;
    return value / 5;
}

double from_arrival(waiting_request const& r)
{
    return -ms(r.since - origin);
}

/// Returns the value of serving `order` one after the other in one slot.
double value_in_order(std::vector<waiting_request> const& requests,
                      std::vector<std::size_t> const& order)
{
    double value = 0;
    auto at = origin;
    for (auto const index : order)
    {
        auto const& r = requests[index];
        auto const end = at + r.work;
        if (end > r.deadline)
            continue;
        at = end;
        value += std::pow(0.25, r.rank) * (end <= r.objective ? 1 : 0.1);
    }
    return value;
}

} // namespace

BOOST_AUTO_TEST_SUITE(waiting_queues)

// Guards against an order that loses more than a simple rule would.
BOOST_AUTO_TEST_CASE(queue_loses_no_more_than_simple_rules)
{
    std::vector<std::pair<std::string, rule>> const rules{
        {"arrival", from_arrival},
        {"priority",
         [](auto const& r) { return -1e7 * r.rank + from_arrival(r); }},
        {"deadline", [](auto const& r) { return -ms(r.deadline - origin); }},
        {"work",
         [](auto const& r) { return -1e7 * ms(r.work) + from_arrival(r); }}};
    for (auto const& l : named_loads())
    {
        auto const own = value_of(l);
        std::cout << "waiting " << l.name << ": ordered=" << own;
        for (auto const& [name, by] : rules)
        {
            auto const other = value_of(l, by);
            std::cout << ' ' << name << '=' << other;
            // A hundredth is within the spread of the seeds.
            BOOST_TEST(own >= 0.99 * other, l.name << ": " << own << " after "
                                                   << name << ' ' << other);
        }
        std::cout << '\n';
    }
}

// Guards against an order that is far from the best one that exists.
BOOST_AUTO_TEST_CASE(order_is_near_the_offline_optimum)
{
    std::mt19937_64 random{7};
    auto const draw = [&random](std::uint64_t n) { return random() % n; };
    double best_sum = 0;
    double own_sum = 0;
    for (int trial = 0; trial < 200; ++trial)
    {
        std::vector<waiting_request> requests;
        for (std::uint64_t i = 0; i < 6; ++i)
        {
            auto r = make_request(i, static_cast<std::uint32_t>(draw(3)),
                                  origin, "t" + std::to_string(i));
            r.work = std::chrono::milliseconds{10 + draw(50)};
            r.first_byte = r.work;
            r.objective = origin + std::chrono::milliseconds{40 + draw(160)};
            r.deadline = r.objective + 300ms;
            requests.push_back(r);
        }
        std::vector<std::size_t> order(requests.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        double best = 0;
        do
            best = std::max(best, value_in_order(requests, order));
        while (std::next_permutation(order.begin(), order.end()));
        waiting_queue queue;
        queue.waiting = requests;
        std::vector<std::size_t> own;
        auto at = origin;
        while (auto const next = dequeue(queue, at))
        {
            own.push_back(next->id.sequence);
            at += next->work;
        }
        best_sum += best;
        own_sum += value_in_order(requests, own);
    }
    auto const regret = 1 - own_sum / best_sum;
    std::cout << "waiting regret=" << regret << '\n';
    BOOST_TEST(regret < 0.1);
}

// Guards against a team whose surge delays others.
BOOST_AUTO_TEST_CASE(team_at_eight_times_its_rate_delays_itself)
{
    load usual{"usual", {}};
    for (auto const* const team : {"a", "b", "c", "d", "e"})
        usual.kinds.push_back({.team = team, .rank = 1, .rate = 30});
    auto surge = usual;
    surge.kinds[0].rate *= 8;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        auto before = serve(usual, seed);
        auto after = serve(surge, seed);
        auto const own = after[0].late_share();
        before.erase(before.begin());
        after.erase(after.begin());
        auto const rise = sum(after).late_share() - sum(before).late_share();
        std::cout << "waiting surge: own late=" << own
                  << " others' rise=" << rise << '\n';
        BOOST_TEST(rise < 0.02);
        BOOST_TEST(own > 0.3);
    }
}

// Guards against shares that are left unused while a team has demand.
BOOST_AUTO_TEST_CASE(unused_shares_are_lent)
{
    load const alone{"alone", {{.team = "a", .rate = 200}}};
    load const beside{"beside",
                      {{.team = "a", .rate = 200}, {.team = "b", .rate = 2}}};
    auto const own = serve(alone, 3)[0].timely;
    BOOST_TEST(serve(beside, 3)[0].timely > 0.9 * own);
}

BOOST_AUTO_TEST_CASE(urgent_goes_first_and_less_work_among_equals)
{
    waiting_queue queue;
    record_work(queue, {"t"}, 25ms, origin);
    auto slow = make_request(3);
    slow.work = 35ms;
    slow.first_byte = 35ms;
    slow.objective += 10ms;
    enqueue(queue, make_request(1, 2), six_slots, origin, 1);
    enqueue(queue, slow, six_slots, origin, 1);
    enqueue(queue, make_request(4), six_slots, origin, 1);
    BOOST_TEST(next_id(queue) == 4U);
    BOOST_TEST(next_id(queue) == 3U);
    BOOST_TEST(next_id(queue) == 1U);
    BOOST_TEST(next_id(queue) == 0U);
}

// Guards against ranks that starve while more urgent requests keep arriving.
BOOST_AUTO_TEST_CASE(least_urgent_request_is_sent_in_the_end)
{
    waiting_queue queue;
    auto least = make_request(1, 9);
    least.deadline = origin + 60s;
    enqueue(queue, least, six_slots, origin, 1);
    std::uint64_t id = 2;
    auto at = origin;
    for (bool sent = false; !sent && at < origin + 30s; at += 25ms)
    {
        enqueue(queue, make_request(id++, 0, at), six_slots, at, 1);
        sent = next_id(queue, at) == 1;
    }
    BOOST_TEST(to_ms(at - origin) < 10'000);
}

BOOST_AUTO_TEST_CASE(what_misses_its_deadline_is_rejected_at_once)
{
    waiting_queue queue;
    serving_pace const slow{.hold = 400ms, .slots = 1};
    BOOST_TEST(enqueue(queue, make_request(1), slow, origin, 1).empty());
    BOOST_TEST(enqueue(queue, make_request(2), slow, origin, 1).empty());
    auto const rejected = enqueue(queue, make_request(3), slow, origin, 1);
    BOOST_REQUIRE(rejected.size() == 1U);
    BOOST_TEST((rejected[0].cause == rejection_cause::misses_deadline));
    BOOST_TEST(to_ms(rejected[0].expected_wait) == 1200);
    BOOST_TEST(to_ms(rejected[0].retry_after) >= 1200);
}

BOOST_AUTO_TEST_CASE(what_is_late_here_goes_elsewhere_if_there_is_room)
{
    waiting_queue queue;
    serving_pace const slow{.hold = 140ms, .slots = 1, .room_elsewhere = true};
    auto const rejected = enqueue(queue, make_request(1), slow, origin, 1);
    BOOST_REQUIRE(rejected.size() == 1U);
    BOOST_TEST((rejected[0].cause == rejection_cause::misses_objective));
    auto const waits = serving_pace{.hold = 140ms, .slots = 1};
    BOOST_TEST(enqueue(queue, make_request(2), waits, origin, 1).empty());
}

BOOST_AUTO_TEST_CASE(full_queue_keeps_the_most_urgent)
{
    waiting_queue queue{.options = {.max_requests = 2}};
    serving_pace const fast{.hold = 1ms, .slots = 6};
    enqueue(queue, make_request(1, 2), fast, origin, 1);
    enqueue(queue, make_request(2, 1), fast, origin, 1);
    auto const rejected = enqueue(queue, make_request(3), fast, origin, 1);
    BOOST_REQUIRE(rejected.size() == 1U);
    BOOST_TEST(rejected[0].request.id.sequence == 1U);
    BOOST_TEST((rejected[0].cause == rejection_cause::no_room));
}

// Guards against callers that gain by coming back at once.
BOOST_AUTO_TEST_CASE(only_callers_that_return_when_told_go_first)
{
    waiting_queue queue;
    serving_pace const stuck{.hold = 2s, .slots = 1};
    auto const rejected = enqueue(queue, make_request(1), stuck, origin, 1);
    BOOST_REQUIRE(rejected.size() == 1U);
    auto const due = origin + rejected[0].retry_after;
    enqueue(queue, make_request(2, 0, due - 10ms), six_slots, due - 10ms, 1);
    auto early = make_request(1, 0, due - 5ms);
    enqueue(queue, early, six_slots, due - 5ms, 1);
    BOOST_TEST(next_id(queue, due - 5ms) == 2U);
    BOOST_TEST(next_id(queue, due - 5ms) == 1U);
    enqueue(queue, make_request(2, 0, due), six_slots, due, 1);
    enqueue(queue, make_request(1, 0, due), six_slots, due, 1);
    BOOST_TEST(next_id(queue, due) == 1U);
}

// Guards against rejected callers that return together, or the less urgent
// before the urgent.
BOOST_AUTO_TEST_CASE(returns_are_spread_and_ordered_by_urgency)
{
    waiting_queue queue;
    serving_pace const stuck{.hold = 2s, .slots = 20};
    auto const after = [&](std::uint64_t id, std::uint32_t rank)
    {
        auto request = make_request(id, rank);
        request.deadline = origin + 50ms;
        return enqueue(queue, request, stuck, origin, id).front().retry_after;
    };
    std::set<std::int64_t> told;
    duration last{};
    for (std::uint64_t id = 1; id <= 10; ++id)
    {
        last = std::max(last, after(id, 2));
        told.insert(to_ms(queue.promises.at(id).due - origin));
    }
    BOOST_TEST(told.size() == 10U);
    BOOST_TEST(to_ms(last) > 800);
    BOOST_TEST(to_ms(after(11, 0)) < to_ms(last) / 4);
}

// Guards against lost or doubled requests, growth without bound, and urgent
// requests that wait behind less urgent ones that arrived long after them.
BOOST_AUTO_TEST_CASE(fuzzed_queue_keeps_its_invariants)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        std::mt19937_64 random{seed};
        auto const draw = [&random](std::uint64_t n) { return random() % n; };
        waiting_queue queue{.options = {.max_requests = 12, .max_bytes = 2000}};
        std::set<request_id> open;
        auto const close = [&open](request_id const& id)
        { BOOST_REQUIRE(open.erase(id) == 1U); };
        auto at = origin;
        for (std::uint64_t step = 1; step <= 400; ++step)
        {
            at += std::chrono::milliseconds{draw(12)};
            serving_pace const pace{.hold =
                                        std::chrono::milliseconds{1 + draw(60)},
                                    .slots = 1.0 + static_cast<double>(draw(6)),
                                    .room_elsewhere = draw(4) == 0};
            auto request =
                make_request(step, static_cast<std::uint32_t>(draw(10)), at,
                             "t" + std::to_string(draw(3)));
            request.caller = draw(60);
            request.work = std::chrono::milliseconds{draw(80)};
            request.first_byte = request.work / 2;
            request.objective = at + std::chrono::milliseconds{draw(300)};
            request.deadline = request.objective + 500ms;
            switch (draw(5))
            {
            case 0:
            case 1:
                open.insert(request.id);
                for (auto const& r : enqueue(queue, request, pace, at, step))
                    close(r.request.id);
                break;
            case 2:
                for (auto const& r : remove_unservable(queue, pace, at, step))
                    close(r.request.id);
                break;
            case 3:
                if (!queue.waiting.empty())
                {
                    auto const id =
                        queue.waiting[draw(queue.waiting.size())].id;
                    BOOST_TEST(remove_waiting(queue, id));
                    close(id);
                }
                break;
            default:
            {
                auto const before = queue;
                auto const sent = dequeue(queue, at);
                if (!sent)
                    break;
                close(sent->id);
                for (auto const& other : queue.waiting)
                {
                    if (other.rank >= sent->rank ||
                        team_excess(before, other.team, at) > 0)
                        continue;
                    auto const later = sent->since - other.since;
                    BOOST_TEST(
                        (later <= urgency_bound(queue.options,
                                                sent->rank - other.rank)));
                }
            }
            }
            remove_expired(queue, at);
            BOOST_TEST(queue.waiting.size() == open.size());
            BOOST_TEST(queue.waiting.size() <= 12U);
            BOOST_TEST(queue.bytes == 100 * queue.waiting.size());
        }
        while (auto const sent = dequeue(queue, at))
            close(sent->id);
        BOOST_TEST(open.empty());
        BOOST_TEST(queue.bytes == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

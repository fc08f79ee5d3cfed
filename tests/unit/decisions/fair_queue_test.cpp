/// Tests of the weighted fair queue.
#include "decisions/fair_queue.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

constexpr auto distant_deadline = time_point{} + 1h;

std::uint64_t next_sequence = 0;

queued_request
make_request(std::string team, std::uint32_t weight = 1,
             request_priority priority = request_priority::standard,
             time_point deadline = distant_deadline)
{
    return {.attempt = {{1, ++next_sequence}, 1},
            .team = {std::move(team)},
            .weight = weight,
            .priority = priority,
            .deadline = deadline};
}

enqueue_outcome enqueue_now(fair_queue& queue, queued_request request,
                            service_rate rate = {})
{
    return enqueue(queue, std::move(request), rate, time_point{});
}

/// Serves `count` requests. Returns the number of each team.
std::map<std::string, int> serve(fair_queue& queue, int count)
{
    std::map<std::string, int> served;
    for (int i = 0; i < count; ++i)
        ++served[dequeue(queue)->team.value];
    return served;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fair_queues)

BOOST_AUTO_TEST_CASE(teams_are_served_by_weight)
{
    fair_queue queue;
    for (int i = 0; i < 30; ++i)
        enqueue_now(queue, make_request("heavy", 3));
    for (int i = 0; i < 30; ++i)
        enqueue_now(queue, make_request("light"));
    auto served = serve(queue, 20);
    BOOST_TEST(served["heavy"] == 15);
    BOOST_TEST(served["light"] == 5);
}

BOOST_AUTO_TEST_CASE(a_surge_delays_only_the_team_that_causes_it)
{
    for (bool const fair : {true, false})
    {
        fair_queue queue;
        queue.options.fair = fair;
        for (int i = 0; i < 60; ++i)
            enqueue_now(queue, make_request("surge"));
        enqueue_now(queue, make_request("quiet"));
        enqueue_now(queue, make_request("quiet"));
        auto served = serve(queue, 4);
        BOOST_TEST(served["quiet"] == (fair ? 2 : 0));
    }
}

BOOST_AUTO_TEST_CASE(an_idle_team_accumulates_no_credit)
{
    fair_queue queue;
    for (int i = 0; i < 20; ++i)
        enqueue_now(queue, make_request("busy"));
    serve(queue, 10);
    for (int i = 0; i < 10; ++i)
        enqueue_now(queue, make_request("late"));
    auto served = serve(queue, 10);
    BOOST_TEST(served["late"] >= 4);
    BOOST_TEST(served["late"] <= 6);
}

BOOST_AUTO_TEST_CASE(priority_orders_within_a_team_only)
{
    fair_queue queue;
    auto const batch = make_request("a", 1, request_priority::batch);
    auto const interactive =
        make_request("a", 1, request_priority::interactive);
    auto const other_team = make_request("b", 1, request_priority::batch);
    enqueue_now(queue, batch);
    enqueue_now(queue, interactive);
    enqueue_now(queue, other_team);
    BOOST_TEST((dequeue(queue)->attempt == interactive.attempt));
    BOOST_TEST((dequeue(queue)->attempt == other_team.attempt));
    BOOST_TEST((dequeue(queue)->attempt == batch.attempt));
    BOOST_TEST(!dequeue(queue));
}

BOOST_AUTO_TEST_CASE(a_full_queue_displaces_only_the_team_above_its_share)
{
    fair_queue queue;
    queue.options.capacity = 8;
    for (int i = 0; i < 8; ++i)
        enqueue_now(queue, make_request("surge"));
    BOOST_TEST((enqueue_now(queue, make_request("surge")).result ==
                enqueue_result::full));
    auto const outcome = enqueue_now(queue, make_request("quiet"));
    BOOST_TEST((outcome.result == enqueue_result::queued));
    BOOST_REQUIRE(outcome.displaced);
    BOOST_TEST(outcome.displaced->team.value == "surge");
    BOOST_TEST(queue.size == 8U);
}

BOOST_AUTO_TEST_CASE(a_wait_past_the_deadline_is_refused_at_once)
{
    fair_queue queue;
    service_rate const rate{.mean_service_time = 1s, .limit = 2};
    for (int i = 0; i < 10; ++i)
        enqueue_now(queue, make_request("a"), rate);
    // The request would be the eleventh, at half a second each.
    auto const deadline = time_point{} + 5s;
    BOOST_TEST(
        (enqueue_now(queue,
                     make_request("a", 1, request_priority::standard, deadline),
                     rate)
             .result == enqueue_result::misses_deadline));
    // A team without waiting requests would be served second.
    BOOST_TEST(
        (enqueue_now(queue,
                     make_request("b", 1, request_priority::standard, deadline),
                     rate)
             .result == enqueue_result::queued));
}

BOOST_AUTO_TEST_CASE(expired_and_removed_requests_leave_the_queue)
{
    fair_queue queue;
    auto const expiring =
        make_request("a", 1, request_priority::standard, time_point{} + 1s);
    auto const remaining = make_request("a");
    enqueue_now(queue, expiring);
    enqueue_now(queue, remaining);
    auto const expired = remove_expired_requests(queue, time_point{} + 1s);
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST((expired[0].attempt == expiring.attempt));
    BOOST_TEST(remove_request(queue, remaining.attempt));
    BOOST_TEST(!remove_request(queue, remaining.attempt));
    BOOST_TEST(queue.size == 0U);
    BOOST_TEST(queue.teams.empty());
}

BOOST_AUTO_TEST_SUITE_END()

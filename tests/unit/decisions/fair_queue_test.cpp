/// Tests of the weighted fair queue.
#include "decisions/fair_queue.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

constexpr auto far = time_point{} + 1h;

std::uint64_t next_sequence = 0;

queued_request
make_request(std::string team, std::uint32_t weight = 1,
             request_priority priority = request_priority::standard,
             time_point deadline = far)
{
    return {.attempt = {{1, ++next_sequence}, 1},
            .team = {std::move(team)},
            .weight = weight,
            .priority = priority,
            .deadline = deadline};
}

enqueue_outcome put(fair_queue& queue, queued_request request,
                    service_rate rate = {})
{
    return enqueue(queue, std::move(request), rate, time_point{});
}

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
        put(queue, make_request("heavy", 3));
    for (int i = 0; i < 30; ++i)
        put(queue, make_request("light"));
    auto served = serve(queue, 20);
    BOOST_TEST(served["heavy"] == 15);
    BOOST_TEST(served["light"] == 5);
}

BOOST_AUTO_TEST_CASE(a_surging_team_waits_behind_its_own_requests)
{
    for (bool const fair : {true, false})
    {
        fair_queue queue;
        queue.options.fair = fair;
        for (int i = 0; i < 60; ++i)
            put(queue, make_request("surge"));
        put(queue, make_request("quiet"));
        put(queue, make_request("quiet"));
        auto served = serve(queue, 4);
        BOOST_TEST(served["quiet"] == (fair ? 2 : 0));
    }
}

BOOST_AUTO_TEST_CASE(an_idle_team_saves_up_no_credit)
{
    fair_queue queue;
    for (int i = 0; i < 20; ++i)
        put(queue, make_request("busy"));
    serve(queue, 10);
    for (int i = 0; i < 10; ++i)
        put(queue, make_request("late"));
    auto served = serve(queue, 10);
    BOOST_TEST(served["late"] >= 4);
    BOOST_TEST(served["late"] <= 6);
}

BOOST_AUTO_TEST_CASE(priority_orders_within_a_team_only)
{
    fair_queue queue;
    auto const batch = make_request("a", 1, request_priority::batch);
    auto const quick = make_request("a", 1, request_priority::interactive);
    auto const other = make_request("b", 1, request_priority::batch);
    put(queue, batch);
    put(queue, quick);
    put(queue, other);
    BOOST_TEST((dequeue(queue)->attempt == quick.attempt));
    BOOST_TEST((dequeue(queue)->attempt == other.attempt));
    BOOST_TEST((dequeue(queue)->attempt == batch.attempt));
    BOOST_TEST(!dequeue(queue));
}

BOOST_AUTO_TEST_CASE(a_full_queue_displaces_only_the_team_above_its_share)
{
    fair_queue queue;
    queue.options.capacity = 8;
    for (int i = 0; i < 8; ++i)
        put(queue, make_request("surge"));
    BOOST_TEST(
        (put(queue, make_request("surge")).result == enqueue_result::full));
    auto const outcome = put(queue, make_request("quiet"));
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
        put(queue, make_request("a"), rate);
    // Eleven places at half a second each.
    auto const soon = time_point{} + 5s;
    BOOST_TEST((
        put(queue, make_request("a", 1, request_priority::standard, soon), rate)
            .result == enqueue_result::misses_deadline));
    // A team that queues nothing would wait for two places.
    BOOST_TEST((
        put(queue, make_request("b", 1, request_priority::standard, soon), rate)
            .result == enqueue_result::queued));
}

BOOST_AUTO_TEST_CASE(expired_and_removed_requests_leave)
{
    fair_queue queue;
    auto const short_lived =
        make_request("a", 1, request_priority::standard, time_point{} + 1s);
    auto const long_lived = make_request("a");
    put(queue, short_lived);
    put(queue, long_lived);
    auto const expired = remove_expired_requests(queue, time_point{} + 1s);
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST((expired[0].attempt == short_lived.attempt));
    BOOST_TEST(remove_request(queue, long_lived.attempt));
    BOOST_TEST(!remove_request(queue, long_lived.attempt));
    BOOST_TEST(queue.size == 0U);
    BOOST_TEST(queue.teams.empty());
}

BOOST_AUTO_TEST_SUITE_END()

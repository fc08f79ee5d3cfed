/// Tests of the HTTP server while memory or connections are short.
#include "server_fixture.hpp"

#include <algorithm>
#include <list>

using namespace bramleyarch;
using testing::get;
using testing::post;
using testing::raw_caller;
using namespace std::chrono_literals;

namespace
{

#ifdef BRAMLEY_SMALL_MEMORY
/// Four bodies fill the budget: what one turn of the loop adds shows here.
constexpr std::size_t budget_bytes = 400'000;
constexpr std::size_t crowd = 8;
#else
constexpr std::size_t budget_bytes = 1'000'000;
constexpr std::size_t crowd = 16;
#endif
constexpr std::size_t body_bytes = 100'000;

struct memory_fixture : testing::server_fixture
{
    memory_fixture()
    {
        server = http::make_server({.on_event = [this](http::server_event e)
                                    { testing::record(seen, std::move(e)); },
                                    .listen = {"127.0.0.1", 0},
                                    .max_connections = 20,
                                    .max_body_bytes = body_bytes,
                                    .memory = {.total = budget_bytes,
                                               .per_address = budget_bytes},
                                    .stalled_after = 100ms})
                     .value();
    }

    /// Answers what has come until `done`; the memory stays within its budget.
    template <class Condition>
    void answer_until(Condition done)
    {
        run_until(
            [&]
            {
                most_held = std::max(most_held, http::held_bytes(*server));
                for (auto const& request : seen.requests)
                {
                    bodies.push_back(request.body->size());
                    http::send_answer(*server, request.id, {}, "ok");
                }
                for (auto const& refusal : seen.refused)
                {
                    causes.push_back(refusal.cause.kind);
                    http::send_answer(*server, refusal.id, {.status = 408}, "");
                }
                seen.requests.clear();
                seen.refused.clear();
                return done();
            });
        BOOST_TEST(most_held <= budget_bytes);
    }

    std::size_t most_held = 0;
    std::vector<std::size_t> bodies;
    std::vector<error_kind> causes;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_server_memory, memory_fixture)

// Guards against bodies that stop just short of their end and are held for as
// long as their callers like.
BOOST_AUTO_TEST_CASE(stalled_bodies_are_refused_until_memory_is_calm)
{
    auto const whole = post(std::string(body_bytes, 'b'));
    std::list<raw_caller> callers;
    for (std::size_t i = 0; i < crowd; ++i)
        callers.emplace_back(http::port_of(*server))
            .write(whole.substr(0, whole.size() - 1));
    answer_until([&] { return causes.size() >= crowd / 2; });
    BOOST_TEST(std::ranges::count(causes, error_kind::request_timeout) ==
               static_cast<std::ptrdiff_t>(causes.size()));
    raw_caller ordinary{http::port_of(*server)};
    ordinary.write(get);
    answer_until([&] { return !bodies.empty(); });
    BOOST_TEST(bodies.front() == 0U);
}

// Guards against sound callers that are refused, or wait for each other, since
// their bodies together exceed the memory.
BOOST_AUTO_TEST_CASE(sound_bodies_are_paused_and_become_whole)
{
    std::list<raw_caller> callers;
    for (std::size_t i = 0; i < crowd; ++i)
        callers.emplace_back(http::port_of(*server))
            .write(post(std::string(body_bytes, 'b')));
    answer_until([&] { return bodies.size() == crowd; });
    BOOST_TEST(std::ranges::count(bodies, body_bytes) ==
               static_cast<std::ptrdiff_t>(crowd));
    BOOST_TEST(causes.empty());
}

BOOST_AUTO_TEST_CASE(caller_that_reads_nothing_is_closed_and_its_user_told)
{
    raw_caller slow{http::port_of(*server)};
    slow.write(get);
    auto const request = take_request();
    http::start_answer(*server, request.id, {});
    // More than the buffers of the two sockets hold.
    std::string const part(budget_bytes, 'a');
    run_until(
        [&]
        {
            if (http::queued_bytes(*server, request.id) < budget_bytes)
                http::send_bytes(*server, request.id, part);
            return !seen.left.empty();
        });
    BOOST_TEST(seen.left.front() == request.id);
    BOOST_TEST(http::held_bytes(*server) == 0U);
}

BOOST_AUTO_TEST_CASE(idle_connection_makes_room_for_a_new_caller)
{
    std::list<raw_caller> idle;
    for (int i = 0; i < 20; ++i)
        idle.emplace_back(http::port_of(*server));
    run_until([this] { return seen.connections == 20; });
    raw_caller early{http::port_of(*server)};
    run_until([this] { return seen.connections_refused == 1; });
    run_for(150ms);
    raw_caller ordinary{http::port_of(*server)};
    ordinary.write(get);
    take_request();
    BOOST_TEST(seen.connections_refused == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

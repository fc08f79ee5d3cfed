/// Tests of the backend service with scripted servers and a fake owner service.
#include "services/backend/backend_service.hpp"

#include "kernel/kernel.hpp"
#include "raw_server.hpp"
#include "services/messages/names.hpp"

#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <mutex>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace std::chrono_literals;
using bramleyarch::testing::ending;
using bramleyarch::testing::raw_server;

namespace
{

/// Messages that the fake owner received; shared with the thread of the test.
struct owner_log
{
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<owner_message> messages;
};

struct fake_owner
{
    std::shared_ptr<owner_log> log;
};

void record_message(fake_owner& state, kernel::context<owner_message>&,
                    owner_message message)
{
    std::lock_guard const lock{state.log->mutex};
    state.log->messages.push_back(std::move(message));
    state.log->changed.notify_all();
}

struct fixture
{
    std::shared_ptr<owner_log> log = std::make_shared<owner_log>();
    kernel::kernel test_kernel{kernel::run_mode::threaded};
    kernel::address<backend_message> backend;

    fixture()
    {
        test_kernel.add(kernel::service<fake_owner, owner_message>{
            .name = std::string{to_name(service_name::owner)},
            .state = {log},
            .receive = record_message});
        backend =
            test_kernel.add(make_backend_service({.report_timeout = 300ms}));
        test_kernel.start();
    }

    /// Waits until a message of this type matches `condition` and returns the
    /// latest one that does.
    template <class Message, class Condition>
    Message await(Condition condition)
    {
        std::unique_lock lock{log->mutex};
        Message const* found = nullptr;
        auto const search = [&]
        {
            for (auto const& message : log->messages)
            {
                auto const* candidate = std::get_if<Message>(&message);
                if (candidate && condition(*candidate))
                    found = candidate;
            }
            return found != nullptr;
        };
        BOOST_REQUIRE(log->changed.wait_for(lock, 20s, search));
        return *found;
    }

    template <class Message>
    Message await()
    {
        return await<Message>([](Message const&) { return true; });
    }

    /// Returns how many messages of this type were received.
    template <class Message>
    std::size_t count()
    {
        std::lock_guard const lock{log->mutex};
        return static_cast<std::size_t>(std::count_if(
            log->messages.begin(), log->messages.end(),
            [](auto const& m) { return std::holds_alternative<Message>(m); }));
    }

    /// Returns the body bytes received so far, of all attempts.
    std::string body()
    {
        std::lock_guard const lock{log->mutex};
        std::string text;
        for (auto const& message : log->messages)
        {
            if (auto const* chunk = std::get_if<backend_chunk>(&message))
                text += chunk->bytes;
        }
        return text;
    }
};

attempt_id const attempt{.request = {4, 5}, .number = 2};

dispatch make_dispatch(std::uint16_t port)
{
    return {.attempt = attempt,
            .server = {"s1"},
            .address = {"127.0.0.1", port},
            .method = "POST",
            .target = "/book",
            .body = std::make_shared<std::string const>("bin 4"),
            .credit = 1 << 20,
            .silence_limit = 10s,
            .deadline = std::chrono::steady_clock::now() + 10s};
}

std::string load_report_response()
{
    return bramleyarch::testing::plain_answer(
        R"({"incarnation":9,"running":2,"waiting":1,"cold":false,"age_ms":5})");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(backend, fixture)

BOOST_AUTO_TEST_CASE(end_of_an_answer_tells_whether_only_the_close_ended_it)
{
    raw_server unframed{{.parts = {"HTTP/1.1 200 OK\r\n\r\n", "booked"}}};
    send(backend, make_dispatch(unframed.port()));
    BOOST_TEST(await<backend_end>().by_close);
}

BOOST_AUTO_TEST_CASE(attempt_is_sent_and_answered)
{
    raw_server server{
        {.parts = {bramleyarch::testing::plain_answer("booked")}}};
    send(backend, make_dispatch(server.port()));
    BOOST_TEST((await<backend_end>().attempt == attempt));
    BOOST_TEST(!await<backend_end>().by_close);
    BOOST_TEST((await<backend_send_started>().attempt == attempt));
    BOOST_TEST(await<backend_head>().status == 200);
    BOOST_TEST(body() == "booked");
    BOOST_TEST(server.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(connection_reset_fails_the_attempt_without_resending)
{
    raw_server server{{.then = ending::reset}};
    send(backend, make_dispatch(server.port()));
    auto const failed = await<backend_failed>();
    BOOST_TEST(failed.sent);
    BOOST_TEST((failed.cause.kind == error_kind::server_closed));
    BOOST_TEST(server.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(attempt_to_unreachable_server_is_reported_as_not_sent)
{
    std::uint16_t port = 0;
    {
        raw_server const closed_server{{}};
        port = closed_server.port();
    }
    send(backend, make_dispatch(port));
    auto const failed = await<backend_failed>();
    BOOST_TEST(!failed.sent);
    BOOST_TEST(count<backend_send_started>() == 0U);
}

BOOST_AUTO_TEST_CASE(deadline_ends_an_attempt)
{
    raw_server server{{.then = ending::hold}};
    auto request = make_dispatch(server.port());
    request.deadline = std::chrono::steady_clock::now() + 300ms;
    send(backend, request);
    auto const failed = await<backend_failed>();
    BOOST_TEST((failed.cause.kind == error_kind::deadline_exceeded));
    BOOST_TEST(failed.sent);
    request.attempt.number = 3;
    send(backend, request);
    auto const late = await<backend_failed>([](auto const& f)
                                            { return f.attempt.number == 3; });
    BOOST_TEST(!late.sent);
    BOOST_TEST(server.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aborted_attempt_closes_the_connection_without_an_event)
{
    raw_server server{{.parts = {"HTTP/1.1 200 OK\r\n"
                                 "content-length: 9\r\n\r\npart"},
                       .then = ending::hold}};
    send(backend, make_dispatch(server.port()));
    await<backend_chunk>();
    send(backend, abort_attempt{attempt});
    auto const deadline = std::chrono::steady_clock::now() + 20s;
    while (server.closed_by_peer() == 0 &&
           std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(5ms);
    BOOST_TEST(server.closed_by_peer() == 1U);
    BOOST_TEST(count<backend_failed>() == 0U);
    BOOST_TEST(count<backend_end>() == 0U);
}

BOOST_AUTO_TEST_CASE(credit_limits_the_bytes_read)
{
    std::string const large(500'000, 'l');
    raw_server server{{.parts = {bramleyarch::testing::plain_answer(large)}}};
    auto request = make_dispatch(server.port());
    request.credit = 10'000;
    send(backend, request);
    await<backend_head>();
    std::this_thread::sleep_for(300ms);
    BOOST_TEST(body().size() == 10'000U);
    send(backend, grant_backend_credit{.attempt = attempt, .bytes = 1 << 20});
    await<backend_end>();
    BOOST_TEST((body() == large));
}

BOOST_AUTO_TEST_CASE(failing_load_reports_do_not_affect_other_servers)
{
    raw_server good{{.parts = {load_report_response()}}};
    raw_server hanging{{.then = ending::hold}};
    raw_server trickling{{.parts = {"HTTP/1.1 200 OK\r\n"
                                    "content-length: 50\r\n\r\n{"},
                          .then = ending::hold}};
    raw_server broken{{.parts = {bramleyarch::testing::plain_answer("none")}}};
    auto const watch = [this](char const* id, raw_server const& server)
    {
        send(backend, watch_server{.server = {id},
                                   .address = {"127.0.0.1", server.port()},
                                   .interval = 100ms});
    };
    watch("hanging", hanging);
    watch("trickling", trickling);
    watch("good", good);
    watch("broken", broken);
    auto const report = await<server_load_report>();
    BOOST_TEST(report.server.value == "good");
    BOOST_TEST(report.server_incarnation == 9U);
    for (std::string const id : {"hanging", "trickling", "broken"})
    {
        await<server_load_report_failed>([&id](auto const& f)
                                         { return f.server.value == id; });
    }
    auto const reports = count<server_load_report>();
    while (count<server_load_report>() < reports + 3)
        std::this_thread::sleep_for(20ms);
    std::lock_guard const lock{log->mutex};
    for (auto const& message : log->messages)
    {
        if (auto const* failed =
                std::get_if<server_load_report_failed>(&message))
            BOOST_TEST(failed->server.value != "good");
    }
}

BOOST_AUTO_TEST_CASE(load_reports_stop_after_unwatch_server)
{
    raw_server server{{.parts = {load_report_response()}}};
    send(backend, watch_server{.server = {"s1"},
                               .address = {"127.0.0.1", server.port()},
                               .interval = 100ms});
    await<server_load_report>();
    send(backend, unwatch_server{{"s1"}});
    raw_server other_server{
        {.parts = {bramleyarch::testing::plain_answer("x")}}};
    send(backend, make_dispatch(other_server.port()));
    await<backend_end>();
    auto const request_count = server.requests().size();
    std::this_thread::sleep_for(500ms);
    // One request may have been in flight when the server was unwatched.
    BOOST_TEST(server.requests().size() <= request_count + 1);
}

BOOST_AUTO_TEST_SUITE_END()

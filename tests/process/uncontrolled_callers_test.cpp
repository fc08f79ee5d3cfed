/// A real router beside callers that hold its memory and its descriptors. In a
/// trial such callers made a router run out of memory. Each form of load runs
/// beside one ordinary caller.
///
/// `process_tests --run_test=uncontrolled_callers -- PROGRAM` plays another
/// build of the router.
#include "caller_crowd.hpp"
#include "http_call.hpp"
#include "store_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <string>
#include <thread>

using namespace bramleyarch::process_test;
using namespace std::chrono_literals;

namespace
{

/// Settings of the test. The bounds follow from them.
constexpr std::size_t memory_mb = 96;
constexpr std::size_t max_connections = 400;
constexpr std::size_t max_body_bytes = 1U << 20;

/// Each caller's connection may need one to a server. The rest is for the
/// router's own sockets and files.
constexpr std::size_t own_descriptors = 64;
constexpr std::size_t max_descriptors = 2 * max_connections + own_descriptors;

/// Their whole bodies are more than twice the memory limit.
constexpr std::size_t crowd_size = 250;
constexpr std::size_t idle_crowd_size = 1000;
constexpr auto without_end = static_cast<std::size_t>(-1);

constexpr auto load_time = 8s;
constexpr int ordinary_attempts = 100;

struct usage
{
    std::size_t resident_kib = 0;
    std::size_t descriptors = 0;
};

usage read_usage(int process)
{
    usage seen;
    std::ifstream status{fmt::format("/proc/{}/status", process)};
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with("VmRSS:"))
            seen.resident_kib = std::stoul(line.substr(sizeof "VmRSS:" - 1));
    }
    std::error_code failed;
    for (std::filesystem::directory_iterator
             at{fmt::format("/proc/{}/fd", process), failed},
         end;
         !failed && at != end; at.increment(failed))
        ++seen.descriptors;
    return seen;
}

int call_ordinary(store_router const& router)
{
    return run_call({.port = router.callers,
                     .method = "POST",
                     .target = "/look/order",
                     .body = "order",
                     .headers = {{"host", "h.example"},
                                 {"authorization", "Bearer key"},
                                 {"x-bramleyarch-request-id", "ordinary"},
                                 {"x-bramleyarch-deadline-ms", "1500"}},
                     .limit = 2s})
        .status;
}

bool is_answered(store_router const& router)
{
    for (int i = 0; i < ordinary_attempts; ++i)
    {
        if (call_ordinary(router) == 200)
            return true;
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

std::string post(std::string const& more, std::string const& path)
{
    return fmt::format("POST {} HTTP/1.1\r\nhost: h.example\r\n"
                       "authorization: Bearer key\r\n"
                       "x-bramleyarch-request-id: crowd\r\n"
                       "x-bramleyarch-deadline-ms: 10000\r\n{}",
                       path, more);
}

std::string chunked_post()
{
    return post("transfer-encoding: chunked\r\n\r\n", "/look/order");
}

std::string repeat(std::string const& text, std::size_t times)
{
    std::string all;
    for (std::size_t i = 0; i < times; ++i)
        all += text;
    return all;
}

/// Plays a crowd against a router and checks that the router stays inside its
/// bounds and answers an ordinary request while the crowd is still there.
void play(crowd_options options)
{
    auto const& suite = boost::unit_test::framework::master_test_suite();
    store_fleet fleet{{.routers = 1,
                       .event_gap = 0ms,
                       .stream_routes = {"stream"},
                       .program = suite.argc > 1 ? suite.argv[1] : "",
                       .more_settings = fmt::format(
                           "[limits]\nmax_connections = {}\nmemory_mb = {}\n",
                           max_connections, memory_mb),
                       .caller_limits = fmt::format(
                           R"("MaxHeaderBytes":16384,"MaxBodyBytes":{},)"
                           R"("HeaderTimeoutMs":10000,"IdleTimeoutMs":60000)",
                           max_body_bytes)}};
    auto const& router = fleet.routers.front();
    BOOST_TEST_REQUIRE(is_answered(router));
    auto most = read_usage(router.process->id());
    BOOST_TEST_MESSAGE("at rest: " << most.resident_kib << " KiB");

    std::atomic<bool> over = false;
    std::atomic<int> answered = 0;
    std::thread ordinary{[&]
                         {
                             while (!over)
                             {
                                 answered += call_ordinary(router) == 200;
                                 std::this_thread::sleep_for(50ms);
                             }
                         }};
    options.port = router.callers;
    caller_crowd crowd{std::move(options)};
    auto const end = std::chrono::steady_clock::now() + load_time;
    auto const sample = [&]
    {
        auto const seen = read_usage(router.process->id());
        most.resident_kib = std::max(most.resident_kib, seen.resident_kib);
        most.descriptors = std::max(most.descriptors, seen.descriptors);
    };
    while (std::chrono::steady_clock::now() < end)
    {
        step(crowd);
        sample();
        std::this_thread::sleep_for(1ms);
    }
    over = true;
    ordinary.join();
    BOOST_TEST_MESSAGE("most: "
                       << most.resident_kib << " KiB, " << most.descriptors
                       << " descriptors; " << open_callers(crowd)
                       << " callers still open; answered beside " << answered);
    BOOST_TEST(is_answered(router));
    sample();
    BOOST_TEST(router.process->running());
    BOOST_TEST(most.resident_kib <= memory_mb * 1024);
    BOOST_TEST(most.descriptors <= max_descriptors);
}

} // namespace

BOOST_AUTO_TEST_SUITE(uncontrolled_callers)

// Bodies in chunks of a few bytes that stop short of their end and stay open.
BOOST_AUTO_TEST_CASE(small_chunks)
{
    play({.callers = crowd_size,
          .head = chunked_post(),
          .block = repeat("4\r\nbody\r\n", 1024),
          .blocks = max_body_bytes / 4096 - 1});
}

// Bodies in one chunk that lacks its last bytes.
BOOST_AUTO_TEST_CASE(large_chunks)
{
    play({.callers = crowd_size,
          .head = chunked_post() + fmt::format("{:x}\r\n", max_body_bytes),
          .block = std::string(4096, 'b'),
          .blocks = max_body_bytes / 4096 - 1});
}

BOOST_AUTO_TEST_CASE(announced_too_large)
{
    play({.callers = crowd_size,
          .head = post("content-length: 1073741824\r\n\r\n", "/look/order"),
          .block = std::string(4096, 'b'),
          .blocks = without_end});
}

BOOST_AUTO_TEST_CASE(chunked_too_large)
{
    play({.callers = crowd_size,
          .head = chunked_post(),
          .block = "1000\r\n" + std::string(4096, 'b') + "\r\n",
          .blocks = without_end});
}

BOOST_AUTO_TEST_CASE(slow_heads)
{
    play({.callers = crowd_size,
          .head = post("", "/look/order"),
          .block = "a:\r\n",
          .blocks = 4000,
          .bytes_per_write = 1});
}

BOOST_AUTO_TEST_CASE(chunk_extensions)
{
    play({.callers = crowd_size,
          .head = chunked_post(),
          .block = "1;" + repeat("name=value;", 1024) + "\r\nb\r\n",
          .blocks = without_end});
}

// Each line of a trailer is short, so that what a router keeps for it is much
// larger than the line.
BOOST_AUTO_TEST_CASE(trailers)
{
    play({.callers = crowd_size,
          .head = chunked_post() + "0\r\n",
          .block = repeat("a:\r\n", 1024),
          .blocks = without_end});
}

BOOST_AUTO_TEST_CASE(unread_streams)
{
    play({.callers = crowd_size,
          .head = post("content-length: 0\r\n\r\n",
                       "/stream/chat/100000?gap=0&bytes=16000"),
          .reads = false});
}

// Idle connections beyond what the router accepts, all of which were answered
// once.
BOOST_AUTO_TEST_CASE(idle_connections)
{
    play({.callers = idle_crowd_size,
          .head = post("content-length: 0\r\n\r\n", "/look/order")});
}

BOOST_AUTO_TEST_SUITE_END()

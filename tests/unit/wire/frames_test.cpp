/// Tests of the frames between routers: round trips and hostile input.
#include "wire/frames.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <tuple>
#include <vector>

using namespace bramleyarch;
using namespace bramleyarch::wire;
using namespace std::chrono_literals;

namespace
{

constexpr attempt_id some_attempt{.request = {.entry = 7, .sequence = 8},
                                  .number = 2};

services::offer make_offer(time_point now)
{
    routed_request request{.id = some_attempt.request,
                           .team = {"wash"},
                           .service = {"chat"},
                           .model = "m",
                           .kind = request_kind::non_idempotent,
                           .priority = request_priority::batch,
                           .chat = 99,
                           .key = make_idempotency_key(wall_time{5s}, 1, 2),
                           .deadline = now + 750ms,
                           .method = "POST",
                           .target = "/v1/x",
                           .headers = {{"a", "b"}},
                           .body = std::make_shared<std::string const>("body"),
                           .work = 300,
                           .body_fingerprint = 4,
                           .resume_offset = 5};
    return {.attempt = some_attempt,
            .server = {"s1"},
            .config_version = 12,
            .request = request};
}

std::vector<frame> one_of_each(time_point now)
{
    server_load const load{.server = {"s1"}, .in_flight = 300, .limit = 4};
    return {hello{{"a"}, {"b"}, 3},
            link_heartbeat{.number = 4, .reply = true},
            config_fetch{.newer_than = 3},
            config_answer{.json = "{}"},
            make_offer(now),
            services::cancel_attempt{some_attempt},
            services::grant_credit{some_attempt, 65536},
            services::redirect{some_attempt, error_kind::queue_full, load, 3ms},
            services::admitted{some_attempt, load},
            answer_head{some_attempt, 200, {{"k", "v"}}, {"s1"}},
            answer_chunk{some_attempt, 3, "data: x\n\n"},
            answer_end{some_attempt, 4, 500},
            answer_error{some_attempt,
                         {error_kind::server_closed, "gone"},
                         outcome::unknown,
                         2s}};
}

std::string encoded(frame const& what, time_point now = {})
{
    std::string out;
    BOOST_REQUIRE(append_frame(out, what, now));
    return out;
}

/// What `take_frame` makes of arbitrary bytes; must only return.
bool is_refused(std::string const& bytes)
{
    return !take_frame(bytes, {}).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(frames)

BOOST_AUTO_TEST_CASE(every_type_comes_back_the_same)
{
    std::size_t index = 0;
    for (auto const& original : one_of_each({}))
    {
        auto const bytes = encoded(original);
        auto const taken = take_frame(bytes, {});
        BOOST_REQUIRE(taken);
        BOOST_REQUIRE(taken.value().has_value());
        BOOST_TEST(taken.value()->bytes == bytes.size());
        BOOST_TEST(taken.value()->what.index() == index++);
        BOOST_TEST(encoded(taken.value()->what) == bytes);
    }
    BOOST_TEST(index == enum_size<frame_type>());
}

BOOST_AUTO_TEST_CASE(deadlines_travel_as_remaining_time)
{
    time_point const sender{100s};
    time_point const receiver{7s};
    auto const bytes = encoded(make_offer(sender), sender);
    auto const taken = take_frame(bytes, receiver);
    auto const& got = std::get<services::offer>(taken.value()->what);
    BOOST_TEST((got.request.deadline == receiver + 750ms));
    BOOST_TEST(*got.request.body == "body");
    BOOST_TEST((got.request.key == make_offer(sender).request.key));
    BOOST_TEST((got.request.kind == request_kind::non_idempotent));
    auto const late =
        take_frame(encoded(make_offer(sender), sender + 9s), receiver);
    auto const& expired = std::get<services::offer>(late.value()->what);
    BOOST_TEST((expired.request.deadline == receiver));
}

BOOST_AUTO_TEST_CASE(incomplete_frames_wait_for_more)
{
    for (auto const& original : one_of_each({}))
    {
        auto const bytes = encoded(original);
        for (std::size_t n = 0; n < bytes.size(); ++n)
        {
            auto const taken = take_frame(bytes.substr(0, n), {});
            BOOST_REQUIRE(taken);
            BOOST_TEST(!taken.value().has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(foreign_streams_are_refused_at_once)
{
    BOOST_TEST(is_refused("G"));
    BOOST_TEST(is_refused("GET / HTTP/1.1\r\n"));
    auto bytes = encoded(config_fetch{1});
    bytes[4] = 9;
    BOOST_TEST(is_refused(bytes));
    bytes = encoded(config_fetch{1});
    bytes[5] = 77;
    BOOST_TEST(is_refused(bytes));
    bytes = encoded(config_fetch{1});
    bytes[6] = 1;
    BOOST_TEST(is_refused(bytes));
}

BOOST_AUTO_TEST_CASE(oversized_frames_are_refused_from_the_header)
{
    auto bytes = encoded(config_fetch{1});
    bytes[11] = 0x7f;
    BOOST_TEST(is_refused(bytes.substr(0, frame_header_bytes)));
    std::string out = "kept";
    config_answer const large{std::string(max_payload_bytes + 1, 'x')};
    BOOST_TEST(!append_frame(out, large, {}));
    BOOST_TEST(out == "kept");
    config_answer const megabyte{std::string(1U << 20, 'x')};
    BOOST_TEST(take_frame(encoded(megabyte), {}).value().has_value());
}

BOOST_AUTO_TEST_CASE(claimed_lengths_allocate_nothing)
{
    // A document that claims 16 MB and carries none.
    auto bytes = encoded(config_answer{});
    bytes.replace(frame_header_bytes + 1, 1, "\xff\xff\xff\x07", 4);
    bytes[8] = 5;
    BOOST_TEST(is_refused(bytes));
    // More header fields than a list may have.
    bytes = encoded(answer_head{some_attempt, 200, {}, {}});
    bytes.replace(frame_header_bytes + 25, 1, "\xff\xff\x7f", 3);
    bytes[8] = static_cast<char>(bytes.size() - frame_header_bytes);
    BOOST_TEST(is_refused(bytes));
}

BOOST_AUTO_TEST_CASE(bytes_after_a_payload_are_refused)
{
    auto bytes = encoded(config_fetch{1});
    bytes.push_back('x');
    bytes[8] = static_cast<char>(bytes[8] + 1);
    BOOST_TEST(is_refused(bytes));
}

BOOST_AUTO_TEST_CASE(random_and_mutated_frames_only_give_errors)
{
    std::mt19937_64 random{20261204};
    auto const originals = one_of_each({});
    int refused = 0;
    constexpr int rounds = 200'000;
    for (int i = 0; i < rounds; ++i)
    {
        auto bytes = encoded(originals[random() % originals.size()]);
        auto const changes = 1 + random() % 4;
        for (std::size_t c = 0; c < changes; ++c)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 8 == 0)
            bytes.resize(random() % bytes.size());
        refused += is_refused(bytes) ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("refused of " << rounds << ": " << refused);
    BOOST_TEST(refused > rounds / 4);
    for (int i = 0; i < rounds; ++i)
    {
        auto bytes = encoded(config_fetch{});
        bytes[5] = static_cast<char>(random() % enum_size<frame_type>());
        auto const payload = random() % 64;
        bytes.resize(frame_header_bytes);
        for (std::size_t n = 0; n < payload; ++n)
            bytes.push_back(static_cast<char>(random()));
        bytes[8] = static_cast<char>(payload);
        std::ignore = is_refused(bytes);
    }
}

BOOST_AUTO_TEST_CASE(coding_a_chunk_is_cheap)
{
    frame const chunk = answer_chunk{some_attempt, 3, std::string(120, 'x')};
    auto const begin = std::chrono::steady_clock::now();
    constexpr int rounds = 100'000;
    std::string out;
    for (int i = 0; i < rounds; ++i)
    {
        out.clear();
        BOOST_REQUIRE(append_frame(out, chunk, {}));
        BOOST_REQUIRE(take_frame(out, {}).value().has_value());
    }
    std::chrono::duration<double, std::micro> const spent =
        std::chrono::steady_clock::now() - begin;
    BOOST_TEST_MESSAGE("encode and decode a chunk, us: " << spent.count() /
                                                                rounds);
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of the encoding of frames between routers, with valid and malformed
/// input.
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

constexpr attempt_id sample_attempt{.request = {.entry = 7, .sequence = 8},
                                    .number = 2};

services::offer make_offer(time_point now)
{
    routed_request request{.id = sample_attempt.request,
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
    return {.attempt = sample_attempt,
            .server = {"s1"},
            .config_version = 12,
            .request = request};
}

std::vector<frame> make_each_type(time_point now)
{
    server_load const load{.server = {"s1"}, .in_flight = 300, .limit = 4};
    return {
        hello{{"a"}, {"b"}, 3},
        link_heartbeat{.number = 4, .reply = true},
        config_fetch{.newer_than = 3},
        config_answer{.json = "{}"},
        make_offer(now),
        services::cancel_attempt{sample_attempt},
        services::grant_credit{sample_attempt, 65536},
        services::redirect{sample_attempt, error_kind::queue_full, load, 3ms},
        services::admitted{sample_attempt, load},
        answer_head{sample_attempt, 200, {{"k", "v"}}, {"s1"}},
        answer_chunk{sample_attempt, 3, "data: x\n\n"},
        answer_end{sample_attempt, 4, 500},
        answer_error{sample_attempt,
                     {error_kind::server_closed, "gone"},
                     outcome::unknown,
                     2s}};
}

std::string encode(frame const& message, time_point now = {})
{
    std::string output;
    BOOST_REQUIRE(append_frame(output, message, now));
    return output;
}

/// Returns whether `decode_frame` fails for `bytes`.
bool is_rejected(std::string const& bytes)
{
    return !decode_frame(bytes, {}).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(frames)

BOOST_AUTO_TEST_CASE(decoding_returns_the_encoded_frame_of_each_type)
{
    std::size_t index = 0;
    for (auto const& original : make_each_type({}))
    {
        auto const bytes = encode(original);
        auto const decoded = decode_frame(bytes, {});
        BOOST_REQUIRE(decoded);
        BOOST_REQUIRE(decoded.value().has_value());
        BOOST_TEST(decoded.value()->bytes == bytes.size());
        BOOST_TEST(decoded.value()->what.index() == index++);
        BOOST_TEST(encode(decoded.value()->what) == bytes);
    }
    BOOST_TEST(index == enum_size<frame_type>());
}

BOOST_AUTO_TEST_CASE(deadlines_are_sent_as_remaining_time)
{
    time_point const sender{100s};
    time_point const receiver{7s};
    auto const bytes = encode(make_offer(sender), sender);
    auto const decoded = decode_frame(bytes, receiver);
    auto const& received = std::get<services::offer>(decoded.value()->what);
    BOOST_TEST((received.request.deadline == receiver + 750ms));
    BOOST_TEST(*received.request.body == "body");
    BOOST_TEST((received.request.key == make_offer(sender).request.key));
    BOOST_TEST((received.request.kind == request_kind::non_idempotent));
    auto const late =
        decode_frame(encode(make_offer(sender), sender + 9s), receiver);
    auto const& expired = std::get<services::offer>(late.value()->what);
    BOOST_TEST((expired.request.deadline == receiver));
}

BOOST_AUTO_TEST_CASE(incomplete_frames_are_not_decoded)
{
    for (auto const& original : make_each_type({}))
    {
        auto const bytes = encode(original);
        for (std::size_t size = 0; size < bytes.size(); ++size)
        {
            auto const decoded = decode_frame(bytes.substr(0, size), {});
            BOOST_REQUIRE(decoded);
            BOOST_TEST(!decoded.value().has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(streams_of_other_protocols_are_rejected_at_the_header)
{
    BOOST_TEST(is_rejected("G"));
    BOOST_TEST(is_rejected("GET / HTTP/1.1\r\n"));
    auto bytes = encode(config_fetch{1});
    bytes[4] = 9;
    BOOST_TEST(is_rejected(bytes));
    bytes = encode(config_fetch{1});
    bytes[5] = 77;
    BOOST_TEST(is_rejected(bytes));
    bytes = encode(config_fetch{1});
    bytes[6] = 1;
    BOOST_TEST(is_rejected(bytes));
}

BOOST_AUTO_TEST_CASE(oversized_frames_are_rejected_at_the_header)
{
    auto bytes = encode(config_fetch{1});
    bytes[11] = 0x7f;
    BOOST_TEST(is_rejected(bytes.substr(0, frame_header_bytes)));
    std::string output = "kept";
    config_answer const large{std::string(max_payload_bytes + 1, 'x')};
    BOOST_TEST(!append_frame(output, large, {}));
    BOOST_TEST(output == "kept");
    config_answer const megabyte{std::string(1U << 20, 'x')};
    BOOST_TEST(decode_frame(encode(megabyte), {}).value().has_value());
}

// A length in a frame must not make the decoder allocate memory for bytes that
// the frame does not contain.
BOOST_AUTO_TEST_CASE(lengths_beyond_the_payload_are_rejected)
{
    // The document has a length of 16 MB and no bytes.
    auto bytes = encode(config_answer{});
    bytes.replace(frame_header_bytes + 1, 1, "\xff\xff\xff\x07", 4);
    bytes[8] = 5;
    BOOST_TEST(is_rejected(bytes));
    // The list of header fields is longer than `max_list_elements`.
    bytes = encode(answer_head{sample_attempt, 200, {}, {}});
    bytes.replace(frame_header_bytes + 25, 1, "\xff\xff\x7f", 3);
    bytes[8] = static_cast<char>(bytes.size() - frame_header_bytes);
    BOOST_TEST(is_rejected(bytes));
}

BOOST_AUTO_TEST_CASE(bytes_after_a_payload_are_rejected)
{
    auto bytes = encode(config_fetch{1});
    bytes.push_back('x');
    bytes[8] = static_cast<char>(bytes[8] + 1);
    BOOST_TEST(is_rejected(bytes));
}

// Guards against decoders that read out of bounds or throw on malformed input.
// A mutated frame may still be valid, so not all are rejected.
BOOST_AUTO_TEST_CASE(random_and_mutated_frames_are_decoded_safely)
{
    std::mt19937_64 random{20261204};
    auto const originals = make_each_type({});
    int rejected = 0;
    constexpr int rounds = 200'000;
    for (int i = 0; i < rounds; ++i)
    {
        auto bytes = encode(originals[random() % originals.size()]);
        auto const changes = 1 + random() % 4;
        for (std::size_t change = 0; change < changes; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 8 == 0)
            bytes.resize(random() % bytes.size());
        rejected += is_rejected(bytes) ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("rejected of " << rounds << ": " << rejected);
    BOOST_TEST(rejected > rounds / 4);
    for (int i = 0; i < rounds; ++i)
    {
        auto bytes = encode(config_fetch{});
        bytes[5] = static_cast<char>(random() % enum_size<frame_type>());
        auto const payload_bytes = random() % 64;
        bytes.resize(frame_header_bytes);
        for (std::size_t size = 0; size < payload_bytes; ++size)
            bytes.push_back(static_cast<char>(random()));
        bytes[8] = static_cast<char>(payload_bytes);
        std::ignore = is_rejected(bytes);
    }
}

// Reports the time per chunk and checks only that encoding and decoding
// succeed.
BOOST_AUTO_TEST_CASE(time_to_encode_and_decode_a_chunk)
{
    frame const chunk = answer_chunk{sample_attempt, 3, std::string(120, 'x')};
    auto const begin = std::chrono::steady_clock::now();
    constexpr int rounds = 100'000;
    std::string output;
    for (int i = 0; i < rounds; ++i)
    {
        output.clear();
        BOOST_REQUIRE(append_frame(output, chunk, {}));
        BOOST_REQUIRE(decode_frame(output, {}).value().has_value());
    }
    std::chrono::duration<double, std::micro> const spent =
        std::chrono::steady_clock::now() - begin;
    BOOST_TEST_MESSAGE("encode and decode a chunk, us: " << spent.count() /
                                                                rounds);
}

BOOST_AUTO_TEST_SUITE_END()

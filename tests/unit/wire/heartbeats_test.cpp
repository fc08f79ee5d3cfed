/// Tests of the encoding of heartbeats, with valid and malformed input.
#include "decisions/gossip.hpp"
#include "wire/heartbeats.hpp"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace bramleyarch::wire;

namespace
{

/// Returns a heartbeat with an entry in each of its lists.
heartbeat make_full_heartbeat()
{
    member const info{.id = {"router-1"},
                      .domain = {"domain-1"},
                      .started = 1'700'000'000'001,
                      .state = member_state::leaving,
                      .link = {.address = "10.0.0.1", .port = 9000},
                      .heartbeat = {.address = "10.0.0.1", .port = 9001},
                      .admin = {.address = "10.0.0.9", .port = 9002},
                      .config = 300};
    full_member_update const full{
        .info = info, .sequence = 70'000, .age_steps = 12};
    return {.kind = heartbeat_kind::ack,
            .sender = full,
            .joined = {full},
            .members = {{.router = {1, 2}, .sequence = 3, .age_steps = 4}},
            .loads = {{.owner = {1, 2},
                       .sequence = 9,
                       .loads = {{.server = 8,
                                  .in_flight = 200,
                                  .limit = 3,
                                  .cold = true,
                                  .usable = false}}}},
            .demand = {{.team = 5, .rate_milli = 100'000}},
            .quarantine = {{.body_fingerprint = 6, .ttl_ms = 9000}},
            .probe_requests = {{3, 4}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(heartbeats)

BOOST_AUTO_TEST_CASE(decoding_returns_the_encoded_heartbeat)
{
    auto const bytes = encode_heartbeat(make_full_heartbeat());
    BOOST_TEST(bytes.size() <= max_encoded_bytes(make_full_heartbeat()));
    auto const decoded = decode_heartbeat(bytes);
    BOOST_REQUIRE(decoded);
    BOOST_TEST(encode_heartbeat(decoded.value()) == bytes);
    auto const& received = decoded.value();
    BOOST_TEST(received.sender.info.admin.address == "10.0.0.9");
    BOOST_TEST(received.sender.info.link.address == "10.0.0.1");
    BOOST_TEST((received.sender.info.state == member_state::leaving));
    BOOST_TEST(received.loads[0].loads[0].cold);
    BOOST_TEST(!received.loads[0].loads[0].usable);
    BOOST_TEST(received.demand[0].rate_milli == 100'000U);
}

BOOST_AUTO_TEST_CASE(truncated_and_extended_datagrams_are_rejected)
{
    auto const bytes = encode_heartbeat(make_full_heartbeat());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!decode_heartbeat(bytes.substr(0, size)));
    BOOST_TEST(!decode_heartbeat(bytes + "x"));
    BOOST_TEST(!decode_heartbeat(bytes + std::string(2000, 'x')));
}

// Guards against decoders that read out of bounds or throw on malformed input.
// A mutated datagram may still be a valid heartbeat, so not all are rejected.
BOOST_AUTO_TEST_CASE(mutated_datagrams_are_decoded_safely)
{
    std::mt19937_64 random{41};
    auto const original = encode_heartbeat(make_full_heartbeat());
    int rejected = 0;
    constexpr int rounds = 100'000;
    for (int i = 0; i < rounds; ++i)
    {
        auto bytes = original;
        auto const changes = 1 + random() % 4;
        for (std::size_t change = 0; change < changes; ++change)
            bytes[3 + random() % (bytes.size() - 3)] =
                static_cast<char>(random());
        rejected += decode_heartbeat(bytes) ? 0 : 1;
    }
    BOOST_TEST_MESSAGE("rejected of " << rounds << ": " << rejected);
    BOOST_TEST(rejected > 0);
}

BOOST_AUTO_TEST_SUITE_END()

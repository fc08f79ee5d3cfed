/// Tests of the encoding of heartbeats: size, round trip, hostile input.
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

heartbeat full_heartbeat()
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

BOOST_AUTO_TEST_CASE(comes_back_the_same_and_within_the_stated_size)
{
    auto const bytes = encode_heartbeat(full_heartbeat());
    BOOST_TEST(bytes.size() <= max_encoded_bytes(full_heartbeat()));
    auto const decoded = decode_heartbeat(bytes);
    BOOST_REQUIRE(decoded);
    BOOST_TEST(encode_heartbeat(decoded.value()) == bytes);
    auto const& got = decoded.value();
    BOOST_TEST(got.sender.info.admin.address == "10.0.0.9");
    BOOST_TEST(got.sender.info.link.address == "10.0.0.1");
    BOOST_TEST((got.sender.info.state == member_state::leaving));
    BOOST_TEST(got.loads[0].loads[0].cold);
    BOOST_TEST(!got.loads[0].loads[0].usable);
    BOOST_TEST(got.demand[0].rate_milli == 100'000U);
}

BOOST_AUTO_TEST_CASE(truncated_and_long_datagrams_are_refused)
{
    auto const bytes = encode_heartbeat(full_heartbeat());
    for (std::size_t n = 0; n < bytes.size(); ++n)
        BOOST_TEST(!decode_heartbeat(bytes.substr(0, n)));
    BOOST_TEST(!decode_heartbeat(bytes + "x"));
    BOOST_TEST(!decode_heartbeat(bytes + std::string(2000, 'x')));
}

BOOST_AUTO_TEST_CASE(random_and_mutated_datagrams_only_give_errors)
{
    std::mt19937_64 random{41};
    auto const original = encode_heartbeat(full_heartbeat());
    int refused = 0;
    constexpr int rounds = 100'000;
    for (int i = 0; i < rounds; ++i)
    {
        auto bytes = original;
        auto const changes = 1 + random() % 4;
        for (std::size_t c = 0; c < changes; ++c)
            bytes[3 + random() % (bytes.size() - 3)] =
                static_cast<char>(random());
        refused += decode_heartbeat(bytes) ? 0 : 1;
    }
    BOOST_TEST_MESSAGE("refused of " << rounds << ": " << refused);
    BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_SUITE_END()

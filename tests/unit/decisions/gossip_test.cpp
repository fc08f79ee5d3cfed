/// Tests of which loads a router gossips and which it must not gossip.
#include "decisions/gossip.hpp"
#include "decisions/local_loads.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{100s};

full_member_update router(std::string const& id, incarnation started)
{
    return {.info = {.id = {id}, .domain = {"d"}, .started = started},
            .sequence = 1};
}

membership two_members()
{
    membership members{.self = router("self", 1).info, .started_at = start};
    merge_evidence(members, router("a", 5), start);
    return members;
}

load_update loads_of(incarnation started, std::uint64_t sequence,
                     std::uint32_t in_flight)
{
    return {.owner = make_router_ref({"a"}, started),
            .sequence = sequence,
            .loads = {{.server = 1, .in_flight = in_flight}}};
}

ownership owned_by(std::string const& router)
{
    return {.owners = {{server_id{"s"}, router_id{router}}}};
}

/// Router without the mechanism under test: it keeps every load that it
/// counted, including those of servers that it does not own any more.
struct retaining_router
{
    std::map<server_id, server_load> counted;
};

/// Returns the index of the server that an entry router would choose: the one
/// with the least estimated load. A server of unknown load comes last.
std::size_t choose(std::array<std::optional<std::uint32_t>, 3> const& estimated)
{
    auto const rank = [](auto const& load)
    { return load.value_or(UINT32_MAX); };
    return static_cast<std::size_t>(
        std::ranges::min_element(estimated, {}, rank) - estimated.begin());
}

} // namespace

BOOST_AUTO_TEST_SUITE(gossip_of_loads)

BOOST_AUTO_TEST_CASE(only_newer_loads_of_a_known_incarnation_are_merged)
{
    auto members = two_members();
    gossip_state gossip;
    BOOST_TEST(
        merge_loads(gossip, members, loads_of(5, 4, 10), start).has_value());
    BOOST_TEST(
        !merge_loads(gossip, members, loads_of(5, 4, 11), start).has_value());
    BOOST_TEST(
        !merge_loads(gossip, members, loads_of(5, 3, 12), start).has_value());
    BOOST_TEST(
        !merge_loads(gossip, members, loads_of(4, 99, 13), start).has_value());
    BOOST_TEST(
        !merge_loads(gossip, members, loads_of(6, 99, 14), start).has_value());
    BOOST_TEST(
        merge_loads(gossip, members, loads_of(5, 5, 15), start).has_value());
}

BOOST_AUTO_TEST_CASE(a_restart_invalidates_the_loads_of_the_former_process)
{
    auto members = two_members();
    gossip_state gossip;
    merge_loads(gossip, members, loads_of(5, 1000, 10), start);
    merge_evidence(members, router("a", 6), start);
    BOOST_TEST(!merge_loads(gossip, members, loads_of(5, 1001, 10), start)
                    .has_value());
    BOOST_TEST(
        merge_loads(gossip, members, loads_of(6, 1, 2), start).has_value());
}

BOOST_AUTO_TEST_CASE(relayed_loads_keep_their_age_and_expire)
{
    auto members = two_members();
    gossip_state gossip;
    auto update = loads_of(5, 4, 10);
    update.age_steps = 20;
    merge_loads(gossip, members, update, start);
    heartbeat out{.sender = {.info = members.self}};
    add_gossip(gossip, members, {}, start + 3s, out);
    BOOST_REQUIRE(out.loads.size() == 1U);
    BOOST_TEST(out.loads[0].age_steps == 50U);
    heartbeat later{.sender = {.info = members.self}};
    add_gossip(gossip, members, {}, start + 9s, later);
    BOOST_TEST(later.loads.empty());
}

BOOST_AUTO_TEST_CASE(loads_are_counted_only_while_the_server_is_owned)
{
    local_loads local;
    record_local_load(local, {.server = {"s"}, .in_flight = 1}, start);
    BOOST_TEST(loads_to_advertise(local).empty());
    apply_ownership(local, owned_by("self"), {"self"}, start);
    record_local_load(local, {.server = {"s"}, .in_flight = 1}, start - 1s);
    BOOST_TEST(loads_to_advertise(local).empty());
    record_local_load(local, {.server = {"s"}, .in_flight = 2}, start + 1s);
    BOOST_TEST(loads_to_advertise(local).at(0).in_flight == 2U);
    apply_ownership(local, owned_by("other"), {"self"}, start + 2s);
    BOOST_TEST(loads_to_advertise(local).empty());
}

/// Guards against an outdated load that is sent as if it were recent. A router
/// counts a load of 1, loses the server to another router and owns it again
/// when its load is 40 and two other servers have loads of 10. Before the
/// router has counted again, 100 requests choose a server.
BOOST_AUTO_TEST_CASE(a_load_retained_from_earlier_ownership_attracts_requests)
{
    local_loads local;
    retaining_router retaining;
    server_load const earlier{.server = {"s"}, .in_flight = 1};
    apply_ownership(local, owned_by("self"), {"self"}, start);
    record_local_load(local, earlier, start);
    retaining.counted[earlier.server] = earlier;
    apply_ownership(local, owned_by("other"), {"self"}, start + 5s);
    apply_ownership(local, owned_by("self"), {"self"}, start + 60s);

    std::array<std::optional<std::uint32_t>, 3> with{{{}, 10, 10}};
    auto without = with;
    auto const sent = loads_to_advertise(local);
    if (!sent.empty())
        with[0] = sent[0].in_flight;
    without[0] = retaining.counted.at({"s"}).in_flight;
    int misdirected_with = 0;
    int misdirected_without = 0;
    for (int i = 0; i < 100; ++i)
    {
        misdirected_with += choose(with) == 0 ? 1 : 0;
        misdirected_without += choose(without) == 0 ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("requests of 100 to the busiest server, loads of "
                       << "earlier ownership removed: " << misdirected_with
                       << ", retained: " << misdirected_without);
    BOOST_TEST(misdirected_with == 0);
    BOOST_TEST(misdirected_without == 100);
}

BOOST_AUTO_TEST_SUITE_END()

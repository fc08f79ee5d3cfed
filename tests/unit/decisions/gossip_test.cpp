/// Tests of which loads are told, and of those that must not be.
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
    membership m{.self = router("self", 1).info, .started_at = start};
    merge_evidence(m, router("a", 5), start);
    return m;
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

/// Keeps every load ever counted, also those of an earlier role.
struct remembering_router
{
    std::map<server_id, server_load> counted;
};

/// Router that an entry router would send to: the least believed load, a
/// server of unknown load last.
std::size_t choose(std::array<std::optional<std::uint32_t>, 3> const& believed)
{
    auto const rank = [](auto const& load)
    { return load.value_or(UINT32_MAX); };
    return static_cast<std::size_t>(
        std::ranges::min_element(believed, {}, rank) - believed.begin());
}

} // namespace

BOOST_AUTO_TEST_SUITE(spread_of_loads)

BOOST_AUTO_TEST_CASE(the_newest_of_an_incarnation_wins)
{
    auto m = two_members();
    gossip_state s;
    BOOST_TEST(merge_loads(s, m, loads_of(5, 4, 10), start).has_value());
    BOOST_TEST(!merge_loads(s, m, loads_of(5, 4, 11), start).has_value());
    BOOST_TEST(!merge_loads(s, m, loads_of(5, 3, 12), start).has_value());
    BOOST_TEST(!merge_loads(s, m, loads_of(4, 99, 13), start).has_value());
    BOOST_TEST(!merge_loads(s, m, loads_of(6, 99, 14), start).has_value());
    BOOST_TEST(merge_loads(s, m, loads_of(5, 5, 15), start).has_value());
}

BOOST_AUTO_TEST_CASE(a_restart_voids_what_the_former_process_counted)
{
    auto m = two_members();
    gossip_state s;
    merge_loads(s, m, loads_of(5, 1000, 10), start);
    merge_evidence(m, router("a", 6), start);
    BOOST_TEST(!merge_loads(s, m, loads_of(5, 1001, 10), start).has_value());
    BOOST_TEST(merge_loads(s, m, loads_of(6, 1, 2), start).has_value());
}

BOOST_AUTO_TEST_CASE(relayed_loads_keep_their_age_and_end)
{
    auto m = two_members();
    gossip_state s;
    auto news = loads_of(5, 4, 10);
    news.age_steps = 20;
    merge_loads(s, m, news, start);
    heartbeat out{.sender = {.info = m.self}};
    add_gossip(s, m, {}, start + 3s, out);
    BOOST_REQUIRE(out.loads.size() == 1U);
    BOOST_TEST(out.loads[0].age_steps == 50U);
    heartbeat later{.sender = {.info = m.self}};
    add_gossip(s, m, {}, start + 9s, later);
    BOOST_TEST(later.loads.empty());
}

BOOST_AUTO_TEST_CASE(loads_are_counted_only_in_the_current_role)
{
    local_loads own;
    record_local_load(own, {.server = {"s"}, .in_flight = 1}, start);
    BOOST_TEST(loads_to_advertise(own).empty());
    apply_ownership(own, owned_by("self"), {"self"}, start);
    record_local_load(own, {.server = {"s"}, .in_flight = 1}, start - 1s);
    BOOST_TEST(loads_to_advertise(own).empty());
    record_local_load(own, {.server = {"s"}, .in_flight = 2}, start + 1s);
    BOOST_TEST(loads_to_advertise(own).at(0).in_flight == 2U);
    apply_ownership(own, owned_by("other"), {"self"}, start + 2s);
    BOOST_TEST(loads_to_advertise(own).empty());
}

/// A router owns a server at a load of 1, loses it, and gets it back when the
/// server is at 40 and two others are at 10. Until it has counted anew, 100
/// requests choose a server.
BOOST_AUTO_TEST_CASE(load_remembered_from_an_earlier_role_draws_requests)
{
    local_loads own;
    remembering_router remembering;
    server_load const earlier{.server = {"s"}, .in_flight = 1};
    apply_ownership(own, owned_by("self"), {"self"}, start);
    record_local_load(own, earlier, start);
    remembering.counted[earlier.server] = earlier;
    apply_ownership(own, owned_by("other"), {"self"}, start + 5s);
    apply_ownership(own, owned_by("self"), {"self"}, start + 60s);

    std::array<std::optional<std::uint32_t>, 3> with{{{}, 10, 10}};
    auto without = with;
    auto const told = loads_to_advertise(own);
    if (!told.empty())
        with[0] = told[0].in_flight;
    without[0] = remembering.counted.at({"s"}).in_flight;
    int wrong_with = 0;
    int wrong_without = 0;
    for (int i = 0; i < 100; ++i)
    {
        wrong_with += choose(with) == 0 ? 1 : 0;
        wrong_without += choose(without) == 0 ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("requests of 100 to the busiest server, loads of the "
                       << "earlier role forgotten: " << wrong_with
                       << ", remembered: " << wrong_without);
    BOOST_TEST(wrong_with == 0);
    BOOST_TEST(wrong_without == 100);
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of suspects and quarantine.
#include "decisions/quarantine.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t guilty = 1;
constexpr std::uint64_t innocent = 2;
server_id const s1{"s1"};
server_id const s2{"s2"};
time_point const start{};

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(second_server_quarantines_and_the_innocent_clears)
{
    quarantine_list list;
    record_suspect(list, guilty, s1, start);
    record_suspect(list, innocent, s1, start);
    BOOST_TEST((status_of(list, guilty, start) == body_status::suspect));
    BOOST_TEST(clear_suspected_body(list, innocent));
    BOOST_TEST(
        (record_suspect(list, guilty, s2, start) == body_status::quarantined));
    BOOST_TEST((status_of(list, innocent, start) == body_status::clear));
    BOOST_TEST(!clear_suspected_body(list, guilty));
    BOOST_TEST(count_quarantined(list, start) == 1U);
}

BOOST_AUTO_TEST_CASE(same_server_twice_is_still_a_suspect)
{
    quarantine_list list;
    record_suspect(list, guilty, s1, start);
    BOOST_TEST(
        (record_suspect(list, guilty, s1, start) == body_status::suspect));
}

BOOST_AUTO_TEST_CASE(entries_expire)
{
    quarantine_list list;
    record_suspect(list, guilty, s1, start);
    record_suspect(list, guilty, s2, start);
    auto const later = start + list.options.quarantine_ttl;
    BOOST_TEST(
        (status_of(list, guilty, later - 1ns) == body_status::quarantined));
    BOOST_TEST((status_of(list, guilty, later) == body_status::clear));
    remove_expired_bodies(list, later);
    BOOST_TEST(list.bodies.empty());
}

BOOST_AUTO_TEST_CASE(suspicions_of_two_routers_combine)
{
    quarantine_list list;
    record_suspect(list, guilty, s1, start);
    auto const standing = merge_remote_status(
        list, guilty, body_status::suspect, s2, 1min, start);
    BOOST_TEST((standing == body_status::quarantined));
}

BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    quarantine_list list{.options = {.max_bodies = 8}};
    for (std::uint64_t body = 0; body < 100; ++body)
        record_suspect(list, body, s1, start + std::chrono::seconds{body});
    BOOST_TEST(list.bodies.size() == 8U);
    BOOST_TEST(list.bodies.contains(99));
}

BOOST_AUTO_TEST_SUITE_END()

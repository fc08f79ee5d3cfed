/// Tests of suspect and quarantined bodies.
#include "decisions/quarantine.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t crashing_body = 1;
constexpr std::uint64_t harmless_body = 2;
server_id const first_server{"s1"};
server_id const second_server{"s2"};
time_point const start{};

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(a_second_crash_quarantines_and_completion_clears)
{
    quarantine_list list;
    record_suspect(list, crashing_body, first_server, start);
    record_suspect(list, harmless_body, first_server, start);
    BOOST_TEST((status_of(list, crashing_body, start) == body_status::suspect));
    BOOST_TEST(clear_suspected_body(list, harmless_body));
    BOOST_TEST((record_suspect(list, crashing_body, second_server, start) ==
                body_status::quarantined));
    BOOST_TEST((status_of(list, harmless_body, start) == body_status::clear));
    BOOST_TEST(!clear_suspected_body(list, crashing_body));
    BOOST_TEST(count_quarantined(list, start) == 1U);
}

BOOST_AUTO_TEST_CASE(two_crashes_of_one_server_do_not_quarantine)
{
    quarantine_list list;
    record_suspect(list, crashing_body, first_server, start);
    BOOST_TEST((record_suspect(list, crashing_body, first_server, start) ==
                body_status::suspect));
}

BOOST_AUTO_TEST_CASE(entries_expire)
{
    quarantine_list list;
    record_suspect(list, crashing_body, first_server, start);
    record_suspect(list, crashing_body, second_server, start);
    auto const expiry = start + list.options.quarantine_ttl;
    BOOST_TEST((status_of(list, crashing_body, expiry - 1ns) ==
                body_status::quarantined));
    BOOST_TEST((status_of(list, crashing_body, expiry) == body_status::clear));
    remove_expired_bodies(list, expiry);
    BOOST_TEST(list.bodies.empty());
}

BOOST_AUTO_TEST_CASE(suspicions_of_two_routers_combine)
{
    quarantine_list list;
    record_suspect(list, crashing_body, first_server, start);
    auto const status = merge_remote_status(
        list, crashing_body, body_status::suspect, second_server, 1min, start);
    BOOST_TEST((status == body_status::quarantined));
}

BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    quarantine_list list{.options = {.max_bodies = 8}};
    for (std::uint64_t body = 0; body < 100; ++body)
        record_suspect(list, body, first_server,
                       start + std::chrono::seconds{body});
    BOOST_TEST(list.bodies.size() == 8U);
    BOOST_TEST(list.bodies.contains(99));
}

BOOST_AUTO_TEST_SUITE_END()

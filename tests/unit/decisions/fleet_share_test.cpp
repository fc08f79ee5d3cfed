/// Tests of one router's share of limits that hold for all routers together.
#include "decisions/fleet_share.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

std::vector<router_id> routers(int count)
{
    std::vector<router_id> ids;
    for (int i = 0; i < count; ++i)
        ids.push_back({"router-" + std::to_string(i)});
    return ids;
}

/// Requests that all routers send to a cold server in its fullest second,
/// when each sends whenever its own spacing allows.
int most_cold_sends(int count, int known, double rate,
                    cold_share_options const& options)
{
    auto const all = routers(count);
    auto const spacing = cold_send_interval(rate, options);
    int senders = 0;
    for (int self = 0; self < count; ++self)
    {
        // Each knows other routers than the next one does.
        std::vector<router_id> others;
        for (int i = 1; i < known; ++i)
            others.push_back(all[static_cast<std::size_t>((self + i) % count)]);
        senders += may_send_to_cold_server({"server"},
                                           all[static_cast<std::size_t>(self)],
                                           others, options)
                       ? 1
                       : 0;
    }
    auto const in_a_second = static_cast<int>(1s / spacing) + 1;
    return senders * in_a_second;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_shares)

BOOST_AUTO_TEST_CASE(
    repeats_of_all_routers_stay_within_the_limit_when_everything_fails)
{
    retry_share_options const options{.ratio = 0.2, .slack = 56};
    constexpr std::uint32_t count = 8;
    constexpr int requests_a_second = 20;
    std::vector<retry_share> shares(count);
    int repeats = 0;
    int requests = 0;
    for (int tick = 0; tick < 100; ++tick)
    {
        time_point const at{1000s + tick * 100ms};
        for (auto& share : shares)
        {
            for (int i = 0; i < requests_a_second / 10; ++i)
            {
                record_request(share, options, at);
                ++requests;
                repeats += acquire_retry(share, options, count, at) ? 1 : 0;
            }
        }
    }
    BOOST_TEST(repeats <= options.ratio * requests + options.slack);
    BOOST_TEST(repeats > 0);
}

BOOST_AUTO_TEST_CASE(old_requests_earn_no_repeats)
{
    retry_share_options const options{.ratio = 1, .slack = 0};
    retry_share share;
    time_point const begin{1000s};
    for (int i = 0; i < 100; ++i)
        record_request(share, options, begin);
    BOOST_TEST(acquire_retry(share, options, 1, begin + 5s));
    BOOST_TEST(!acquire_retry(share, options, 1, begin + 11s));
}

BOOST_AUTO_TEST_CASE(a_router_alone_in_its_view_keeps_to_its_share_of_the_slack)
{
    retry_share_options const options{.ratio = 0, .slack = 56};
    retry_share share;
    int repeats = 0;
    for (int i = 0; i < 100; ++i)
        repeats += acquire_retry(share, options, 8, time_point{1000s}) ? 1 : 0;
    BOOST_TEST(repeats <= 56 / 8);
}

BOOST_AUTO_TEST_CASE(a_cold_server_bears_what_all_routers_send_it)
{
    cold_share_options const options{.overage = 1.5, .slack = 5};
    for (int const count : {3, 8, 11, 80})
    {
        for (double const rate : {1.0, 10.0, 50.0})
            BOOST_TEST(most_cold_sends(count, count, rate, options) <=
                           rate * options.overage + options.slack,
                       count << " routers, rate " << rate);
    }
}

BOOST_AUTO_TEST_CASE(every_cold_server_has_a_sender)
{
    cold_share_options const options;
    auto const all = routers(8);
    for (int server = 0; server < 100; ++server)
    {
        int senders = 0;
        for (auto const& self : all)
        {
            std::vector<router_id> others;
            for (auto const& other : all)
            {
                if (other != self)
                    others.push_back(other);
            }
            senders +=
                may_send_to_cold_server({"server-" + std::to_string(server)},
                                        self, others, options)
                    ? 1
                    : 0;
        }
        BOOST_TEST(senders == static_cast<int>(options.senders));
    }
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of one router's share in limits that apply to all routers together.
#include "decisions/fleet_share.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

std::vector<router_id> make_routers(int count)
{
    std::vector<router_id> ids;
    for (int i = 0; i < count; ++i)
        ids.push_back({"router-" + std::to_string(i)});
    return ids;
}

/// Returns the highest number of requests in one second that all routers send
/// to a cold server, if each sends as often as its interval allows. Each of the
/// `count` routers knows `known` routers including itself.
int max_cold_requests(int count, int known, double rate,
                      cold_share_options const& options)
{
    auto const all = make_routers(count);
    auto const interval = cold_send_interval(rate, options);
    int senders = 0;
    for (int self = 0; self < count; ++self)
    {
        // The routers that one router knows differ from those of the next.
        std::vector<router_id> others;
        for (int i = 1; i < known; ++i)
            others.push_back(all[static_cast<std::size_t>((self + i) % count)]);
        senders += may_send_to_cold_server({"server"},
                                           all[static_cast<std::size_t>(self)],
                                           others, options)
                       ? 1
                       : 0;
    }
    auto const per_second = static_cast<int>(1s / interval) + 1;
    return senders * per_second;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_shares)

BOOST_AUTO_TEST_CASE(
    retries_of_all_routers_stay_within_the_limit_when_everything_fails)
{
    retry_share_options const options{.ratio = 0.2, .slack = 56};
    constexpr std::uint32_t count = 8;
    constexpr int requests_per_s = 20;
    std::vector<retry_share> shares(count);
    int retries = 0;
    int requests = 0;
    for (int tick = 0; tick < 100; ++tick)
    {
        time_point const at{1000s + tick * 100ms};
        for (auto& share : shares)
        {
            for (int i = 0; i < requests_per_s / 10; ++i)
            {
                record_request(share, options, at);
                ++requests;
                retries += acquire_retry(share, options, count, at) ? 1 : 0;
            }
        }
    }
    BOOST_TEST(retries <= options.ratio * requests + options.slack);
    BOOST_TEST(retries > 0);
}

BOOST_AUTO_TEST_CASE(requests_before_the_window_allow_no_retries)
{
    retry_share_options const options{.ratio = 1, .slack = 0};
    retry_share share;
    time_point const begin{1000s};
    for (int i = 0; i < 100; ++i)
        record_request(share, options, begin);
    BOOST_TEST(acquire_retry(share, options, 1, begin + 5s));
    BOOST_TEST(!acquire_retry(share, options, 1, begin + 11s));
}

BOOST_AUTO_TEST_CASE(one_router_uses_only_its_share_of_the_slack)
{
    retry_share_options const options{.ratio = 0, .slack = 56};
    retry_share share;
    int retries = 0;
    for (int i = 0; i < 100; ++i)
        retries += acquire_retry(share, options, 8, time_point{1000s}) ? 1 : 0;
    BOOST_TEST(retries <= 56 / 8);
}

BOOST_AUTO_TEST_CASE(requests_of_all_routers_to_a_cold_server_stay_in_the_limit)
{
    cold_share_options const options{.overage = 1.5, .slack = 5};
    for (int const count : {3, 8, 11, 80})
    {
        for (double const rate : {1.0, 10.0, 50.0})
            BOOST_TEST(max_cold_requests(count, count, rate, options) <=
                           rate * options.overage + options.slack,
                       count << " routers, rate " << rate);
    }
}

BOOST_AUTO_TEST_CASE(every_cold_server_has_senders)
{
    cold_share_options const options;
    auto const all = make_routers(8);
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

/// Tests of the HTTP client and server when the process has no descriptor left.
#include "client_fixture.hpp"
#include "raw_server.hpp"
#include "server_fixture.hpp"

#include <ctime>
#include <sys/resource.h>
#include <unistd.h>

using namespace bramleyarch;
using namespace std::chrono_literals;
using testing::raw_caller;

namespace
{

/// Leaves this process no descriptor beyond those that are open.
class no_descriptors_left
{
public:
    no_descriptors_left()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        int const lowest_free = ::dup(0);
        ::close(lowest_free);
        auto limit = before_;
        limit.rlim_cur = static_cast<rlim_t>(lowest_free);
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~no_descriptors_left()
    {
        setrlimit(RLIMIT_NOFILE, &before_);
    }
    no_descriptors_left(no_descriptors_left const&) = delete;
    no_descriptors_left& operator=(no_descriptors_left const&) = delete;

private:
    rlimit before_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_without_descriptors)

// Guards against a loop that spins while callers wait in the backlog.
BOOST_FIXTURE_TEST_CASE(callers_wait_without_load_until_descriptors_are_free,
                        testing::server_fixture)
{
    raw_caller caller{http::port_of(*server)};
    caller.write(testing::get);
    {
        no_descriptors_left const exhausted;
        auto const cpu = std::clock();
        run_for(1s);
        BOOST_TEST(double(std::clock() - cpu) / CLOCKS_PER_SEC < 0.2);
        BOOST_TEST(seen.connections == 0U);
    }
    http::send_answer(*server, take_request().id, {}, "served");
    read_until(caller, "served");
}

// Guards against a want of our own that is taken for a failure of the server.
BOOST_FIXTURE_TEST_CASE(requests_and_checks_blame_no_server,
                        test::client_fixture)
{
    testing::raw_server const healthy{{}};
    http::wait(*client, 1ms);
    {
        no_descriptors_left const exhausted;
        http::open(*client, test::request_to(healthy.port()));
        http::check(*client, 8, {"127.0.0.1", healthy.port()}, 1s);
        run_until([this] { return seen.over() && !checked.empty(); });
    }
    BOOST_REQUIRE(seen.failures.size() == 1U);
    auto const& failed = seen.failures.front();
    BOOST_TEST((failed.cause.kind == error_kind::too_many_connections));
    BOOST_TEST(!failed.sent);
    BOOST_TEST(!checked.front().reachable);
    BOOST_TEST(!checked.front().attempted);
}

BOOST_AUTO_TEST_SUITE_END()

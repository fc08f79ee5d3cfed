/// Tests of the priority that requests state towards model servers.
#include "decisions/server_priority.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::decisions;

namespace
{

config::routing_rules rules_with(std::uint32_t first, std::uint32_t second)
{
    config::routing_rules rules;
    rules.services[{"model"}] = {.id = {"model"},
                                 .engine = config::engine_rule{.slots = 8}};
    rules.services[{"plain"}] = {.id = {"plain"}};
    rules.routes = {
        {.rank = first, .shares = {{{"model"}, 1}, {{"plain"}, 1}}},
        {.rank = second, .shares = {{{"model"}, 1}, {{"plain"}, 1}}},
        {.rank = 8, .shares = {{{"other"}, 1}}}};
    return rules;
}

} // namespace

BOOST_AUTO_TEST_SUITE(decisions_server_priority)

// An urgent request must not wait behind others in a server's queue.
BOOST_AUTO_TEST_CASE(priorities_follow_ranks)
{
    auto const rules = rules_with(0, 1);
    BOOST_TEST(server_priority(rules, {"model"}, 0).value() == 0U);
    BOOST_TEST(server_priority(rules, {"model"}, 1).value() == 1U);
    BOOST_TEST(server_priority(rules, {"model"}, 20).value() == 9U);
}

// Other deployments must be served as before.
BOOST_AUTO_TEST_CASE(no_priority_without_model_servers_or_different_ranks)
{
    BOOST_TEST(!server_priority(rules_with(2, 2), {"model"}, 2));
    BOOST_TEST(!server_priority(rules_with(0, 1), {"plain"}, 0));
    BOOST_TEST(!server_priority(rules_with(0, 1), {"unknown"}, 0));
}

BOOST_AUTO_TEST_SUITE_END()

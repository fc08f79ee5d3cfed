/// Tests of the deployment as read from a store with and without outages.
#include "decisions/discovery.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::decisions;
using namespace std::chrono_literals;

namespace
{

time_point const begin{1000s};

record_change server(revision changed, std::string const& id,
                     std::uint64_t born = 1, bool leaving = false,
                     std::uint64_t sequence = 1)
{
    return {.key = "servers/" + id,
            .changed = changed,
            .content = server_entry{.server = {.id = {id},
                                               .service = {"llm"},
                                               .domain = {"a"},
                                               .address = {"10.0.0.1", 80},
                                               .leaving = leaving,
                                               .born = born},
                                    .sequence = sequence}};
}

record_change server_removed(revision changed, std::string const& id)
{
    auto change = server(changed, id);
    change.removed = true;
    return change;
}

record_change rules(revision changed, revision version)
{
    config::routing_rules made{.version = version};
    return {.key = "rules",
            .changed = changed,
            .content =
                std::make_shared<config::routing_rules const>(std::move(made))};
}

record_change rules_of(revision changed, std::vector<std::string> const& names)
{
    config::routing_rules made{.version = changed};
    for (auto const& name : names)
        made.services[{name}] = {.id = {name}};
    return {.key = "rules",
            .changed = changed,
            .content =
                std::make_shared<config::routing_rules const>(std::move(made))};
}

record_change order(revision changed, std::string const& to = "v2")
{
    return {.key = "orders/llm",
            .changed = changed,
            .content = config::rollout_order{
                .service = {"llm"}, .to_version = to, .length = 12s}};
}

config::rollout_status status(revision of_order, revision changed)
{
    return {.service = {"llm"},
            .to_version = "v2",
            .state = config::rollout_state::rolled_back,
            .order = of_order,
            .changed = changed};
}

struct fixture
{
    discovery state;

    [[nodiscard]] bool has_server(std::string const& id) const
    {
        return state.deployment.servers.contains({id});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(discoveries, fixture)

BOOST_AUTO_TEST_CASE(rules_of_a_lower_version_are_ignored)
{
    apply_change(state, rules(1, 5), begin);
    BOOST_TEST(!apply_change(state, rules(2, 4), begin).deployment_changed);
    BOOST_TEST(state.deployment.rules->version == 5U);
    auto removed = rules(3, 5);
    removed.removed = true;
    apply_change(state, removed, begin);
    BOOST_TEST(state.deployment.rules->version == 5U);
    BOOST_TEST(apply_change(state, rules(4, 9), begin).deployment_changed);
    BOOST_TEST(state.deployment.rules->version == 9U);
}

BOOST_AUTO_TEST_CASE(repeated_and_outdated_changes_have_no_effect)
{
    apply_change(state, server(5, "s1", 1, true), begin);
    BOOST_TEST(!apply_change(state, server(4, "s1"), begin).deployment_changed);
    BOOST_TEST(!apply_change(state, server(5, "s1"), begin).deployment_changed);
    BOOST_TEST(state.deployment.servers.at({"s1"}).leaving);
}

BOOST_AUTO_TEST_CASE(a_leaving_server_stays_so_until_its_next_start)
{
    apply_change(state, server(1, "s1", 1, true, 7), begin);
    apply_change(state, server(2, "s1", 1, false, 8), begin);
    BOOST_TEST(state.deployment.servers.at({"s1"}).leaving);
    apply_change(state, server(3, "s1", 2, false, 1), begin);
    BOOST_TEST(!state.deployment.servers.at({"s1"}).leaving);
}

BOOST_AUTO_TEST_CASE(an_outdated_entry_is_ignored)
{
    apply_change(state, server(1, "s1", 5, false, 9), begin);
    BOOST_TEST(!apply_change(state, server(2, "s1", 5, true, 8), begin)
                    .deployment_changed);
    BOOST_TEST(!apply_change(state, server(3, "s1", 4, true, 90), begin)
                    .deployment_changed);
    BOOST_TEST(!state.deployment.servers.at({"s1"}).leaving);
}

BOOST_AUTO_TEST_CASE(a_server_is_removed_at_once_with_its_entry)
{
    apply_change(state, server(1, "s1"), begin);
    BOOST_TEST(
        apply_change(state, server_removed(2, "s1"), begin).deployment_changed);
    BOOST_TEST(!has_server("s1"));
}

BOOST_AUTO_TEST_CASE(servers_that_expired_in_an_outage_may_register_again)
{
    for (auto const* id : {"s1", "s2"})
        apply_change(state, server(1, id), begin);
    record_store_unavailable(state);
    record_store_available(state, begin + 10s);
    detect_mass_expiry(state,
                       {server_removed(5, "s1"), server_removed(6, "s2")});
    apply_change(state, server_removed(5, "s1"), begin + 10s);
    apply_change(state, server_removed(6, "s2"), begin + 10s);
    BOOST_TEST(has_server("s1"));
    apply_change(state, server(7, "s1"), begin + 11s);
    apply_due_removals(state, begin + 12s);
    BOOST_TEST(has_server("s2"));
    BOOST_TEST(apply_due_removals(state, begin + 13s).deployment_changed);
    BOOST_TEST(has_server("s1"));
    BOOST_TEST(!has_server("s2"));
}

/// Guards against requests to a server that left while only this router could
/// not reach the store: its removal must not be deferred like the expiries of
/// an outage of the store.
BOOST_AUTO_TEST_CASE(
    a_server_that_left_while_this_router_was_cut_off_is_removed)
{
    for (auto const* id : {"s1", "s2", "s3", "s4"})
        apply_change(state, server(1, id), begin);
    record_store_unavailable(state);
    record_store_available(state, begin + 10s);
    detect_mass_expiry(state, {server_removed(5, "s1")});
    BOOST_TEST(apply_change(state, server_removed(5, "s1"), begin + 10s)
                   .deployment_changed);
    BOOST_TEST(!has_server("s1"));
    BOOST_TEST(has_server("s2"));
}

BOOST_AUTO_TEST_CASE(no_server_is_removed_while_the_store_is_unavailable)
{
    apply_change(state, server(1, "s1"), begin);
    record_store_unavailable(state);
    BOOST_TEST(!apply_due_removals(state, begin + 1000s).deployment_changed);
    BOOST_TEST(has_server("s1"));
}

BOOST_AUTO_TEST_CASE(another_outage_extends_deferred_removals)
{
    apply_change(state, server(1, "s1"), begin);
    record_store_unavailable(state);
    record_store_available(state, begin + 1s);
    detect_mass_expiry(state, {server_removed(2, "s1")});
    apply_change(state, server_removed(2, "s1"), begin + 1s);
    record_store_unavailable(state);
    apply_due_removals(state, begin + 100s);
    BOOST_TEST(has_server("s1"));
    record_store_available(state, begin + 101s);
    apply_due_removals(state, begin + 102s);
    BOOST_TEST(has_server("s1"));
    apply_due_removals(state, begin + 104s);
    BOOST_TEST(!has_server("s1"));
}

BOOST_AUTO_TEST_CASE(an_unusable_entry_removes_its_server_only)
{
    apply_change(state, server(1, "s1"), begin);
    apply_change(state, server(1, "s2"), begin);
    auto const effect =
        apply_change(state,
                     {.key = "servers/s1",
                      .changed = 2,
                      .content = unusable_entry{{"s1"}, "not readable"}},
                     begin);
    BOOST_TEST(!effect.log_text.empty());
    BOOST_TEST(!has_server("s1"));
    BOOST_TEST(has_server("s2"));
}

BOOST_AUTO_TEST_CASE(domains_are_taken_out_and_returned)
{
    record_change out{
        .key = "out/a", .changed = 1, .content = domain_taken_out{{"a"}}};
    apply_change(state, out, begin);
    BOOST_TEST(state.deployment.taken_out.contains({"a"}));
    out.changed = 2;
    out.removed = true;
    apply_change(state, out, begin);
    BOOST_TEST(state.deployment.taken_out.empty());
}

BOOST_AUTO_TEST_CASE(an_order_is_replaced_and_withdrawn)
{
    apply_change(state, rules_of(1, {"llm"}), begin);
    BOOST_TEST(apply_change(state, order(2), begin).deployment_changed);
    BOOST_TEST(state.deployment.rollouts.at({"llm"}).changed == 2U);
    BOOST_TEST(record_rollout_status(state, status(2, 3)).deployment_changed);
    BOOST_TEST(!record_rollout_status(state, status(2, 3)).deployment_changed);
    // The same order written again is another order.
    apply_change(state, order(4), begin);
    BOOST_TEST(state.deployment.rollouts.at({"llm"}).changed == 4U);
    BOOST_TEST(state.deployment.rollout_statuses.empty());
    BOOST_TEST(!record_rollout_status(state, status(2, 5)).deployment_changed);
    auto withdrawal = order(6);
    withdrawal.removed = true;
    BOOST_TEST(apply_change(state, withdrawal, begin).deployment_changed);
    BOOST_TEST(state.deployment.rollouts.empty());
    BOOST_TEST(!record_rollout_status(state, status(4, 7)).deployment_changed);
}

BOOST_AUTO_TEST_CASE(a_malformed_order_leaves_the_one_in_force)
{
    apply_change(state, rules_of(1, {"llm"}), begin);
    apply_change(state, order(2), begin);
    auto malformed = order(3);
    malformed.content =
        ignored_record{.reason = "no version", .is_order = true};
    auto const effect = apply_change(state, malformed, begin);
    BOOST_TEST(effect.order_ignored);
    BOOST_TEST(!effect.deployment_changed);
    BOOST_TEST(state.deployment.rollouts.at({"llm"}).changed == 2U);
}

BOOST_AUTO_TEST_CASE(an_order_comes_into_force_when_the_rules_name_its_service)
{
    apply_change(state, rules_of(1, {"desk"}), begin);
    auto const effect = apply_change(state, order(2), begin);
    BOOST_TEST(effect.order_ignored);
    BOOST_TEST(!effect.log_text.empty());
    BOOST_TEST(state.deployment.rollouts.empty());
    apply_change(state, rules_of(3, {"desk", "llm"}), begin);
    BOOST_TEST(state.deployment.rollouts.at({"llm"}).changed == 2U);
    apply_change(state, rules_of(4, {"desk"}), begin);
    BOOST_TEST(state.deployment.rollouts.empty());
}

// Guards against requests at a new version whose order this router has not read
// yet: entries and orders arrive by separate watches.
BOOST_AUTO_TEST_CASE(a_server_of_a_new_version_waits_for_the_operators_records)
{
    auto const versioned =
        [](revision changed, std::string const& id, std::string const& version)
    {
        auto change = server(changed, id);
        std::get<server_entry>(change.content).server.version = version;
        return change;
    };
    record_operators_read(state, 10, begin);
    apply_change(state, versioned(11, "s1", "v1"), begin);
    apply_change(state, versioned(12, "s2", "v1"), begin);
    BOOST_TEST(has_server("s2"));
    BOOST_TEST(!apply_change(state, versioned(15, "s3", "v2"), begin)
                    .deployment_changed);
    apply_change(state, versioned(17, "s4", "v2"), begin);
    apply_change(state, versioned(18, "s5", "v3"), begin);
    BOOST_TEST(!has_server("s3"));
    BOOST_TEST(services_with_held_servers(state).at({"llm"}) == 18U);
    apply_change(state, server_removed(19, "s5"), begin);
    BOOST_TEST(services_with_held_servers(state).at({"llm"}) == 17U);
    BOOST_TEST(
        !record_order_read(state, {"llm"}, 14, begin).deployment_changed);
    // Once one server of the version is in use, the others are as well.
    BOOST_TEST(record_order_read(state, {"llm"}, 16, begin).deployment_changed);
    BOOST_TEST(has_server("s3"));
    BOOST_TEST(has_server("s4"));
    BOOST_TEST(services_with_held_servers(state).empty());
    apply_change(state, versioned(20, "s2", "v4"), begin);
    BOOST_TEST(!has_server("s2"));
    record_operators_read(state, 20, begin);
    BOOST_TEST(has_server("s2"));
}

BOOST_AUTO_TEST_CASE(servers_of_a_service_are_counted_by_version)
{
    record_operators_read(state, 1, begin);
    for (auto const* id : {"s1", "s2", "s3"})
    {
        auto change = server(1, id);
        auto& entry = std::get<server_entry>(change.content);
        entry.server.version = id == std::string{"s3"} ? "v2" : "v1";
        apply_change(state, change, begin);
    }
    auto const versions = server_versions(state.deployment, {"llm"});
    BOOST_TEST(versions.at("v1") == 2U);
    BOOST_TEST(versions.at("v2") == 1U);
}

BOOST_AUTO_TEST_CASE(keys_missing_from_a_complete_list_are_found)
{
    apply_change(state, server(1, "s1"), begin);
    apply_change(state, server(2, "s2"), begin);
    auto const missing = missing_keys(state, {"servers/s2"});
    BOOST_REQUIRE(missing.size() == 1U);
    BOOST_TEST(missing[0] == "servers/s1");
}

// Guards against a confirmed change that is taken for an old one, since its
// revision was given out before the store came back from an older copy.
BOOST_AUTO_TEST_CASE(rules_of_a_revision_given_out_again_are_adopted)
{
    apply_change(state, rules(34, 12), begin);
    record_store_restored(state, begin + 1s);
    // The copy holds what was written before.
    apply_change(state, rules(28, 9), begin + 1s);
    BOOST_TEST(state.deployment.rules->version == 12U);
    apply_change(state, rules(34, 15), begin + 2s);
    BOOST_TEST(state.deployment.rules->version == 15U);
}

// Guards against servers that are dropped because an older copy of the store
// does not have them yet, and against those that are kept although they left.
BOOST_AUTO_TEST_CASE(servers_that_a_copy_lacks_have_time_to_register_again)
{
    for (auto const* const id : {"s1", "s2", "s3"})
        apply_change(state, server(10, id), begin);
    record_store_restored(state, begin + 10s);
    apply_change(state, server(10, "s1"), begin + 10s);
    apply_change(state, server_removed(10, "s2"), begin + 10s);
    apply_change(state, server_removed(10, "s3"), begin + 10s);
    BOOST_TEST(state.deployment.servers.size() == 3U);
    apply_change(state, server(11, "s2", 1, false, 2), begin + 11s);
    apply_due_removals(state, begin + 12s);
    BOOST_TEST(state.deployment.servers.size() == 3U);
    apply_due_removals(state, begin + 12500ms);
    BOOST_TEST(has_server("s1"));
    BOOST_TEST(has_server("s2"));
    BOOST_TEST(!has_server("s3"));
}

// Guards against requests to servers that have left, which an older copy of the
// store still lists.
BOOST_AUTO_TEST_CASE(ended_runs_of_servers_stay_ended_in_a_copy)
{
    apply_change(state, server(10, "s1", 1, false, 4), begin);
    apply_change(state, server(11, "s2", 1, true, 4), begin);
    apply_change(state, server_removed(12, "s1"), begin + 1s);
    apply_change(state, server_removed(13, "s2"), begin + 1s);
    record_store_restored(state, begin + 5s);
    apply_change(state, server(10, "s1", 1, false, 4), begin + 5s);
    apply_change(state, server(9, "s2", 1, false, 3), begin + 5s);
    BOOST_TEST(state.deployment.servers.empty());
    // One that writes again runs; that it leaves is not undone.
    apply_change(state, server(12, "s1", 1, false, 5), begin + 6s);
    apply_change(state, server(13, "s2", 1, false, 5), begin + 6s);
    BOOST_TEST(has_server("s1"));
    BOOST_TEST(!state.deployment.servers.at({"s1"}).leaving);
    BOOST_TEST(state.deployment.servers.at({"s2"}).leaving);
    apply_change(state, server(14, "s2", 2), begin + 7s);
    BOOST_TEST(!state.deployment.servers.at({"s2"}).leaving);
    apply_due_removals(state, begin + 5min);
    BOOST_TEST(state.ended_runs.empty());
}

// Guards against requests to a domain that was taken out after the copy was
// made, until its record is written again.
BOOST_AUTO_TEST_CASE(domains_stay_taken_out_until_their_records_return)
{
    auto const out = [](revision changed, std::string const& domain)
    {
        return record_change{.key = "out/" + domain,
                             .changed = changed,
                             .content = domain_taken_out{{domain}}};
    };
    auto const back = [&](revision changed, std::string const& domain)
    {
        auto change = out(changed, domain);
        change.removed = true;
        return change;
    };
    apply_change(state, out(10, "a"), begin);
    apply_change(state, out(11, "b"), begin);
    record_store_restored(state, begin + 5s);
    apply_change(state, back(9, "a"), begin + 5s);
    apply_change(state, back(9, "b"), begin + 5s);
    BOOST_TEST(state.deployment.taken_out.size() == 2U);
    apply_change(state, out(10, "a"), begin + 6s);
    BOOST_TEST(apply_due_removals(state, begin + 8s).deployment_changed);
    BOOST_TEST(state.deployment.taken_out.contains({"a"}));
    BOOST_TEST(!state.deployment.taken_out.contains({"b"}));
    apply_change(state, back(12, "a"), begin + 9s);
    BOOST_TEST(state.deployment.taken_out.empty());
}

// Guards against servers that get no requests for a time, since their entries
// are listed before the operators' records after the store was restored.
BOOST_AUTO_TEST_CASE(servers_in_use_are_not_held_in_a_copy)
{
    auto const of_version =
        [](revision changed, std::string const& id, std::string const& version)
    {
        auto change = server(changed, id);
        std::get<server_entry>(change.content).server.version = version;
        return change;
    };
    record_operators_read(state, 10, begin);
    apply_change(state, of_version(5, "s1", "v1"), begin);
    apply_change(state, of_version(6, "s2", "v2"), begin);
    BOOST_TEST(state.deployment.servers.size() == 2U);
    record_store_restored(state, begin + 1s);
    apply_change(state, of_version(5, "s1", "v1"), begin + 1s);
    apply_change(state, of_version(6, "s2", "v2"), begin + 1s);
    BOOST_TEST(state.deployment.servers.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of the claims service with a stepped clock and a fake platform.
#include "kernel/kernel.hpp"
#include "services/claims/claims_service.hpp"
#include "services/claims/record_json.hpp"
#include "services/messages/names.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace bramleyarch;
using namespace bramleyarch::services;
using namespace std::chrono_literals;

namespace
{

enum class platform_mode
{
    available,
    refusing,       ///< Transactions are refused and do not run.
    losing_replies, ///< Transactions run, but their replies are lost.
};

struct fake_platform
{
    std::map<std::string, std::string>* store = nullptr;
    platform_mode* mode = nullptr;
    int* transactions = nullptr;
};

bool is_met(std::map<std::string, std::string> const& store,
            kv_compare const& condition)
{
    auto const found = store.find(condition.key);
    if (condition.target == kv_compare_target::create_revision)
        return found == store.end();
    return found != store.end() && found->second == condition.value;
}

kv_transaction_reply run_transaction(std::map<std::string, std::string>& store,
                                     kv_transaction const& transaction)
{
    kv_transaction_reply reply{.succeeded = true};
    for (auto const& condition : transaction.conditions)
        reply.succeeded = reply.succeeded && is_met(store, condition);
    for (auto const& operation :
         reply.succeeded ? transaction.on_success : transaction.on_failure)
    {
        if (operation.action == kv_action::put)
        {
            store[operation.key] = operation.value;
            continue;
        }
        auto const found = store.find(operation.key);
        std::vector<kv_entry> range;
        if (found != store.end())
            range.push_back({.key = operation.key, .value = found->second});
        reply.ranges.push_back(std::move(range));
    }
    return reply;
}

void handle(fake_platform& fake, run_kv_transaction const& call)
{
    ++*fake.transactions;
    if (*fake.mode == platform_mode::refusing)
    {
        call.reply(fail(error_kind::platform_unavailable, "refused"));
        return;
    }
    auto reply = run_transaction(*fake.store, call.transaction);
    if (*fake.mode == platform_mode::losing_replies)
        call.reply(fail(error_kind::platform_timeout, "lost"));
    else
        call.reply(std::move(reply));
}

void platform_receive(fake_platform& fake, kernel::context<platform_message>&,
                      platform_message message)
{
    if (auto const* call = std::get_if<run_kv_transaction>(&message))
        handle(fake, *call);
    if (auto const* lease = std::get_if<create_kv_lease>(&message))
        lease->reply(std::int64_t{9});
}

struct fake_owner
{
    std::vector<claim_result>* claims = nullptr;
    std::vector<release_result>* releases = nullptr;
};

void owner_receive(fake_owner& fake, kernel::context<owner_message>&,
                   owner_message message)
{
    if (auto const* claimed = std::get_if<claim_result>(&message))
        fake.claims->push_back(*claimed);
    if (auto const* released = std::get_if<release_result>(&message))
        fake.releases->push_back(*released);
}

/// A claims service with a fake platform and a fake owner. Fixtures that share
/// a store stand for several routers.
struct fixture
{
    std::map<std::string, std::string> own_store;
    std::map<std::string, std::string>* store = &own_store;
    platform_mode mode = platform_mode::available;
    int transactions = 0;
    std::vector<claim_result> claims;
    std::vector<release_result> releases;
    kernel::kernel test_kernel{kernel::run_mode::stepped};
    kernel::address<claims_message> service;

    explicit fixture(std::map<std::string, std::string>* shared = nullptr,
                     claims_options options = {})
    {
        if (shared)
            store = shared;
        test_kernel.add(kernel::service<fake_platform, platform_message>{
            .name = std::string{to_name(service_name::platform)},
            .state = {store, &mode, &transactions},
            .receive = platform_receive});
        test_kernel.add(kernel::service<fake_owner, owner_message>{
            .name = std::string{to_name(service_name::owner)},
            .state = {&claims, &releases},
            .receive = owner_receive});
        service = test_kernel.add(make_claims_service(options));
        test_kernel.start();
        test_kernel.advance(1s);
    }

    idempotency_key make_key(std::uint64_t number)
    {
        return make_idempotency_key(wall_now(test_kernel.clock()), 0, number);
    }

    void claim(std::uint64_t attempt, idempotency_key const& key)
    {
        send(service, claim_key{.attempt = {{1, attempt}, 1},
                                .team = {"t"},
                                .key = key,
                                .deadline = now(test_kernel.clock()) + 3s});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(claims_service)

BOOST_AUTO_TEST_CASE(claims_are_won_in_few_transactions)
{
    fixture router;
    for (std::uint64_t number = 1; number <= 40; ++number)
        router.claim(number, router.make_key(number));
    router.test_kernel.advance(100ms);
    BOOST_REQUIRE(router.claims.size() == 40U);
    for (auto const& claim : router.claims)
        BOOST_TEST((claim.state == claim_state::won));
    BOOST_TEST(router.transactions <= 8);
}

BOOST_AUTO_TEST_CASE(rejected_claim_does_not_fail_others_in_its_batch)
{
    std::map<std::string, std::string> store;
    fixture first{&store};
    fixture second{&store, {.burst = 1}};
    auto const claimed_key = first.make_key(1);
    first.claim(1, claimed_key);
    first.test_kernel.advance(100ms);
    second.claim(11, second.make_key(11));
    second.claim(12, claimed_key);
    second.claim(13, second.make_key(13));
    second.test_kernel.advance(1s);
    BOOST_REQUIRE(second.claims.size() == 3U);
    int won = 0;
    int running = 0;
    for (auto const& claim : second.claims)
    {
        won += claim.state == claim_state::won ? 1 : 0;
        running += claim.state == claim_state::already_running ? 1 : 0;
    }
    BOOST_TEST(won == 2);
    BOOST_TEST(running == 1);
}

BOOST_AUTO_TEST_CASE(repeated_request_gets_the_recorded_outcome)
{
    fixture router;
    auto const key = router.make_key(1);
    router.claim(1, key);
    router.test_kernel.advance(100ms);
    send(router.service, record_outcome{.attempt = {{1, 1}, 1},
                                        .team = {"t"},
                                        .key = key,
                                        .known = outcome::answered});
    router.test_kernel.advance(1s);
    router.claim(2, key);
    router.test_kernel.advance(1s);
    BOOST_REQUIRE(router.claims.size() == 2U);
    BOOST_TEST((router.claims[1].state == claim_state::already_finished));
    BOOST_TEST((router.claims[1].recorded == outcome::answered));
}

BOOST_AUTO_TEST_CASE(claim_with_lost_reply_is_won_by_retry)
{
    fixture router;
    router.mode = platform_mode::losing_replies;
    router.claim(1, router.make_key(1));
    router.test_kernel.advance(100ms);
    BOOST_TEST(router.claims.empty());
    router.mode = platform_mode::available;
    router.test_kernel.advance(1s);
    BOOST_REQUIRE(router.claims.size() == 1U);
    BOOST_TEST((router.claims[0].state == claim_state::won));
}

BOOST_AUTO_TEST_CASE(unavailable_platform_refuses_claims_at_once)
{
    fixture router;
    router.mode = platform_mode::refusing;
    router.claim(1, router.make_key(1));
    router.test_kernel.run_until_idle();
    BOOST_REQUIRE(router.claims.size() == 1U);
    BOOST_TEST((router.claims[0].state == claim_state::refused));
    router.claim(2, router.make_key(2));
    router.test_kernel.run_until_idle();
    BOOST_REQUIRE(router.claims.size() == 2U);
    BOOST_TEST((router.claims[1].state == claim_state::refused));
    BOOST_TEST(router.store->empty());
    router.mode = platform_mode::available;
    router.test_kernel.advance(1s);
    router.claim(3, router.make_key(3));
    router.test_kernel.advance(100ms);
    BOOST_REQUIRE(router.claims.size() == 3U);
    BOOST_TEST((router.claims[2].state == claim_state::won));
}

BOOST_AUTO_TEST_CASE(uncertain_claim_can_be_released)
{
    fixture router;
    auto const key = router.make_key(1);
    router.mode = platform_mode::losing_replies;
    router.claim(1, key);
    router.test_kernel.advance(4s);
    BOOST_REQUIRE(router.claims.size() == 1U);
    BOOST_TEST((router.claims[0].state == claim_state::uncertain));
    router.mode = platform_mode::available;
    send(router.service,
         release_key{.attempt = {{1, 1}, 1}, .team = {"t"}, .key = key});
    router.test_kernel.advance(1s);
    BOOST_REQUIRE(router.releases.size() == 1U);
    BOOST_TEST(router.releases[0].confirmed);
    router.claim(2, key);
    router.test_kernel.advance(1s);
    BOOST_REQUIRE(router.claims.size() == 2U);
    BOOST_TEST((router.claims[1].state == claim_state::won));
}

BOOST_AUTO_TEST_CASE(unconfirmed_release_is_reported)
{
    fixture router;
    auto const key = router.make_key(1);
    router.claim(1, key);
    router.test_kernel.advance(100ms);
    router.mode = platform_mode::refusing;
    send(router.service,
         release_key{.attempt = {{1, 1}, 1}, .team = {"t"}, .key = key});
    router.test_kernel.advance(3s);
    BOOST_REQUIRE(router.releases.size() == 1U);
    BOOST_TEST(!router.releases[0].confirmed);
    router.mode = platform_mode::available;
    router.test_kernel.advance(2s);
    router.claim(2, key);
    router.test_kernel.advance(1s);
    BOOST_REQUIRE(router.claims.size() == 2U);
    BOOST_TEST((router.claims[1].state == claim_state::won));
}

BOOST_AUTO_TEST_CASE(old_and_future_keys_are_refused_without_a_transaction)
{
    fixture router;
    auto const at = wall_now(router.test_kernel.clock());
    int const transactions_before = router.transactions;
    router.claim(1, make_idempotency_key(at + 1h, 0, 1));
    router.test_kernel.advance(48h);
    router.claims.clear();
    router.transactions = transactions_before;
    router.claim(2, make_idempotency_key(at, 0, 2));
    router.test_kernel.run_until_idle();
    BOOST_REQUIRE(router.claims.size() == 1U);
    BOOST_TEST((router.claims[0].state == claim_state::expired));
    BOOST_TEST(router.transactions == transactions_before);
}

BOOST_AUTO_TEST_CASE(transaction_rate_is_limited)
{
    fixture router{nullptr, {.fleet_rate = 20, .burst = 2, .max_batch = 1}};
    int const transactions_before = router.transactions;
    for (std::uint64_t number = 1; number <= 100; ++number)
        router.claim(number, router.make_key(number));
    router.test_kernel.advance(2s);
    BOOST_TEST(router.transactions - transactions_before <= 2 + 2 * 20);
    BOOST_TEST(router.transactions - transactions_before >= 20);
}

BOOST_AUTO_TEST_CASE(unreadable_value_blocks_the_key)
{
    fixture router;
    auto const key = router.make_key(1);
    (*router.store)[claim_key_name({"t"}, key)] = "not a record";
    router.claim(1, key);
    router.test_kernel.advance(1s);
    BOOST_REQUIRE(router.claims.size() == 1U);
    BOOST_TEST((router.claims[0].state == claim_state::already_running));
    BOOST_TEST(!record_from_json("{\"phase\":1}").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

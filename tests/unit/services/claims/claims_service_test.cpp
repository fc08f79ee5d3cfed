/// Tests of the claims service on a paused clock with a fake platform.
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
    up,
    refusing,   ///< Nothing is written.
    lost_reply, ///< Written, but the reply is lost.
};

struct fake_platform
{
    std::map<std::string, std::string>* store = nullptr;
    platform_mode* mode = nullptr;
    int* transactions = nullptr;
};

bool holds(std::map<std::string, std::string> const& store, kv_compare const& c)
{
    auto const found = store.find(c.key);
    if (c.target == kv_compare_target::create_revision)
        return found == store.end();
    return found != store.end() && found->second == c.value;
}

kv_transaction_reply run(std::map<std::string, std::string>& store,
                         kv_transaction const& txn)
{
    kv_transaction_reply reply{.succeeded = true};
    for (auto const& c : txn.conditions)
        reply.succeeded = reply.succeeded && holds(store, c);
    for (auto const& op : reply.succeeded ? txn.on_success : txn.on_failure)
    {
        if (op.action == kv_action::put)
        {
            store[op.key] = op.value;
            continue;
        }
        auto const found = store.find(op.key);
        std::vector<kv_entry> range;
        if (found != store.end())
            range.push_back({.key = op.key, .value = found->second});
        reply.ranges.push_back(std::move(range));
    }
    return reply;
}

void answer(fake_platform& fake, run_kv_transaction const& call)
{
    ++*fake.transactions;
    if (*fake.mode == platform_mode::refusing)
    {
        call.reply(fail(error_kind::platform_unavailable, "refused"));
        return;
    }
    auto reply = run(*fake.store, call.transaction);
    if (*fake.mode == platform_mode::lost_reply)
        call.reply(fail(error_kind::platform_timeout, "lost"));
    else
        call.reply(std::move(reply));
}

void platform_receive(fake_platform& fake, kernel::context<platform_message>&,
                      platform_message message)
{
    if (auto const* call = std::get_if<run_kv_transaction>(&message))
        answer(fake, *call);
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

/// Two claims services (two owners) are made by two fixtures on one store.
struct fixture
{
    std::map<std::string, std::string> own_store;
    std::map<std::string, std::string>* store = &own_store;
    platform_mode mode = platform_mode::up;
    int transactions = 0;
    std::vector<claim_result> claims;
    std::vector<release_result> releases;
    kernel::kernel k{kernel::run_mode::stepped};
    kernel::address<claims_message> service;

    explicit fixture(std::map<std::string, std::string>* shared = nullptr,
                     claims_options options = {})
    {
        if (shared)
            store = shared;
        k.add(kernel::service<fake_platform, platform_message>{
            .name = std::string{to_name(service_name::platform)},
            .state = {store, &mode, &transactions},
            .receive = platform_receive});
        k.add(kernel::service<fake_owner, owner_message>{
            .name = std::string{to_name(service_name::owner)},
            .state = {&claims, &releases},
            .receive = owner_receive});
        service = k.add(make_claims_service(options));
        k.start();
        k.advance(1s);
    }

    idempotency_key key(std::uint64_t number)
    {
        return make_idempotency_key(wall_now(k.clock()), 0, number);
    }

    void claim(std::uint64_t attempt, idempotency_key const& key)
    {
        send(service, claim_key{.attempt = {{1, attempt}, 1},
                                .team = {"t"},
                                .key = key,
                                .deadline = now(k.clock()) + 3s});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(claims_service)

BOOST_AUTO_TEST_CASE(claims_are_won_in_few_transactions)
{
    fixture f;
    for (std::uint64_t i = 1; i <= 40; ++i)
        f.claim(i, f.key(i));
    f.k.advance(100ms);
    BOOST_REQUIRE(f.claims.size() == 40U);
    for (auto const& c : f.claims)
        BOOST_TEST((c.state == claim_state::won));
    BOOST_TEST(f.transactions <= 8);
}

BOOST_AUTO_TEST_CASE(one_taken_key_does_not_harm_the_rest_of_its_batch)
{
    std::map<std::string, std::string> store;
    fixture a{&store};
    fixture b{&store, {.burst = 1}};
    auto const taken = a.key(1);
    a.claim(1, taken);
    a.k.advance(100ms);
    b.claim(11, b.key(11));
    b.claim(12, taken);
    b.claim(13, b.key(13));
    b.k.advance(1s);
    BOOST_REQUIRE(b.claims.size() == 3U);
    int won = 0;
    int running = 0;
    for (auto const& c : b.claims)
    {
        won += c.state == claim_state::won ? 1 : 0;
        running += c.state == claim_state::already_running ? 1 : 0;
    }
    BOOST_TEST(won == 2);
    BOOST_TEST(running == 1);
}

BOOST_AUTO_TEST_CASE(repeat_gets_the_recorded_outcome)
{
    fixture f;
    auto const key = f.key(1);
    f.claim(1, key);
    f.k.advance(100ms);
    send(f.service, record_outcome{.attempt = {{1, 1}, 1},
                                   .team = {"t"},
                                   .key = key,
                                   .known = outcome::answered});
    f.k.advance(1s);
    f.claim(2, key);
    f.k.advance(1s);
    BOOST_REQUIRE(f.claims.size() == 2U);
    BOOST_TEST((f.claims[1].state == claim_state::already_finished));
    BOOST_TEST((f.claims[1].recorded == outcome::answered));
}

BOOST_AUTO_TEST_CASE(lost_reply_is_read_back_as_won)
{
    fixture f;
    f.mode = platform_mode::lost_reply;
    f.claim(1, f.key(1));
    f.k.advance(100ms);
    BOOST_TEST(f.claims.empty());
    f.mode = platform_mode::up;
    f.k.advance(1s);
    BOOST_REQUIRE(f.claims.size() == 1U);
    BOOST_TEST((f.claims[0].state == claim_state::won));
}

BOOST_AUTO_TEST_CASE(platform_down_refuses_at_once)
{
    fixture f;
    f.mode = platform_mode::refusing;
    f.claim(1, f.key(1));
    f.k.run_until_idle();
    BOOST_REQUIRE(f.claims.size() == 1U);
    BOOST_TEST((f.claims[0].state == claim_state::refused));
    f.claim(2, f.key(2));
    f.k.run_until_idle();
    BOOST_REQUIRE(f.claims.size() == 2U);
    BOOST_TEST((f.claims[1].state == claim_state::refused));
    BOOST_TEST(f.store->empty());
    f.mode = platform_mode::up;
    f.k.advance(1s);
    f.claim(3, f.key(3));
    f.k.advance(100ms);
    BOOST_REQUIRE(f.claims.size() == 3U);
    BOOST_TEST((f.claims[2].state == claim_state::won));
}

BOOST_AUTO_TEST_CASE(uncertain_claim_is_released_before_not_run)
{
    fixture f;
    auto const key = f.key(1);
    f.mode = platform_mode::lost_reply;
    f.claim(1, key);
    f.k.advance(4s);
    BOOST_REQUIRE(f.claims.size() == 1U);
    BOOST_TEST((f.claims[0].state == claim_state::uncertain));
    f.mode = platform_mode::up;
    send(f.service,
         release_key{.attempt = {{1, 1}, 1}, .team = {"t"}, .key = key});
    f.k.advance(1s);
    BOOST_REQUIRE(f.releases.size() == 1U);
    BOOST_TEST(f.releases[0].confirmed);
    f.claim(2, key);
    f.k.advance(1s);
    BOOST_REQUIRE(f.claims.size() == 2U);
    BOOST_TEST((f.claims[1].state == claim_state::won));
}

BOOST_AUTO_TEST_CASE(release_that_cannot_be_confirmed_is_said_so)
{
    fixture f;
    auto const key = f.key(1);
    f.claim(1, key);
    f.k.advance(100ms);
    f.mode = platform_mode::refusing;
    send(f.service,
         release_key{.attempt = {{1, 1}, 1}, .team = {"t"}, .key = key});
    f.k.advance(3s);
    BOOST_REQUIRE(f.releases.size() == 1U);
    BOOST_TEST(!f.releases[0].confirmed);
    f.mode = platform_mode::up;
    f.k.advance(2s);
    f.claim(2, key);
    f.k.advance(1s);
    BOOST_REQUIRE(f.claims.size() == 2U);
    BOOST_TEST((f.claims[1].state == claim_state::won));
}

BOOST_AUTO_TEST_CASE(old_and_future_keys_are_refused_without_a_call)
{
    fixture f;
    auto const at = wall_now(f.k.clock());
    int const before = f.transactions;
    f.claim(1, make_idempotency_key(at + 1h, 0, 1));
    f.k.advance(48h);
    f.claims.clear();
    f.transactions = before;
    f.claim(2, make_idempotency_key(at, 0, 2));
    f.k.run_until_idle();
    BOOST_REQUIRE(f.claims.size() == 1U);
    BOOST_TEST((f.claims[0].state == claim_state::expired));
    BOOST_TEST(f.transactions == before);
}

BOOST_AUTO_TEST_CASE(rate_share_bounds_the_transactions)
{
    fixture f{nullptr, {.fleet_rate = 20, .burst = 2, .max_batch = 1}};
    int const before = f.transactions;
    for (std::uint64_t i = 1; i <= 100; ++i)
        f.claim(i, f.key(i));
    f.k.advance(2s);
    BOOST_TEST(f.transactions - before <= 2 + 2 * 20);
    BOOST_TEST(f.transactions - before >= 20);
}

BOOST_AUTO_TEST_CASE(foreign_value_blocks_the_key)
{
    fixture f;
    auto const key = f.key(1);
    (*f.store)[claim_key_name({"t"}, key)] = "not a record";
    f.claim(1, key);
    f.k.advance(1s);
    BOOST_REQUIRE(f.claims.size() == 1U);
    BOOST_TEST((f.claims[0].state == claim_state::already_running));
    BOOST_TEST(!record_from_json("{\"phase\":1}").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

/// Tests of submits against a platform that loses requests and answers.
#include "config/document_json.hpp"
#include "control/submit_steps.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace bramleyarch;
using namespace bramleyarch::control;
using etcd::kv_action;
using etcd::kv_entry;
using etcd::kv_transaction;
using etcd::kv_transaction_reply;

namespace
{

enum class loss
{
    none,
    request, ///< Nothing happens; the caller can't tell.
    answer,  ///< It takes effect; the caller can't tell.
    refusal, ///< Nothing happens, and the caller knows.
};

/// One key behind a link with losses.
struct lossy_store
{
    kv_entry entry;
    std::int64_t last_revision = 1;
    int writes = 0;
    std::vector<loss> losses; ///< Of the next calls, in order.

    loss next_loss()
    {
        if (losses.empty())
            return loss::none;
        auto const first = losses.front();
        losses.erase(losses.begin());
        return first;
    }

    kv_transaction_reply apply(kv_transaction const& transaction)
    {
        kv_transaction_reply reply{.succeeded = true};
        for (auto const& c : transaction.conditions)
            reply.succeeded = reply.succeeded && c.number == entry.mod_revision;
        for (auto const& o :
             reply.succeeded ? transaction.on_success : transaction.on_failure)
        {
            if (o.action == kv_action::put)
            {
                ++writes;
                entry = {.key = o.key,
                         .value = o.value,
                         .create_revision = 1,
                         .mod_revision = ++last_revision};
                continue;
            }
            reply.ranges.emplace_back();
            if (entry.mod_revision != 0)
                reply.ranges.back().push_back(entry);
        }
        return reply;
    }

    result<kv_transaction_reply> run(kv_transaction const& transaction)
    {
        auto const lost = next_loss();
        if (lost == loss::refusal)
            return fail(error_kind::platform_unavailable, "refused");
        if (lost == loss::request)
            return fail(error_kind::platform_timeout, "no answer in time");
        auto reply = apply(transaction);
        if (lost == loss::answer)
            return fail(error_kind::platform_timeout, "no answer in time");
        return reply;
    }

    [[nodiscard]] revision stored() const
    {
        return config::parse_document(entry.value).value.version;
    }
};

config::document make_document(revision based_on)
{
    config::document doc;
    doc.version = based_on;
    doc.domains = {{.id = {"a"}, .region = {"west"}}};
    return doc;
}

result<revision> submit(lossy_store& store, std::string const& id)
{
    auto const runner = [&store](kv_transaction const& t)
    { return store.run(t); };
    auto const based_on =
        store.entry.mod_revision == 0 ? revision{0} : store.stored();
    return run_submit(runner, "config", make_document(based_on), id);
}

} // namespace

BOOST_AUTO_TEST_SUITE(submit_steps)

BOOST_AUTO_TEST_CASE(lost_answer_is_settled_and_written_once)
{
    lossy_store store{.losses = {loss::none, loss::answer}};
    BOOST_TEST(submit(store, "mine").value() == 1U);
    BOOST_TEST(store.writes == 1);
}

BOOST_AUTO_TEST_CASE(lost_request_is_sent_again)
{
    lossy_store store{.losses = {loss::request, loss::none, loss::request}};
    BOOST_TEST(submit(store, "mine").value() == 1U);
    BOOST_TEST(store.writes == 1);
}

BOOST_AUTO_TEST_CASE(platform_that_is_down_wrote_nothing)
{
    lossy_store store{.losses = std::vector(20, loss::refusal)};
    auto const refused = submit(store, "mine");
    BOOST_TEST_REQUIRE(refused.has_error());
    BOOST_TEST((refused.error().kind == error_kind::platform_unavailable));
    BOOST_TEST(store.writes == 0);
}

BOOST_AUTO_TEST_CASE(platform_lost_for_good_after_the_send_is_uncertain)
{
    lossy_store store{.losses = std::vector(40, loss::refusal)};
    store.losses[0] = loss::none;
    store.losses[1] = loss::answer;
    auto const lost = submit(store, "mine");
    BOOST_TEST_REQUIRE(lost.has_error());
    BOOST_TEST((lost.error().kind == error_kind::submit_uncertain));
    BOOST_TEST(store.writes == 1);
}

BOOST_AUTO_TEST_CASE(what_an_operator_is_told_is_true_under_random_losses)
{
    std::mt19937_64 random{17};
    for (int round = 0; round < 2000; ++round)
    {
        lossy_store store;
        store.entry = {};
        for (int i = 0; i < 30; ++i)
        {
            auto const draw = random() % 8;
            store.losses.push_back(draw < 4 ? static_cast<loss>(draw)
                                            : loss::none);
        }
        auto const told = submit(store, "mine");
        BOOST_TEST_REQUIRE(store.writes <= 1);
        if (told)
            BOOST_TEST_REQUIRE(store.stored() == told.value());
        else if (told.error().kind == error_kind::platform_unavailable)
            BOOST_TEST_REQUIRE(store.writes == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()

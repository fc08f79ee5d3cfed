/// Tests of configuration submission: concurrent submissions and lost replies.
#include "config/document_json.hpp"
#include "etcd/submit.hpp"

#include <boost/test/unit_test.hpp>

using namespace bramleyarch;
using namespace bramleyarch::etcd;

namespace
{

/// Key-value store with one key that executes the transactions of a
/// submission.
struct fake_store
{
    kv_entry entry;
    std::int64_t revision = 1;

    kv_transaction_reply run(kv_transaction const& transaction)
    {
        kv_transaction_reply reply{.succeeded = true};
        for (auto const& condition : transaction.conditions)
            reply.succeeded =
                reply.succeeded && condition.number == entry.mod_revision;
        for (auto const& operation :
             reply.succeeded ? transaction.on_success : transaction.on_failure)
        {
            if (operation.action == kv_action::put)
                entry = {.key = operation.key,
                         .value = operation.value,
                         .create_revision = 1,
                         .mod_revision = ++revision};
            else
                reply.ranges.push_back(entry.mod_revision == 0
                                           ? std::vector<kv_entry>{}
                                           : std::vector{entry});
        }
        return reply;
    }

    stored_document read()
    {
        return read_stored(run(read_transaction("config"))).value();
    }
};

config::document make_document(revision based_on, std::string team)
{
    config::document doc;
    doc.version = based_on;
    doc.domains = {{.id = {"a"}, .region = {"west"}}};
    doc.teams = {{.id = {std::move(team)}}};
    return doc;
}

pending_submit prepare(fake_store& store, std::string const& id)
{
    auto const stored = store.read();
    return prepare_submit("config", stored,
                          make_document(stored.value.version, id), id)
        .value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(submit)

BOOST_AUTO_TEST_CASE(each_submission_increments_the_version)
{
    fake_store store;
    for (revision expected = 1; expected <= 3; ++expected)
    {
        auto const pending = prepare(store, "s" + std::to_string(expected));
        auto const settled =
            settle_submit(pending, store.run(pending.transaction));
        BOOST_TEST(settled.value() == expected);
        BOOST_TEST(store.read().value.version == expected);
    }
}

BOOST_AUTO_TEST_CASE(concurrent_submission_fails_with_conflict)
{
    fake_store store;
    auto const first = prepare(store, "first");
    auto const second = prepare(store, "second");
    BOOST_TEST(settle_submit(first, store.run(first.transaction)).value() ==
               1U);
    auto const lost = settle_submit(second, store.run(second.transaction));
    BOOST_TEST_REQUIRE(lost.has_error());
    BOOST_TEST((lost.error().kind == error_kind::revision_conflict));
    BOOST_TEST(lost.error().detail.find("version 1 (submission \"first\")") !=
               std::string::npos);
    BOOST_TEST(store.read().value.submission_id == "first");
}

BOOST_AUTO_TEST_CASE(document_based_on_an_older_version_is_a_conflict)
{
    fake_store store;
    auto const first = prepare(store, "first");
    store.run(first.transaction);
    auto const late = prepare_submit("config", store.read(),
                                     make_document(0, "late"), "late");
    BOOST_TEST_REQUIRE(late.has_error());
    BOOST_TEST((late.error().kind == error_kind::revision_conflict));
}

BOOST_AUTO_TEST_CASE(invalid_document_is_rejected)
{
    auto doc = make_document(0, "x");
    doc.teams.push_back(doc.teams[0]);
    auto const refused = prepare_submit("config", {}, doc, "s");
    BOOST_TEST_REQUIRE(refused.has_error());
    BOOST_TEST((refused.error().kind == error_kind::invalid_config));
    BOOST_TEST(refused.error().detail.find("$.teams[1].id") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(lost_reply_after_the_write_is_settled_by_reading)
{
    fake_store store;
    auto const pending = prepare(store, "mine");
    store.run(pending.transaction); // The reply is lost.
    auto const settled = settle_by_reading(pending, store.read());
    BOOST_TEST_REQUIRE(settled.has_value());
    BOOST_TEST(settled->value() == 1U);
    // A retry finds its own submission id in the store.
    BOOST_TEST(settle_submit(pending, store.run(pending.transaction)).value() ==
               1U);
    BOOST_TEST(store.read().value.version == 1U);
}

BOOST_AUTO_TEST_CASE(lost_request_can_be_retried)
{
    fake_store store;
    auto const pending = prepare(store, "mine");
    BOOST_TEST(!settle_by_reading(pending, store.read()).has_value());
    BOOST_TEST(settle_submit(pending, store.run(pending.transaction)).value() ==
               1U);
}

BOOST_AUTO_TEST_CASE(lost_reply_to_a_losing_submission_is_a_conflict)
{
    fake_store store;
    auto const mine = prepare(store, "mine");
    auto const other = prepare(store, "other");
    store.run(other.transaction);
    store.run(mine.transaction); // The reply is lost.
    auto const settled = settle_by_reading(mine, store.read());
    BOOST_TEST_REQUIRE(settled.has_value());
    BOOST_TEST((settled->error().kind == error_kind::revision_conflict));
}

BOOST_AUTO_TEST_CASE(lost_reply_below_a_higher_version_is_uncertain)
{
    fake_store store;
    auto const mine = prepare(store, "mine");
    store.run(mine.transaction); // The reply is lost.
    auto const other = prepare(store, "other");
    store.run(other.transaction);
    auto const settled = settle_by_reading(mine, store.read());
    BOOST_TEST_REQUIRE(settled.has_value());
    BOOST_TEST((settled->error().kind == error_kind::submit_uncertain));
}

BOOST_AUTO_TEST_SUITE_END()

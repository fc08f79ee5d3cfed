/// Tests that non-idempotent requests run at most once.
#include "fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace bramleyarch;
using namespace bramleyarch::test;
using namespace std::chrono_literals;

namespace
{

routed_request non_idempotent_request(std::uint64_t chat)
{
    return {.kind = request_kind::non_idempotent, .chat = chat};
}

/// Returns how many times servers received the request.
std::size_t runs_of(test_fleet const& fleet, request_id id)
{
    std::size_t runs = 0;
    for (auto const& [server, state] : fleet.servers)
        runs += static_cast<std::size_t>(
            std::count(state.received.begin(), state.received.end(), id));
    return runs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_once)

BOOST_AUTO_TEST_CASE(a_claim_is_won_before_the_send_and_its_outcome_recorded)
{
    auto fleet = make_fleet();
    auto const id = submit(*fleet, 0, non_idempotent_request(4));
    advance_time(*fleet, 1ms);
    BOOST_TEST(runs_of(*fleet, id) == 0U);
    finish_requests(*fleet);
    BOOST_TEST(fleet->answers[id].answered);
    BOOST_TEST(fleet->claims_made == 1);
    BOOST_TEST(runs_of(*fleet, id) == 1U);
    BOOST_TEST(fleet->outcomes_recorded.size() == 1U);
}

BOOST_AUTO_TEST_CASE(requests_whose_claim_is_not_won_are_never_sent)
{
    struct row
    {
        claim_state state;
        error_kind error;
        outcome known_outcome;
    };
    for (auto const& expected :
         {row{claim_state::already_running, error_kind::already_running,
              outcome::unknown},
          row{claim_state::already_finished, error_kind::already_finished,
              outcome::answered},
          row{claim_state::refused, error_kind::platform_unavailable,
              outcome::not_run},
          row{claim_state::uncertain, error_kind::claim_uncertain,
              outcome::unknown},
          row{claim_state::expired, error_kind::idempotency_key_expired,
              outcome::unknown}})
    {
        auto fleet = make_fleet();
        fleet->claim_reply = expected.state;
        auto const id = submit(*fleet, 0, non_idempotent_request(4));
        finish_requests(*fleet);
        BOOST_TEST(runs_of(*fleet, id) == 0U);
        BOOST_TEST((fleet->answers[id].error == expected.error));
        BOOST_TEST(
            (fleet->answers[id].known_outcome == expected.known_outcome));
    }
}

BOOST_AUTO_TEST_CASE(without_a_claims_service_nothing_is_sent)
{
    auto fleet = make_fleet({.claims_service = false});
    auto const id = submit(*fleet, 0, non_idempotent_request(4));
    finish_requests(*fleet);
    BOOST_TEST(runs_of(*fleet, id) == 0U);
    BOOST_TEST((fleet->answers[id].error == error_kind::platform_unavailable));
    BOOST_TEST((fleet->answers[id].known_outcome == outcome::not_run));
}

BOOST_AUTO_TEST_CASE(the_claim_of_an_unsent_request_is_released_before_not_run)
{
    for (bool const confirmed : {true, false})
    {
        auto fleet = make_fleet();
        fleet->release_confirmed = confirmed;
        for (auto& [id, server] : fleet->servers)
            server.refuses_connections = true;
        auto const id = submit(*fleet, 0, non_idempotent_request(4));
        finish_requests(*fleet);
        BOOST_TEST(fleet->releases == 1);
        BOOST_TEST(runs_of(*fleet, id) == 0U);
        auto const expected = confirmed ? outcome::not_run : outcome::unknown;
        BOOST_TEST((fleet->answers[id].known_outcome == expected));
    }
}

BOOST_AUTO_TEST_CASE(
    a_request_whose_owner_is_lost_ends_unknown_and_is_not_resent)
{
    auto fleet = make_fleet();
    auto const server = server_owned_elsewhere(*fleet, 0);
    auto const id = submit(
        *fleet, 0, non_idempotent_request(chat_preferring(*fleet, server)));
    advance_time(*fleet, 10ms);
    BOOST_TEST(runs_of(*fleet, id) == 1U);
    kill_router(*fleet, owner_index(*fleet, server));
    finish_requests(*fleet);
    BOOST_TEST((fleet->answers[id].known_outcome == outcome::unknown));
    BOOST_TEST(runs_of(*fleet, id) == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_whose_offer_is_lost_with_the_link_ends_unknown)
{
    auto fleet = make_fleet();
    auto const server = server_owned_elsewhere(*fleet, 0);
    auto const owner = owner_index(*fleet, server);
    fleet->routers[owner].killed = true; // The offer is lost.
    auto const id = submit(
        *fleet, 0, non_idempotent_request(chat_preferring(*fleet, server)));
    advance_time(*fleet, 5ms);
    kill_router(*fleet, owner);
    finish_requests(*fleet);
    BOOST_TEST((fleet->answers[id].known_outcome == outcome::unknown));
    BOOST_TEST(runs_of(*fleet, id) == 0U);
}

BOOST_AUTO_TEST_CASE(a_redirected_request_is_offered_to_the_next_candidate)
{
    auto fleet = make_fleet();
    auto const server = server_owned_elsewhere(*fleet, 0);
    auto const owner = owner_index(*fleet, server);
    send_to<services::owner_message>(fleet->routers[owner],
                                     services::service_name::owner,
                                     services::drain_started{});
    auto const id = submit(
        *fleet, 0, non_idempotent_request(chat_preferring(*fleet, server)));
    finish_requests(*fleet);
    BOOST_TEST(fleet->answers[id].answered);
    BOOST_TEST(runs_of(*fleet, id) == 1U);
    BOOST_TEST(has_event(*fleet, id, event_kind::offer_redirected, "draining"));
}

BOOST_AUTO_TEST_CASE(a_cancelled_non_idempotent_request_is_not_aborted)
{
    auto fleet = make_fleet();
    auto const id = submit(*fleet, 0, non_idempotent_request(4));
    advance_time(*fleet, 20ms);
    BOOST_TEST(runs_of(*fleet, id) == 1U);
    send_to<services::routing_message>(fleet->routers[0],
                                       services::service_name::routing,
                                       services::cancel_request{id});
    advance_time(*fleet, 2s);
    BOOST_TEST(fleet->aborted.empty());
    BOOST_TEST(fleet->outcomes_recorded.size() == 1U);
}

BOOST_AUTO_TEST_CASE(seeded_faults_never_run_a_request_twice_or_after_not_run)
{
    for (std::uint64_t const seed : {1U, 2U, 3U})
    {
        auto fleet = make_fleet();
        fleet->random.seed(seed);
        for (int round = 0; round < 6; ++round)
        {
            run_load(*fleet, {.rate = 150,
                              .end_rate = 150,
                              .length = 500ms,
                              .kind = request_kind::non_idempotent});
            auto const victim = fleet->random() % fleet->servers.size();
            auto server = std::next(fleet->servers.begin(),
                                    static_cast<std::ptrdiff_t>(victim));
            server->second.refuses_connections = fleet->random() % 2 == 0;
            restart_server(*fleet, server->first);
            fleet->claim_reply = fleet->random() % 4 == 0
                                     ? claim_state::uncertain
                                     : claim_state::won;
            if (round == 3)
                kill_router(*fleet, fleet->random() % fleet->routers.size());
        }
        finish_requests(*fleet);
        std::size_t reported_not_run = 0;
        for (auto const& [id, answer] : fleet->answers)
        {
            auto const runs = runs_of(*fleet, id);
            BOOST_REQUIRE(runs <= 1U);
            if (!answer.ended || answer.answered)
                continue;
            if (answer.known_outcome != outcome::not_run)
                continue;
            ++reported_not_run;
            BOOST_REQUIRE(runs == 0U);
        }
        BOOST_TEST_MESSAGE("seed " << seed << ": " << fleet->answers.size()
                                   << " requests, " << reported_not_run
                                   << " ended as not_run");
    }
}

BOOST_AUTO_TEST_SUITE_END()

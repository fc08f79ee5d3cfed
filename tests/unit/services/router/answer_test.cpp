/// Tests of answers: order, late and foreign replies, retries, resumption and
/// deadlines.
#include "fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace bramleyarch;
using namespace bramleyarch::test;
using namespace std::chrono_literals;

namespace
{

std::size_t entry_of(request_id id)
{
    return static_cast<std::size_t>(id.entry - 1);
}

/// Sends the entry router a reply in the name of the owner of `server`.
void reply_as_owner(test_fleet& fleet, request_id id, server_id const& server,
                    services::owner_reply reply)
{
    auto const owner = fleet.routers[owner_index(fleet, server)].id;
    send_to<services::routing_message>(
        fleet.routers[entry_of(id)], services::service_name::routing,
        services::owner_reply_received{owner, std::move(reply)});
    deliver_due(fleet);
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_answers)

BOOST_AUTO_TEST_CASE(every_caller_receives_its_complete_answer)
{
    auto fleet = make_fleet();
    run_load(*fleet, {.rate = 100, .end_rate = 100, .length = 3s});
    finish_requests(*fleet);
    BOOST_TEST(fleet->answers.size() > 200U);
    for (auto const& [id, answer] : fleet->answers)
    {
        BOOST_REQUIRE(answer.answered);
        BOOST_REQUIRE(answer.heads == 1);
        BOOST_REQUIRE(answer.body == expected_body(*fleet));
    }
}

BOOST_AUTO_TEST_CASE(late_and_foreign_replies_are_dropped_and_counted)
{
    auto fleet = make_fleet();
    auto const server = server_owned_elsewhere(*fleet, 0);
    auto const id =
        submit(*fleet, 0, {.chat = chat_preferring(*fleet, server)});
    advance_time(*fleet, 5ms);
    attempt_id const former{id, 99};
    reply_as_owner(*fleet, id, server,
                   answer_chunk{.attempt = former, .bytes = "wrong"});
    reply_as_owner(*fleet, {id.entry, 12345}, server,
                   answer_end{.attempt = {{id.entry, 12345}, 1}});
    finish_requests(*fleet);
    BOOST_TEST(fleet->answers[id].answered);
    BOOST_TEST(fleet->answers[id].body == expected_body(*fleet));
    advance_time(*fleet, 2s);
    BOOST_TEST(value_of(fleet->counters, counter::late_answers_dropped) == 2U);
}

BOOST_AUTO_TEST_CASE(a_gap_in_the_sequence_never_reaches_the_caller)
{
    auto fleet = make_fleet();
    auto const server = server_owned_elsewhere(*fleet, 0);
    auto const id =
        submit(*fleet, 0, {.chat = chat_preferring(*fleet, server)});
    while (fleet->answers[id].chunks < 1)
        advance_time(*fleet, 1ms);
    reply_as_owner(
        *fleet, id, server,
        answer_chunk{.attempt = {id, 1}, .sequence = 7, .bytes = "wrong"});
    finish_requests(*fleet);
    // The request is idempotent and the answer resumable, so it completes.
    BOOST_TEST(fleet->answers[id].answered);
    BOOST_TEST(fleet->answers[id].body == expected_body(*fleet));
    advance_time(*fleet, 2s);
    BOOST_TEST(value_of(fleet->counters, counter::sequence_gaps) == 1U);
    BOOST_TEST(value_of(fleet->counters, counter::resumes) == 1U);
}

BOOST_AUTO_TEST_CASE(
    a_request_is_retried_if_its_owner_is_lost_before_the_first_byte)
{
    auto fleet = make_fleet();
    auto const server = server_owned_elsewhere(*fleet, 0);
    auto const owner = owner_index(*fleet, server);
    auto const id =
        submit(*fleet, 0, {.chat = chat_preferring(*fleet, server)});
    advance_time(*fleet, 10ms);
    BOOST_TEST(fleet->servers[server].running == 1U);
    kill_router(*fleet, owner);
    finish_requests(*fleet);
    BOOST_TEST(fleet->answers[id].answered);
    BOOST_TEST(has_event(*fleet, id, event_kind::retry_started, "owner_lost"));
}

BOOST_AUTO_TEST_CASE(retries_after_a_lost_owner_use_no_retry_budget)
{
    // More concurrent requests than the retry budget would allow to retry.
    constexpr int requests = 40;
    auto fleet = make_fleet({.routing = {.retries = {.initial_retries = 0}}});
    auto const server = server_owned_elsewhere(*fleet, 0);
    auto const owner = owner_index(*fleet, server);
    for (int i = 0; i < requests; ++i)
        submit(*fleet, 0, {.chat = chat_preferring(*fleet, server)});
    advance_time(*fleet, 10ms);
    kill_router(*fleet, owner);
    finish_requests(*fleet);
    for (auto const& [id, answer] : fleet->answers)
        BOOST_TEST(answer.answered, to_name(answer.error));
    advance_time(*fleet, 2s);
    BOOST_TEST(value_of(fleet->counters, counter::losses_retried) > 0U);
    BOOST_TEST(value_of(fleet->counters, counter::retries_denied) == 0U);
}

BOOST_AUTO_TEST_CASE(an_owner_gets_offers_as_soon_as_its_link_reopens)
{
    auto fleet = make_fleet();
    auto const server = server_owned_elsewhere(*fleet, 0);
    auto const owner = fleet->routers[owner_index(*fleet, server)].id;
    auto& entry = fleet->routers[0];
    send_to<services::routing_message>(entry, services::service_name::routing,
                                       services::link_lost{owner});
    send_to<services::routing_message>(entry, services::service_name::routing,
                                       services::link_opened{owner});
    auto const id =
        submit(*fleet, 0, {.chat = chat_preferring(*fleet, server)});
    finish_requests(*fleet);
    BOOST_TEST(fleet->answers[id].answered);
    BOOST_TEST((fleet->answers[id].server == server));
}

BOOST_AUTO_TEST_CASE(a_lost_link_fails_only_the_attempts_that_it_names)
{
    auto fleet = make_fleet();
    auto const server = server_owned_elsewhere(*fleet, 0);
    auto const owner = fleet->routers[owner_index(*fleet, server)].id;
    auto const id =
        submit(*fleet, 0, {.chat = chat_preferring(*fleet, server)});
    advance_time(*fleet, 10ms);
    services::link_lost const former{owner, std::vector{attempt_id{id, 99}}};
    send_to<services::routing_message>(fleet->routers[0],
                                       services::service_name::routing, former);
    finish_requests(*fleet);
    BOOST_TEST(fleet->answers[id].answered);
    BOOST_TEST(!has_event(*fleet, id, event_kind::retry_started, "owner_lost"));
}

BOOST_AUTO_TEST_CASE(an_answer_resumes_without_error_if_its_owner_is_lost)
{
    auto fleet = make_fleet();
    auto const server = server_owned_elsewhere(*fleet, 0);
    auto const owner = owner_index(*fleet, server);
    auto const id =
        submit(*fleet, 0, {.chat = chat_preferring(*fleet, server)});
    while (fleet->answers[id].chunks < 2)
        advance_time(*fleet, 1ms);
    kill_router(*fleet, owner);
    advance_time(*fleet, 1500ms);
    BOOST_TEST(!fleet->answers[id].ended);
    std::vector<bool> live(fleet->routers.size(), true);
    live[owner] = false;
    send_members(*fleet, live);
    finish_requests(*fleet);
    BOOST_TEST(fleet->answers[id].answered);
    BOOST_TEST(fleet->answers[id].heads == 1);
    BOOST_TEST(fleet->answers[id].body == expected_body(*fleet));
}

BOOST_AUTO_TEST_CASE(a_resuming_caller_gets_the_remainder_if_the_owner_is_lost)
{
    auto fleet = make_fleet();
    auto const server = server_owned_elsewhere(*fleet, 0);
    auto const owner = owner_index(*fleet, server);
    auto const offset = fleet->chunk_bytes;
    auto const id = submit(
        *fleet, 0,
        {.chat = chat_preferring(*fleet, server), .resume_offset = offset});
    while (fleet->answers[id].chunks < 2)
        advance_time(*fleet, 1ms);
    kill_router(*fleet, owner);
    std::vector<bool> live(fleet->routers.size(), true);
    live[owner] = false;
    send_members(*fleet, live);
    finish_requests(*fleet);
    BOOST_TEST(fleet->answers[id].answered);
    BOOST_TEST(fleet->answers[id].body == expected_body(*fleet).substr(offset));
}

BOOST_AUTO_TEST_CASE(attempts_of_a_lost_entry_router_are_aborted)
{
    auto fleet = make_fleet();
    auto const server = server_owned_elsewhere(*fleet, 0);
    auto const id =
        submit(*fleet, 0, {.chat = chat_preferring(*fleet, server)});
    advance_time(*fleet, 10ms);
    kill_router(*fleet, 0);
    deliver_due(*fleet);
    BOOST_TEST(fleet->aborted.contains({id, 1}));
    BOOST_TEST(fleet->servers[server].running == 0U);
}

BOOST_AUTO_TEST_CASE(cancelling_an_idempotent_request_aborts_its_attempt)
{
    auto fleet = make_fleet();
    auto const id = submit(*fleet, 0, {.chat = 3});
    advance_time(*fleet, 10ms);
    BOOST_TEST(fleet->open_attempts.size() == 1U);
    send_to<services::routing_message>(fleet->routers[0],
                                       services::service_name::routing,
                                       services::cancel_request{id});
    advance_time(*fleet, 2ms);
    BOOST_TEST(fleet->open_attempts.empty());
    BOOST_TEST(fleet->aborted.contains({id, 1}));
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_when_every_server_fails)
{
    fleet_options options;
    options.owner.breaker.failures_to_open = 1'000'000;
    auto fleet = make_fleet(options);
    for (auto& [id, server] : fleet->servers)
        server.refuses_connections = true;
    run_load(*fleet, {.rate = 400, .end_rate = 400, .length = 5s});
    finish_requests(*fleet);
    auto const requests = static_cast<double>(fleet->answers.size());
    auto const sent = static_cast<double>(fleet->dispatched);
    BOOST_TEST_MESSAGE("sent " << sent / requests << " per request");
    // Each router allows the team two initial retries.
    auto const initial = 2.0 * static_cast<double>(fleet->routers.size());
    BOOST_TEST(sent <= requests * 1.1 + initial);
    BOOST_TEST(sent > requests);
    for (auto const& [id, answer] : fleet->answers)
        BOOST_REQUIRE((answer.known_outcome == outcome::not_run));
}

BOOST_AUTO_TEST_CASE(
    a_server_that_refuses_connections_is_ejected_and_used_again)
{
    auto fleet = make_fleet();
    server_id const server{"engine-2"};
    fleet->servers[server].refuses_connections = true;
    run_load(*fleet, {.rate = 100, .end_rate = 100, .length = 3s});
    BOOST_TEST(count_events(*fleet, event_kind::breaker_opened) > 0U);
    fleet->servers[server].refuses_connections = false;
    run_load(*fleet, {.rate = 100, .end_rate = 100, .length = 12s});
    finish_requests(*fleet);
    BOOST_TEST(fleet->servers[server].answered > 0U);
    BOOST_TEST(count_events(*fleet, event_kind::breaker_closed) > 0U);
    BOOST_TEST(answered_share(*fleet, {"crews"}) >= 0.99);
}

BOOST_AUTO_TEST_CASE(a_deadline_that_expires_in_the_queue_ends_as_not_run)
{
    fleet_options options{
        .routers = 1, .domains = 1, .servers = 1, .capacity = 1};
    auto fleet = make_fleet(options);
    fleet->servers.begin()->second.service_time = 4s;
    submit(*fleet, 0, {.chat = 1});
    auto const queued =
        submit(*fleet, 0, {.chat = 1, .deadline = fleet->now + 300ms});
    finish_requests(*fleet);
    auto const& answer = fleet->answers[queued];
    BOOST_TEST((answer.error == error_kind::deadline_exceeded));
    BOOST_TEST((answer.known_outcome == outcome::not_run));
    BOOST_TEST(fleet->servers.begin()->second.received.size() == 1U);
    BOOST_TEST(
        has_event(*fleet, queued, event_kind::offer_queued, "1 waiting"));
    BOOST_TEST(has_event(*fleet, queued, event_kind::request_refused,
                         "deadline_exceeded"));
}

BOOST_AUTO_TEST_CASE(a_full_queue_refuses_with_a_retry_after_hint)
{
    fleet_options options{
        .routers = 1, .domains = 1, .servers = 1, .capacity = 1};
    auto fleet = make_fleet(options);
    fleet->config.limits.queue_per_server = 2;
    apply_config(*fleet);
    std::vector<request_id> ids;
    for (int i = 0; i < 5; ++i)
        ids.push_back(submit(*fleet, 0, {.chat = 1}));
    finish_requests(*fleet);
    std::vector<duration> hints;
    for (auto const& id : ids)
    {
        if (fleet->answers[id].answered)
            continue;
        BOOST_TEST((fleet->answers[id].error == error_kind::queue_full));
        BOOST_TEST((fleet->answers[id].known_outcome == outcome::not_run));
        hints.push_back(fleet->answers[id].retry_after);
    }
    BOOST_REQUIRE(hints.size() == 2U);
    BOOST_TEST(to_ms(hints[0]) > 0);
    BOOST_TEST((hints[0] != hints[1])); // The hints have jitter.
}

BOOST_AUTO_TEST_CASE(a_request_whose_server_closed_is_retried_alone)
{
    // Without the load bound the server accepts a second concurrent request.
    auto fleet = make_fleet(
        {.cold_capacity = 4, .owner = {.admission = {.bound_enabled = false}}});
    auto const server = server_owned_elsewhere(*fleet, 0);
    // Every server is busy, whichever one the retry goes to.
    for (auto const& any : fleet->config.services[0].servers)
        submit(*fleet, 0, {.chat = chat_preferring(*fleet, any.id)});
    advance_time(*fleet, 5ms);
    auto const second =
        submit(*fleet, 0, {.chat = chat_preferring(*fleet, server)});
    advance_time(*fleet, 5ms);
    BOOST_REQUIRE(fleet->servers[server].running == 2U);
    close_attempts(*fleet, server);
    finish_requests(*fleet);
    for (auto const& [id, answer] : fleet->answers)
        BOOST_TEST(answer.answered);
    // The first attempt ran beside another request, so this is the retry.
    BOOST_TEST(has_event(*fleet, second, event_kind::offer_admitted,
                         "1 in flight of"));
}

BOOST_AUTO_TEST_CASE(a_body_that_crashes_servers_crashes_at_most_two)
{
    auto fleet = make_fleet();
    fleet->crashing_body = 666;
    auto const body = std::make_shared<std::string const>("666");
    run_load(*fleet, {.rate = 60, .end_rate = 60, .length = 1s});
    for (int i = 0; i < 6; ++i)
    {
        submit(*fleet, static_cast<std::size_t>(i) % fleet->routers.size(),
               {.chat = 5, .body = body, .body_fingerprint = 666});
        run_load(*fleet, {.rate = 60, .end_rate = 60, .length = 2s});
    }
    finish_requests(*fleet);
    std::uint32_t crashes = 0;
    for (auto const& [id, server] : fleet->servers)
        crashes += server.crashes;
    BOOST_TEST_MESSAGE("servers that crashed: " << crashes);
    BOOST_TEST(crashes <= 2U);
    BOOST_TEST(count_events(*fleet, event_kind::body_quarantined) > 0U);
    for (auto const& e : fleet->events)
    {
        if (e.kind == event_kind::body_quarantined)
            BOOST_TEST(e.cause == "body 000000000000029a was in flight");
    }
}

BOOST_AUTO_TEST_SUITE_END()
